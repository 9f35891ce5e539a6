// Tests of the control state on a simulated fleet: publishing, distribution, recovery and
// membership.
#include "fakes/expect.h"
#include "fakes/fake_fleet.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace shallotfield;

/** Returns a fleet of two regions whose nodes have joined. */
static std::unique_ptr<fake_fleet>
make_fleet(int in_zone = 1)
{
  auto fleet = std::make_unique<fake_fleet>();
  add_two_regions(*fleet, in_zone);
  fleet->run(6000);
  return fleet;
}

/** Returns the name of the latest publish result at a node, or "none". */
static std::string
last_result(const fake_fleet& fleet, const node_id& id)
{
  const auto& answers = fleet.nodes.at(id).publish_results;
  return answers.empty() ? "none" : std::string(enum_name(answers.back().result));
}

/** Whether a node logged a line that contains a text. */
static bool
has_line(const fake_node& node, const std::string& text)
{
  return std::any_of(
    node.logged_lines.begin(), node.logged_lines.end(), [&text](const std::string& line) {
      return line.find(text) != std::string::npos;
    });
}

/** Publishes a document and requires that all running nodes have the version within 5 s. */
static void
publish_and_wait(fake_fleet& fleet, const node_id& id, std::uint64_t version)
{
  const std::string name = "v" + std::to_string(version);
  fleet.publish(id, name, document_with(name));
  BOOST_REQUIRE(fleet.run_until(5000, [&] { return fleet.all_have_version(version); }));
}

BOOST_AUTO_TEST_SUITE(publishing)

BOOST_AUTO_TEST_CASE(accepted_version_reaches_all_nodes_within_2_seconds)
{
  const auto fleet = make_fleet(4);
  for (std::uint64_t version = 1; version <= 5; ++version) {
    fleet->publish(
      "east-b-3", "v" + std::to_string(version), document_with("s" + std::to_string(version)));
    BOOST_TEST(fleet->run_until(2000, [&] { return fleet->all_have_version(version); }));
    fleet->run(100);
    BOOST_TEST(last_result(*fleet, "east-b-3") == "accepted");
  }
  // Each region reads the log itself, so no records are sent between nodes of different regions.
  BOOST_TEST(fleet->cross_region_records["west"] + fleet->cross_region_records["east"] == 0U);
}

BOOST_AUTO_TEST_CASE(concurrent_publishes_accept_one_and_report_the_conflict)
{
  const auto fleet = make_fleet();
  publish_and_wait(*fleet, "west-a-0", 1);
  fleet->publish("west-a-0", "one", document_with("one"), 1);
  fleet->publish("east-a-0", "two", document_with("two"), 1);
  fleet->run(3000);
  const std::set<std::string> results = { last_result(*fleet, "west-a-0"),
                                          last_result(*fleet, "east-a-0") };
  BOOST_TEST((results == std::set<std::string>{ "accepted", "conflict" }));
  BOOST_TEST(fleet->all_have_version(2));
  const bool is_west_in_conflict = last_result(*fleet, "west-a-0") == "conflict";
  const send_publish_result& conflict =
    fleet->nodes.at(is_west_in_conflict ? "west-a-0" : "east-a-0").publish_results.back();
  BOOST_REQUIRE(!conflict.since.empty());
  BOOST_TEST(conflict.since.back().version == 2U);
  BOOST_TEST(!conflict.since.back().changed.empty());
}

BOOST_AUTO_TEST_CASE(lost_append_response_or_repeated_publish_makes_no_second_version)
{
  const auto fleet = make_fleet();
  fleet->log.loses_responses = true;
  fleet->publish("west-b-0", "one", document_with("one"));
  fleet->run(4000);
  BOOST_TEST(last_result(*fleet, "west-b-0") == "accepted");
  fleet->log.loses_responses = false;
  fleet->publish("east-a-0", "one", document_with("one"));
  fleet->run(1000);
  BOOST_TEST(last_result(*fleet, "east-a-0") == "duplicate");
  BOOST_TEST(fleet->all_have_version(1));
}

BOOST_AUTO_TEST_CASE(publish_during_log_outage_is_unavailable)
{
  const auto fleet = make_fleet();
  publish_and_wait(*fleet, "west-a-0", 1);
  fleet->log.is_down = true;
  fleet->publish("west-a-0", "two", document_with("two"));
  fleet->run(12'000);
  BOOST_TEST(last_result(*fleet, "west-a-0") == "unavailable");
  BOOST_TEST(fleet->all_have_version(1));
  fleet->log.is_down = false;
  fleet->run(6000);
  publish_and_wait(*fleet, "west-a-0", 2);
}

BOOST_AUTO_TEST_CASE(publish_with_unconfirmed_append_is_unknown)
{
  const auto fleet = make_fleet();
  fleet->log.loses_responses = true;
  // The nodes that read the log lose access to it. The publishing node can still append.
  fleet->partitions = { { "west-a", "log" }, { "east-a", "log" }, { "east-b", "log" } };
  fleet->run(1000);
  fleet->publish("west-b-0", "one", document_with("one"));
  fleet->run(12'000);
  BOOST_TEST(last_result(*fleet, "west-b-0") == "unknown");
}

BOOST_AUTO_TEST_CASE(invalid_document_is_not_appended_and_its_field_is_reported)
{
  const auto fleet = make_fleet();
  fleet->publish(
    "west-a-0",
    "bad",
    nlohmann::json::parse(R"({"routes":{"r":{"path_prefix":"/","targets":[{"service":"x"}]}}})"));
  fleet->run(1000);
  BOOST_TEST(last_result(*fleet, "west-a-0") == "invalid");
  BOOST_TEST(fleet->nodes.at("west-a-0").publish_results.back().error->field ==
             "/routes/r/targets/0/service");
  BOOST_TEST(fleet->log.streams[log_service_stream::config].records.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(control_sessions)

BOOST_AUTO_TEST_CASE(race_outage_and_recovery_match_golden_file)
{
  const auto fleet = make_fleet();
  std::string transcript;
  std::size_t seen = 0;
  const auto note = [&](const std::string& title) {
    transcript += title + "\n";
    const auto& logged_lines = fleet->nodes.at("west-a-0").logged_lines;
    for (; seen < logged_lines.size(); ++seen) {
      transcript += "  " + logged_lines[seen] + "\n";
    }
  };
  note("four nodes meet");
  publish_and_wait(*fleet, "west-a-0", 1);
  note("version 1 is published");
  fleet->publish("west-a-0", "one", document_with("one"), 1);
  fleet->publish("east-a-0", "two", document_with("two"), 1);
  fleet->run(2000);
  note("two operators race");
  fleet->log.is_down = true;
  fleet->run(1000);
  fleet->publish("west-a-0", "three", document_with("three"));
  fleet->run(3000);
  note("the log is down and an operator publishes");
  fleet->log.is_down = false;
  fleet->run(6000);
  fleet->publish("west-a-0", "four", document_with("four"));
  fleet->run(1000);
  note("the log is back and an operator publishes");
  fleet->kill("west-b-0");
  fleet->run(10'000);
  note("a node dies");
  fleet->start("west-b-0");
  fleet->run(3000);
  note("the node is back");
  const std::string path = std::string(TEST_DATA) + "/control.golden";
  if (std::getenv("REGENERATE") != nullptr) {
    std::ofstream(path) << transcript;
  }
  std::ifstream file(path);
  std::ostringstream golden;
  golden << file.rdbuf();
  BOOST_TEST(transcript == golden.str());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(recovery)

BOOST_AUTO_TEST_CASE(cold_start_of_all_nodes_needs_only_the_log)
{
  const auto fleet = make_fleet();
  for (auto& [id, node] : fleet->nodes) {
    node.options.snapshot_records = 3;
  }
  for (const auto& [id, node] : fleet->nodes) {
    fleet->kill(id);
  }
  for (const auto& [id, node] : fleet->nodes) {
    fleet->start(id);
  }
  fleet->run(6000);
  for (std::uint64_t version = 1; version <= 7; ++version) {
    publish_and_wait(*fleet, "west-a-0", version);
  }
  fleet->run(1000);
  fleet->log.retain(log_service_stream::config, 1);
  fleet->log.retain(log_service_stream::snapshots, 1);
  for (const auto& [id, node] : fleet->nodes) {
    fleet->kill(id);
  }
  for (const auto& [id, node] : fleet->nodes) {
    fleet->start(id);
  }
  BOOST_TEST(fleet->run_until(10'000, [&] { return fleet->all_have_version(7); }));
  publish_and_wait(*fleet, "east-a-0", 8);
}

BOOST_AUTO_TEST_CASE(gap_without_snapshot_raises_alarm_and_keeps_last_version)
{
  const auto fleet = make_fleet();
  publish_and_wait(*fleet, "west-a-0", 1);
  fleet->partitions = {
    { "west-a", "log" }, { "west-b", "log" }, { "east-a", "log" }, { "east-b", "log" }
  };
  fleet->run(500);
  for (int i = 0; i < 3; ++i) {
    fleet->log.append(log_service_stream::config, "lost before anyone read it");
  }
  fleet->log.retain(log_service_stream::config, 1);
  fleet->partitions.clear();
  fleet->run(10'000);
  BOOST_TEST(fleet->all_have_version(1));
  bool has_alarm = false;
  for (const auto& [id, node] : fleet->nodes) {
    has_alarm = has_alarm || has_line(node, "event=alarm reason=no_snapshot");
  }
  BOOST_TEST(has_alarm);
}

BOOST_AUTO_TEST_CASE(joining_node_gets_version_from_peers_during_log_outage)
{
  const auto fleet = make_fleet();
  publish_and_wait(*fleet, "west-a-0", 1);
  fleet->log.is_down = true;
  fleet->run(1000);
  fleet->kill("east-b-0");
  fleet->run(500);
  fleet->start("east-b-0");
  BOOST_TEST(fleet->run_until(5000, [&] { return fleet->all_have_version(1); }));
}

BOOST_AUTO_TEST_CASE(region_without_log_access_gets_each_record_once_from_other_region)
{
  const auto fleet = make_fleet(3);
  fleet->partitions = { { "east-a", "log" }, { "east-b", "log" } };
  fleet->run(1000);
  fleet->publish("west-a-0", "v1", document_with("a"));
  BOOST_TEST(fleet->run_until(10'000, [&] { return fleet->all_have_version(1); }));
  BOOST_TEST(fleet->cross_region_records["east"] + fleet->snapshots_sent <= 1U);
}

BOOST_AUTO_TEST_CASE(region_partitioned_beyond_log_retention_catches_up)
{
  const auto fleet = make_fleet(2);
  publish_and_wait(*fleet, "west-a-0", 1);
  for (const std::string east : { "east-a", "east-b" }) {
    fleet->partitions.insert({ east, "west-a" });
    fleet->partitions.insert({ east, "west-b" });
    fleet->partitions.insert({ east, "log" });
  }
  fleet->run(20'000);
  for (int i = 2; i <= 90; ++i) {
    fleet->publish("west-a-0", "v" + std::to_string(i), document_with("v" + std::to_string(i)));
    fleet->run(300);
  }
  BOOST_TEST(fleet->nodes.at("west-a-0").version->number == 90U);
  BOOST_TEST(fleet->nodes.at("east-a-0").version->number == 1U);
  fleet->log.retain(log_service_stream::config, 2);
  fleet->log.retain(log_service_stream::snapshots, 0);
  fleet->partitions.clear();
  BOOST_TEST(fleet->run_until(60'000, [&] { return fleet->all_have_version(90); }));
}

BOOST_AUTO_TEST_CASE(node_resumed_after_pause_has_no_lease_and_catches_up)
{
  const auto fleet = make_fleet();
  publish_and_wait(*fleet, "west-a-0", 1);
  fleet->nodes.at("east-b-0").is_frozen = true;
  for (std::uint64_t version = 2; version <= 4; ++version) {
    fleet->publish(
      "west-a-0", "v" + std::to_string(version), document_with("v" + std::to_string(version)));
    fleet->run(1000);
  }
  fleet->run(30'000);
  fleet->nodes.at("east-b-0").is_frozen = false;
  fleet->run(20);
  BOOST_TEST(fleet->nodes.at("east-b-0").lease_until <= fleet->now.mono);
  BOOST_TEST(has_line(fleet->nodes.at("east-b-0"), "event=pause_detected"));
  BOOST_TEST(fleet->run_until(10'000, [&] { return fleet->all_have_version(4); }));
}

// A pause of a node ends its lease even if the lease would have lasted longer than the pause.
BOOST_AUTO_TEST_CASE(pause_shorter_than_lease_ends_lease)
{
  const auto fleet = make_fleet();
  fake_node& node = fleet->nodes.at("east-b-0");
  fleet->run(500);
  node.is_frozen = true;
  fleet->run(1500);
  BOOST_REQUIRE(node.lease_until > fleet->now.mono);
  node.is_frozen = false;
  fleet->run(10);
  BOOST_TEST(node.lease_until <= fleet->now.mono);
  fleet->run(3000);
  BOOST_TEST(node.lease_until > fleet->now.mono);
}

BOOST_AUTO_TEST_CASE(newer_record_format_stops_applying_records)
{
  const auto fleet = make_fleet();
  publish_and_wait(*fleet, "west-a-0", 1);
  fleet->log.append(log_service_stream::config, R"({"format":2})");
  fleet->run(2000);
  fleet->publish("west-a-0", "v2", document_with("v2"));
  fleet->run(12'000);
  BOOST_TEST(fleet->all_have_version(1));
  BOOST_TEST(last_result(*fleet, "west-a-0") == "unknown");
}

BOOST_AUTO_TEST_CASE(simultaneous_restarts_add_at_most_a_tenth_to_log_reads)
{
  const auto fleet = make_fleet(5);
  publish_and_wait(*fleet, "west-a-0", 1);
  const auto reads_in_10_s = [&] {
    const std::uint64_t before = fleet->reads;
    fleet->run(10'000);
    return fleet->reads - before;
  };
  const std::uint64_t idle_reads = reads_in_10_s();
  for (const auto& [id, node] : fleet->nodes) {
    if (id.ends_with("-2") || id.ends_with("-3") || id.ends_with("-4")) {
      fleet->kill(id);
    }
  }
  fleet->run(300);
  for (const auto& [id, node] : fleet->nodes) {
    if (!node.state) {
      fleet->start(id);
    }
  }
  BOOST_TEST(reads_in_10_s() <= idle_reads + idle_reads / 10);
  BOOST_TEST(fleet->all_have_version(1));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(members)

/** Whether all running nodes hold the same member records. */
static bool
all_agree(const fake_fleet& fleet)
{
  std::set<std::uint64_t> digests;
  for (const auto& [id, node] : fleet.nodes) {
    if (node.state) {
      digests.insert(node.state->members().digest());
    }
  }
  return digests.size() == 1;
}

BOOST_AUTO_TEST_CASE(draining_server_is_known_to_all_nodes_within_1_second)
{
  const auto fleet = make_fleet(3);
  fake_node& leaving = fleet->nodes.at("west-b-1");
  leaving.info = { "ordering", 20, server_state::ready };
  BOOST_REQUIRE(fleet->run_until(2000, [&] {
    return std::all_of(fleet->nodes.begin(), fleet->nodes.end(), [](const auto& item) {
      const auto found = item.second.view->services.find("ordering");
      return found != item.second.view->services.end() && found->second.servers.size() == 1;
    });
  }));
  leaving.info.state = server_state::draining;
  BOOST_TEST(fleet->run_until(1000, [&] {
    return std::all_of(fleet->nodes.begin(), fleet->nodes.end(), [](const auto& item) {
      return item.second.view->services.at("ordering").servers.empty();
    });
  }));
}

BOOST_AUTO_TEST_CASE(dead_node_is_marked_gone_and_its_restart_is_known)
{
  const auto fleet = make_fleet(3);
  fleet->kill("east-a-2");
  BOOST_TEST(fleet->run_until(15'000, [&] {
    return is_tombstone(fleet->nodes.at("west-b-2").view->members.at("east-a-2"));
  }));
  fleet->start("east-a-2");
  BOOST_TEST(fleet->run_until(10'000, [&] {
    return !is_tombstone(fleet->nodes.at("west-b-2").view->members.at("east-a-2"));
  }));
  BOOST_TEST(fleet->run_until(10'000, [&] { return all_agree(*fleet); }));
}

BOOST_AUTO_TEST_CASE(failed_hubs_and_relays_are_replaced)
{
  const auto fleet = make_fleet(3);
  publish_and_wait(*fleet, "west-a-1", 1);
  for (const node_id id : { "west-a-0", "west-b-0", "east-a-0", "east-b-0" }) {
    fleet->kill(id);
  }
  fleet->publish("west-a-1", "v2", document_with("v2"));
  BOOST_TEST(fleet->run_until(10'000, [&] { return fleet->all_have_version(2); }));
  BOOST_TEST(fleet->run_until(30'000, [&] {
    return std::all_of(fleet->nodes.begin(), fleet->nodes.end(), [](const auto& item) {
      return !item.second.state || is_tombstone(item.second.view->members.at("west-a-0"));
    });
  }));
}

BOOST_AUTO_TEST_CASE(failed_zone_is_marked_gone_entirely)
{
  const auto fleet = make_fleet(4);
  for (const auto& [id, node] : fleet->nodes) {
    if (node.record.zone == "west-b") {
      fleet->kill(id);
    }
  }
  BOOST_TEST(fleet->run_until(40'000, [&] {
    const auto& members = fleet->nodes.at("east-b-3").view->members;
    return is_tombstone(members.at("west-b-0")) && is_tombstone(members.at("west-b-3"));
  }));
}

BOOST_AUTO_TEST_CASE(partitioned_regions_mark_no_node_gone_and_keep_their_leases)
{
  const auto fleet = make_fleet(2);
  for (const std::string east : { "east-a", "east-b" }) {
    fleet->partitions.insert({ east, "west-a" });
    fleet->partitions.insert({ east, "west-b" });
  }
  fleet->run(60'000);
  for (const auto& [id, node] : fleet->nodes) {
    for (const auto& [other, record] : node.view->members) {
      BOOST_TEST(!is_tombstone(record));
    }
    BOOST_TEST(node.lease_until > fleet->now.mono);
  }
  publish_and_wait(*fleet, "east-a-0", 1);
  fleet->partitions.clear();
  BOOST_TEST(fleet->run_until(30'000, [&] { return all_agree(*fleet); }));
}

BOOST_AUTO_TEST_CASE(minority_loses_lease_before_it_is_marked_gone)
{
  const auto fleet = make_fleet(3);
  for (const std::string other : { "west-b", "east-a", "east-b" }) {
    fleet->partitions.insert({ "west-a", other });
  }
  bool was_marked_gone = false;
  for (int i = 0; i < 4000 && !was_marked_gone; ++i) {
    fleet->run(10);
    for (const auto& [id, node] : fleet->nodes) {
      for (const auto& [other, record] : node.view->members) {
        const bool is_marked_gone = is_tombstone(record) && record.zone == "west-a";
        was_marked_gone = was_marked_gone || is_marked_gone;
        BOOST_REQUIRE(!is_marked_gone || fleet->nodes.at(other).lease_until <= fleet->now.mono);
      }
    }
  }
  BOOST_TEST(was_marked_gone);
  fleet->run(20'000);
  BOOST_TEST(fleet->nodes.at("west-a-1").lease_until <= fleet->now.mono);
  BOOST_TEST(fleet->nodes.at("west-b-1").lease_until > fleet->now.mono);
  fleet->partitions.clear();
  BOOST_TEST(fleet->run_until(40'000, [&] {
    return all_agree(*fleet) && fleet->nodes.at("west-a-1").lease_until > fleet->now.mono;
  }));
}

BOOST_AUTO_TEST_CASE(versions_in_force_are_counted_over_the_fleet)
{
  const auto fleet = make_fleet(3);
  publish_and_wait(*fleet, "west-a-0", 1);
  fleet->run(5000);
  for (const auto& [id, node] : fleet->nodes) {
    const version_summary& seen = node.state->fleet();
    BOOST_TEST((seen.counts == std::vector<version_count>{ { 1, 12 } }), id);
  }
  fleet->kill("east-b-2");
  fleet->run(6000);
  BOOST_TEST(count_nodes(fleet->nodes.at("west-a-2").state->fleet()) == 11U);
}

BOOST_AUTO_TEST_SUITE_END()
