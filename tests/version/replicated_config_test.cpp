// Tests of the configuration that results from the log: a verdict depends only on the proposal and
// the records before it, and versions never decrease.
#include "fakes/expect.h"
#include "version/version.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace shallotfield;
using nlohmann::json;

/** Returns a valid document that defines one service. */
static json
document_with(const std::string& service)
{
  return { { "services", { { service, json::object() } } } };
}

/** Returns the record of a proposal that changes the current document to `target`. */
static std::string
make_record(const replicated_config& config, const std::string& id, const json& target)
{
  proposal change = make_proposal(*config.current(), target);
  change.publish_id = id;
  change.author = "test";
  return encode_proposal(change);
}

BOOST_AUTO_TEST_SUITE(proposal_verdicts)

BOOST_AUTO_TEST_CASE(concurrent_proposals_accept_only_the_first)
{
  replicated_config config;
  const std::string one = make_record(config, "one", document_with("a"));
  const std::string two = make_record(config, "two", document_with("b"));
  BOOST_TEST(enum_name(config.apply(1, one, std::nullopt)) == "judged");
  BOOST_TEST(enum_name(config.apply(2, two, std::nullopt)) == "judged");
  BOOST_TEST(enum_name(config.find("one")->result) == "accepted");
  BOOST_TEST(enum_name(config.find("two")->result) == "conflict");
  BOOST_TEST(config.current()->number == 1U);
  BOOST_TEST(config.current()->content.services.contains("a"));
}

BOOST_AUTO_TEST_CASE(repeated_proposal_makes_no_second_version)
{
  replicated_config config;
  const std::string one = make_record(config, "one", document_with("a"));
  config.apply(1, one, std::nullopt);
  config.apply(2, one, std::nullopt);
  BOOST_TEST(config.current()->number == 1U);
  BOOST_TEST(enum_name(config.verdicts().back().result) == "duplicate");
  BOOST_TEST(enum_name(config.find("one")->result) == "accepted");
}

BOOST_AUTO_TEST_CASE(invalid_records_leave_the_version_unchanged)
{
  struct row
  {
    std::string name;
    std::function<std::string(const replicated_config&)> record;
    std::string expected;
  };
  const auto changed = [](const replicated_config& config,
                          const std::function<void(json&)>& change) {
    json value = json::parse(make_record(config, "bad", document_with("b")));
    change(value);
    return value.dump();
  };
  const std::vector<row> rows = {
    { "no json", [](const replicated_config&) { return "{"; }, "malformed" },
    { "other json", [](const replicated_config&) { return "[1]"; }, "malformed" },
    { "no format",
      [&](const replicated_config& config) {
        return changed(config, [](json& v) { v.erase("format"); });
      },
      "malformed" },
    { "no id",
      [&](const replicated_config& config) {
        return changed(config, [](json& v) { v["publish_id"] = ""; });
      },
      "malformed" },
    { "patch no array",
      [&](const replicated_config& config) {
        return changed(config, [](json& v) { v["patch"] = 1; });
      },
      "malformed" },
    { "wrong digest",
      [&](const replicated_config& config) {
        return changed(config, [](json& v) { v["digest"] = "0"; });
      },
      "judged" },
    { "patch of a missing path",
      [&](const replicated_config& config) {
        return changed(config, [](json& v) {
          v["patch"] = json::parse(R"([{"op":"replace","path":"/x/y","value":1}])");
        });
      },
      "judged" },
    { "patch with a copy operation",
      [&](const replicated_config& config) {
        return changed(config, [](json& v) {
          v["patch"] = json::parse(R"([{"op":"copy","from":"/services","path":"/routes"}])");
        });
      },
      "judged" },
    { "route to a missing service",
      [](const replicated_config& config) {
        return make_record(
          config,
          "bad",
          json::parse(R"({"routes":{"r":{"path_prefix":"/","targets":[{"service":"none"}]}}})"));
      },
      "judged" },
  };
  for (const row& item : rows) {
    replicated_config config;
    config.apply(1, make_record(config, "one", document_with("a")), std::nullopt);
    const apply_result result = config.apply(2, item.record(config), std::nullopt);
    BOOST_TEST_CONTEXT(item.name)
    {
      BOOST_TEST(enum_name(result) == item.expected);
      BOOST_TEST(config.offset() == 2U);
      BOOST_TEST(config.current()->number == 1U);
      if (item.expected == "judged") {
        BOOST_TEST(enum_name(config.find("bad")->result) == "invalid");
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(record_in_newer_format_is_not_applied)
{
  replicated_config config;
  json value = json::parse(make_record(config, "one", document_with("a")));
  value["format"] = RECORD_FORMAT + 1;
  BOOST_TEST(enum_name(config.apply(1, value.dump(), std::nullopt)) == "new_format");
  BOOST_TEST(config.offset() == 0U);
}

BOOST_AUTO_TEST_CASE(records_out_of_order_or_corrupt_are_not_applied)
{
  replicated_config sender;
  replicated_config config;
  const std::string one = make_record(sender, "one", document_with("a"));
  sender.apply(1, one, std::nullopt);
  BOOST_TEST(enum_name(config.apply(2, one, std::nullopt)) == "gap");
  BOOST_TEST(enum_name(config.apply(1, one + " ", sender.chain())) == "corrupt");
  BOOST_TEST(config.offset() == 0U);
  BOOST_TEST(enum_name(config.apply(1, one, sender.chain())) == "judged");
  BOOST_TEST(enum_name(config.apply(1, one, sender.chain())) == "known");
}

BOOST_AUTO_TEST_CASE(snapshot_restores_the_state_built_from_records)
{
  replicated_config original;
  for (int i = 1; i <= 5; ++i) {
    original.apply(
      i,
      make_record(original, "p" + std::to_string(i), document_with("s" + std::to_string(i))),
      std::nullopt);
  }
  replicated_config config;
  const auto from =
    value_of([&] { return parse_snapshot(encode_snapshot(original.to_snapshot())); });
  BOOST_REQUIRE(from.has_value());
  BOOST_TEST(enum_name(config.adopt(*from)) == "adopted");
  BOOST_TEST((config.to_snapshot() == original.to_snapshot()));
  const std::string next = make_record(original, "p6", document_with("s6"));
  original.apply(6, next, std::nullopt);
  config.apply(6, next, original.chain());
  BOOST_TEST((config.to_snapshot() == original.to_snapshot()));
}

BOOST_AUTO_TEST_CASE(rejected_snapshots_leave_the_state_unchanged)
{
  replicated_config original;
  original.apply(1, make_record(original, "p1", document_with("a")), std::nullopt);
  original.apply(2, make_record(original, "p2", document_with("b")), std::nullopt);
  struct row
  {
    std::function<void(snapshot&)> change;
    std::string expected;
  };
  const std::vector<row> rows = {
    { [](snapshot&) {}, "older" },
    { [](snapshot& s) { s.chain = "0"; }, "contradicts" },
    { [](snapshot& s) {
       s.offset = 1;
       s.chain = "0";
     },
      "contradicts" },
    { [](snapshot& s) {
       s.offset = 9;
       s.version = 1;
     },
      "reverts" },
    { [](snapshot& s) {
       s.offset = 9;
       s.digest = "0";
     },
      "reverts" },
    { [](snapshot& s) {
       s.offset = 9;
       s.version = 9;
       s.source = 7;
     },
      "bad_document" },
  };
  for (const row& item : rows) {
    snapshot from = original.to_snapshot();
    item.change(from);
    const snapshot before = original.to_snapshot();
    BOOST_TEST(enum_name(original.adopt(from)) == item.expected);
    BOOST_TEST((original.to_snapshot() == before));
  }
}

BOOST_AUTO_TEST_CASE(follower_never_diverges_under_faulty_delivery)
{
  // Records are repeated, dropped, reordered and damaged on their way from the leader to the
  // follower. The seeds are fixed, so that every run is the same.
  for (std::uint64_t seed = 0; seed < 2000; ++seed) {
    std::mt19937_64 random(seed);
    replicated_config leader;
    std::vector<std::pair<std::string, std::string>> sent;
    replicated_config follower;
    std::uint64_t last_version = 0;
    for (int step = 0; step < 30; ++step) {
      if (random() % 2 == 0) {
        std::string record = make_record(leader,
                                         "p" + std::to_string(random() % 20),
                                         document_with("s" + std::to_string(random() % 9)));
        if (random() % 8 == 0) {
          record = "damaged by the operator";
        }
        leader.apply(leader.offset() + 1, record, std::nullopt);
        sent.emplace_back(record, leader.chain());
      }
      if (sent.empty()) {
        continue;
      }
      if (random() % 6 == 0) {
        follower.adopt(leader.to_snapshot());
      } else {
        const std::size_t at = random() % sent.size();
        std::string bytes = sent[at].first;
        if (random() % 10 == 0) {
          bytes[random() % bytes.size()] ^= 1;
        }
        follower.apply(at + 1, bytes, sent[at].second);
      }
      BOOST_REQUIRE(follower.current()->number >= last_version);
      last_version = follower.current()->number;
      BOOST_REQUIRE(leader.chain_at(follower.offset()) == follower.chain() ||
                    follower.offset() == 0);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
