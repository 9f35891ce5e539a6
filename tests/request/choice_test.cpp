// Tests of the server selection at a proxy.
#include "request/request.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;

/** A proxy in zone west-a, and servers of the service `shop` with 10 slots each. */
struct choice_fixture
{
  /** Adds a node with a ready server. Its region is the part of the zone's name before the dash. */
  void add(const node_id& id, const std::string& zone)
  {
    node_beacon node;
    node.id = id;
    node.boot_id = 1;
    node.sequence = 1;
    node.region = zone.substr(0, zone.find('-'));
    node.zone = zone;
    node.server = { "shop", "i-" + id, 10, server_state::ready };
    view.emplace(id, node);
  }

  /**
   * Records a load report of a server. `running` is the number of requests that hold a slot, and
   * `slowness` is the service time relative to the average in the fleet, which is 1.
   */
  void report_load(const node_id& id, std::uint32_t running, double slowness = 1)
  {
    tracker.record_load(id, { running, 0, 10, static_cast<std::uint32_t>(slowness * 1000) }, now);
  }

  /** Chooses a server for each of 200 requests, and returns how many get the given one. */
  int count_choices(const node_id& id, double bytes = 1000, std::int64_t priority = 1)
  {
    node_beacon self;
    self.id = "self";
    self.zone = "west-a";
    self.region = "west";
    int chosen = 0;
    server_index servers(view, self);
    for (int i = 0; i < 200; ++i) {
      choice_request request{ "shop", {}, priority, bytes, 0.3, bulk_objective_ms, {} };
      const choice_result result = choose_server(servers, tracker, request, now, random);
      const auto* choice = std::get_if<server_choice>(&result);
      chosen += choice != nullptr && choice->node->id == id ? 1 : 0;
    }
    return chosen;
  }

  peer_view view;               ///< The live nodes.
  server_tracker tracker;       ///< Load and health of the servers.
  random_source random;         ///< Random number generator with a fixed seed.
  mono_ms now = 10'000;         ///< Current time.
  double bulk_objective_ms = 0; ///< Latency objective of the requests if they are downloads.
};

BOOST_FIXTURE_TEST_SUITE(server_choices, choice_fixture)

BOOST_AUTO_TEST_CASE(idle_slow_server_is_chosen_only_when_the_fast_one_is_overloaded)
{
  // The servers of one service differ in speed by a factor of three. At moderate load, no request
  // needs to go to a slow one.
  add("fast", "west-a");
  add("slow", "west-a");
  report_load("fast", 7, 0.7);
  report_load("slow", 0, 2);
  BOOST_TEST(count_choices("fast") == 200);
  report_load("fast", 16, 0.7);
  BOOST_TEST(count_choices("slow") == 200);
}

BOOST_AUTO_TEST_CASE(equal_servers_share_the_requests)
{
  add("one", "west-a");
  add("two", "west-a");
  report_load("one", 3);
  report_load("two", 3);
  BOOST_TEST(count_choices("one") > 60);
  BOOST_TEST(count_choices("one") < 140);
}

BOOST_AUTO_TEST_CASE(best_server_does_not_attract_all_requests)
{
  // Guards against a fault on large sites. Each proxy knows the loads as they were half a second
  // ago. When many proxies all chose the server that looked best, requests waited there although
  // other servers had capacity.
  for (int i = 0; i < 9; ++i) {
    add("s" + std::to_string(i), "west-a");
    report_load("s" + std::to_string(i), i == 0 ? 2 : 5, i == 0 ? 0.7 : 1);
  }
  BOOST_TEST(count_choices("s0") > 30);
  BOOST_TEST(count_choices("s0") < 110);
}

BOOST_AUTO_TEST_CASE(other_zone_is_chosen_only_when_the_own_zone_is_overloaded)
{
  add("near", "west-a");
  add("far", "west-b");
  report_load("near", 5, 1.3);
  report_load("far", 0, 0.7);
  BOOST_TEST(count_choices("near", 5000) == 200);
  report_load("near", 14, 1.3);
  BOOST_TEST(count_choices("far", 5000) == 200);
}

BOOST_AUTO_TEST_CASE(old_beacon_does_not_replace_the_load_from_a_response)
{
  add("one", "west-a");
  add("two", "west-a");
  tracker.record_beacon(view.at("one"), now - 1000);
  report_load("one", 9);
  report_load("two", 2);
  now += 100;
  node_beacon old = view.at("one");
  old.sequence = 2;
  tracker.record_beacon(old, now);
  BOOST_TEST(count_choices("two") == 200);
  // A beacon that arrives again must not replace the load either, however late it is.
  tracker.record_load("one", { 9, 0, 10, 1000 }, now + 600);
  now += 1100;
  tracker.record_beacon(old, now);
  tracker.record_load("two", { 2, 0, 10, 1000 }, now);
  BOOST_TEST(count_choices("two") == 200);
}

BOOST_AUTO_TEST_CASE(server_behind_a_congested_link_is_not_a_candidate)
{
  add("far", "east-a");
  choice_request request{ "shop", {}, 1, 90'000, 0.3, 0, [](const std::string&) { return false; } };
  node_beacon self;
  self.region = "west";
  server_index servers(view, self);
  const choice_result result = choose_server(servers, tracker, request, now, random);
  BOOST_TEST(std::holds_alternative<no_candidate>(result));
}

BOOST_AUTO_TEST_CASE(download_avoids_a_server_whose_link_is_full)
{
  // The slots of both servers are free, but the responses of one wait for the link of its VM.
  add("one", "west-a");
  add("two", "west-a");
  tracker.record_load("one", { 1, 0, 10, 700, 900 }, now);
  tracker.record_load("two", { 3, 0, 10, 1000, 0 }, now);
  BOOST_TEST(count_choices("one") == 200); // Short responses do not wait.
  bulk_objective_ms = 800;
  BOOST_TEST(count_choices("two") == 200);
  // By now the reported backlog has been sent.
  now += 1000;
  BOOST_TEST(count_choices("one") == 200);
}

BOOST_AUTO_TEST_CASE(download_leaves_the_zone_only_if_it_would_be_late_there)
{
  // The servers of one zone can't carry the downloads of its callers. The other zones of the region
  // can, but traffic between zones is charged for.
  bulk_objective_ms = 800;
  add("near", "west-a");
  add("far", "west-b");
  add("farthest", "east-a");
  tracker.record_load("near", { 1, 0, 10, 1000, 400 }, now);
  BOOST_TEST(count_choices("near", 90'000) == 200);
  tracker.record_load("near", { 1, 0, 10, 1000, 900 }, now);
  BOOST_TEST(count_choices("far", 90'000) == 200);
  tracker.record_load("far", { 1, 0, 10, 1000, 900 }, now);
  BOOST_TEST(count_choices("near", 90'000) == 200);
}

BOOST_AUTO_TEST_CASE(choice_does_not_depend_on_the_size_of_the_fleet)
{
  for (int i = 0; i < 300; ++i) {
    add("s" + std::to_string(i), "zone" + std::to_string(i % 8) + "-a");
  }
  node_beacon self;
  self.zone = "zone0-a";
  self.region = "zone0";
  server_index servers(view, self);
  int asked = 0;
  choice_request request{ "shop", {}, 1, 1000, 0.3, 0, [&asked](const std::string&) {
                           ++asked;
                           return true;
                         } };
  for (int i = 0; i < 100; ++i) {
    choose_server(servers, tracker, request, now, random);
  }
  // Three servers of the other regions are looked at for each request, not all 260 of them.
  BOOST_TEST(asked == 300);
}

BOOST_AUTO_TEST_CASE(full_server_is_skipped_until_its_backoff_ends)
{
  // Guards against the following fault: in an overload, each request was sent to three full servers
  // one after the other, also across zones, before it was refused.
  add("one", "west-a");
  add("two", "west-a");
  tracker.record_full("one", 1, 300, now);
  BOOST_TEST(count_choices("two") == 200);
  // Requests of a higher priority may still be accepted.
  BOOST_TEST(count_choices("one", 1000, 0) > 0);
  tracker.record_full("two", 1, 200, now);
  node_beacon self;
  self.zone = "west-a";
  choice_request request{ "shop", {}, 2, 1000, 0.3, 0, {} };
  server_index servers(view, self);
  const choice_result result = choose_server(servers, tracker, request, now, random);
  BOOST_REQUIRE(std::holds_alternative<no_capacity>(result));
  BOOST_TEST(std::get<no_capacity>(result).wait_ms == 200);
  now += 100;
  BOOST_TEST(count_choices("one") > 0);
}

BOOST_AUTO_TEST_SUITE_END()
