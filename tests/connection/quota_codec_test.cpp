// Tests for the encoding of messages about quotas: round trips, and odd input.
#include "connection/connection.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <random>

namespace leaf = boost::leaf;
using nlohmann::json;
using namespace shallotfield;

namespace {

/** Parses a datagram. Returns no value if it is rejected. */
std::optional<quota_datagram>
parse(std::string_view bytes)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<std::optional<quota_datagram>> {
      BOOST_LEAF_AUTO(parsed, parse_quota_message(bytes));
      return parsed;
    },
    [](const frame_error&) { return std::optional<quota_datagram>(); },
    [] {
      BOOST_ERROR("an error without a type");
      return std::optional<quota_datagram>();
    });
}

/** Returns a datagram with any content. */
std::string
encode(const json& items)
{
  std::string bytes;
  json::to_msgpack(items, bytes);
  return bytes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(quota_codec)

BOOST_AUTO_TEST_CASE(a_report_is_read_back)
{
  quota_report report{ quota_scope::zone, "node-1", "zone-1", 1'234'567, 22, {} };
  for (account_digest i = 0; i < 200; ++i) {
    report.usage.push_back({ UINT64_MAX - i, 20'000'000, -0.5 });
  }
  std::vector<account_usage> usage;
  for (const std::string& bytes : encode_quota_message(report)) {
    BOOST_TEST(bytes.size() <= BEACON_DATAGRAM_BYTES_MAX);
    BOOST_TEST(has_quota_message(bytes));
    BOOST_TEST(!has_crash_records(bytes));
    const std::optional<quota_datagram> parsed = parse(bytes);
    BOOST_REQUIRE(parsed);
    BOOST_TEST(parsed->rejected_items == 0);
    const auto& read = std::get<quota_report>(parsed->message);
    BOOST_TEST((read.scope == quota_scope::zone));
    BOOST_TEST(read.node == "node-1");
    BOOST_TEST(read.zone == "zone-1");
    BOOST_TEST(read.sent_at == 1'234'567);
    BOOST_TEST(read.proxies == 22);
    usage.insert(usage.end(), read.usage.begin(), read.usage.end());
  }
  BOOST_TEST((usage == report.usage));
}

BOOST_AUTO_TEST_CASE(an_answer_is_complete_over_its_datagrams)
{
  quota_answer answer{ 99, 0, UINT64_MAX, {} };
  for (account_digest i = 1; i <= 200; ++i) {
    answer.limits.push_back({ i * 1'000'000'007, 0.25 });
  }
  std::vector<account_limit> limits;
  account_digest next = 0;
  for (const std::string& bytes : encode_quota_message(answer)) {
    BOOST_TEST(bytes.size() <= BEACON_DATAGRAM_BYTES_MAX);
    const std::optional<quota_datagram> parsed = parse(bytes);
    BOOST_REQUIRE(parsed);
    const auto& read = std::get<quota_answer>(parsed->message);
    BOOST_TEST(read.report_sent_at == 99);
    BOOST_TEST(read.first == next);
    next = read.last + 1;
    limits.insert(limits.end(), read.limits.begin(), read.limits.end());
  }
  BOOST_TEST(next == 0U); // After the last digest.
  BOOST_TEST((limits == answer.limits));
  BOOST_TEST(encode_quota_message(quota_answer{ 1, 0, UINT64_MAX, {} }).size() == 1U);
}

// Quotas and roll-outs once had the same format number: news of roll-outs were taken for messages
// about quotas and dropped, so that no proxy but the readers of the store knew an order.
BOOST_AUTO_TEST_CASE(each_datagram_is_taken_for_one_format_only)
{
  rollout_record record;
  record.order = { "shop", "v2", 1000, 1 };
  const node_beacon beacon;
  const std::vector<std::string> datagrams = {
    encode_crash_records({ { 1, 2, 0 } }, 0).front(),
    encode_quota_message(quota_report{ quota_scope::zone, "node-1", "zone-1", 1, 1, {} }).front(),
    encode_quota_message(quota_answer{ 1, 0, UINT64_MAX, {} }).front(),
    encode_rollout_news({ { "shop", record } }, 0).front(),
    encode_beacons({ &beacon }).front(),
  };
  const std::vector<std::string> expected = { "crash", "quota", "quota", "rollout", "" };
  for (std::size_t i = 0; i < datagrams.size(); ++i) {
    std::string taken_for = has_crash_records(datagrams[i]) ? "crash" : "";
    taken_for += has_quota_message(datagrams[i]) ? "quota" : "";
    taken_for += has_rollout_news(datagrams[i]) ? "rollout" : "";
    BOOST_TEST(taken_for == expected[i], "datagram " << i);
  }
}

BOOST_AUTO_TEST_CASE(odd_items_are_left_out_and_the_others_hold)
{
  const json good = json::array({ 7U, 100, 50 });
  json items = { 111, 0, "n", "z", 5, 1, good };
  for (const json& odd : { json("text"),
                           json(nullptr),
                           json::array({ 7U, 1 }),
                           json::array({ -7, 1, 1 }),
                           json::array({ 7U, "1", 1 }),
                           json::array({ 7U, 1e300, 1 }),
                           json::array({ 7U, UINT64_MAX, 1 }),
                           json::array({ 7U, 1, INT64_MIN }) }) {
    items.push_back(odd);
  }
  items.push_back(json::array({ 8U, 100, 50, "added later" }));
  const std::optional<quota_datagram> parsed = parse(encode(items));
  BOOST_REQUIRE(parsed);
  BOOST_TEST(parsed->rejected_items == 8U);
  BOOST_TEST(std::get<quota_report>(parsed->message).usage.size() == 2U);
}

BOOST_AUTO_TEST_CASE(odd_datagrams_are_rejected)
{
  for (const json& odd : { json("text"),
                           json::array(),
                           json::array({ 111 }),
                           json::array({ 111, 2, "n", "z", 5, 1 }),
                           json::array({ 111, 0, "", "z", 5, 1 }),
                           json::array({ 111, 0, "n", std::string(300, 'z'), 5, 1 }),
                           json::array({ 111, 0, "n", "z", -5, 1 }),
                           json::array({ 111, 0, "n", "z", UINT64_MAX, 1 }),
                           json::array({ 111, 0, "n", "z", 5, UINT64_MAX }),
                           json::array({ 112, 5, 9, 8 }),
                           json::array({ 112, "5", 0, 9 }),
                           json::array({ 113, 0, "n", "z", 5, 1 }) }) {
    BOOST_TEST(!parse(encode(odd)));
  }
  BOOST_TEST(!parse(std::string(BEACON_DATAGRAM_BYTES_MAX + 1, 'x')));
}

BOOST_AUTO_TEST_CASE(damaged_datagrams_end_nothing)
{
  std::mt19937 random(7);
  const quota_report report{ quota_scope::node, "n", "z", 5, 1, { { 7, 1, 1 }, { 8, 2, 2 } } };
  const quota_answer answer{ 5, 0, UINT64_MAX, { { 7, 0.5 } } };
  for (const quota_message& message : { quota_message(report), quota_message(answer) }) {
    const std::string whole = encode_quota_message(message).front();
    for (int i = 0; i < 20'000; ++i) {
      std::string bytes = whole.substr(0, 1 + random() % whole.size());
      bytes[random() % bytes.size()] = static_cast<char>(random());
      parse(bytes);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
