// Tests of encoding and parsing log records: round trips, and detection of damage.
#include "fakes/expect.h"
#include "version/version.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace shallotfield;

BOOST_AUTO_TEST_SUITE(log_records)

BOOST_AUTO_TEST_CASE(proposal_round_trips)
{
  const proposal value{ "id",
                        "author",
                        1234,
                        7,
                        nlohmann::json::parse(R"([{"op":"add","path":"/services","value":{}}])"),
                        "digest" };
  const auto parsed = value_of([&] { return parse_proposal(encode_proposal(value)); });
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST((*parsed == value));
}

BOOST_AUTO_TEST_CASE(snapshot_with_changed_byte_yields_no_other_snapshot)
{
  replicated_config config;
  proposal change =
    make_proposal(*config.current(), { { "services", { { "a", nlohmann::json::object() } } } });
  change.publish_id = "one";
  config.apply(1, encode_proposal(change), std::nullopt);
  const std::string good = encode_snapshot(config.to_snapshot());
  BOOST_TEST(value_of([&] { return parse_snapshot(good); }).has_value());
  // A changed byte must never give another snapshot: the text is rejected or parses to the same
  // one.
  for (std::size_t at = 0; at < good.size(); ++at) {
    std::string bad = good;
    bad[at] ^= 1;
    const auto parsed = value_of([&] { return parse_snapshot(bad); });
    BOOST_REQUIRE_MESSAGE(!parsed || *parsed == config.to_snapshot(), bad);
    BOOST_REQUIRE(!parsed || value_of([&] { return parse_snapshot(bad); })->offset == 1U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
