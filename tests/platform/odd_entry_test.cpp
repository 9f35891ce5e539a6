// Tests of the platform's formats with entries that another writer placed: nested without end, with
// numbers out of range, with wrong types. An odd entry must not affect the entries beside it.
#include "fakes/expect.h"
#include "platform/platform.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace shallotfield;
using namespace shallotfield::platform;
using nlohmann::json;

static constexpr unsigned STATUS_OK = 200;

/** Repeats a text. */
static std::string
repeat(const std::string& text, std::size_t count)
{
  std::string result;
  for (std::size_t i = 0; i < count; ++i) {
    result += text;
  }
  return result;
}

/** Number of levels in a text that is nested too deeply. */
static constexpr std::size_t DEEP = 100'000;

/** Texts that are no valid value of any message. */
static const std::vector<std::string> ODD_TEXTS = {
  repeat("[", DEEP),
  repeat("[", DEEP) + repeat("]", DEEP),
  repeat("{\"a\":", DEEP) + "1" + repeat("}", DEEP),
  repeat("[{\"a\":", DEEP),
  "1e400",
  "{\"a\":1e400}",
  "{\"a\":-1e400}",
  "\xff\xfe\xfd",
  "{\"a\":\"\xc3\"}",
  "{\"a\":\"\\ud800\"}",
  "\"",
  "\"\\",
  "nul",
  std::string(1, '\0'),
  "",
};

/** Frames a record of a keyed topic as the store sends it. */
static std::string
keyed_frame(const std::string& key, const std::string& value)
{
  const std::string content = static_cast<char>(key.size()) + key + value;
  std::string bytes(3, '\0');
  bytes[2] = static_cast<char>(content.size() >> 8U);
  return bytes + static_cast<char>(content.size()) + content;
}

/** The two offsets at the start of a tail. */
static const std::string TAIL_HEADER(16, '\0');

BOOST_AUTO_TEST_SUITE(platform_odd_entries)

BOOST_AUTO_TEST_CASE(odd_texts_are_rejected_by_every_parser)
{
  const request_head heartbeat{ "POST", "/v1/instances/i-7/heartbeat", {} };
  for (const std::string& text : ODD_TEXTS) {
    BOOST_TEST_CONTEXT(text.substr(0, 20))
    {
      BOOST_TEST(std::holds_alternative<announcement_fault>(parse_announcement(heartbeat, text)));
      BOOST_TEST(std::holds_alternative<store_fault>(parse_newest(STATUS_OK, text)));
      BOOST_TEST(!value_of([&] { return parse_configuration(text); }).has_value());
    }
  }
}

BOOST_AUTO_TEST_CASE(odd_value_in_a_known_field_is_rejected_before_it_is_built)
{
  // A value is nested within a field that is ignored, so only a limit on the nesting notices it.
  const std::string deep = repeat("[", DEEP) + repeat("]", DEEP);
  const request_head head{ "POST", "/v1/instances/i-7/heartbeat", {} };
  const std::string beat = R"({"service":"shop","address":"10.0.0.9:80","slots":1,"state":"ready",)"
                           R"("seq":1,"other":)" +
                           deep + "}";
  BOOST_TEST(std::holds_alternative<announcement_fault>(parse_announcement(head, beat)));
  const std::string page = R"({"items":[],"has_more":false,"end":1,"other":)" + deep + "}";
  BOOST_TEST(std::holds_alternative<store_fault>(parse_newest(STATUS_OK, page)));
  const std::string configuration =
    R"({"version":1,"listeners":[],"clusters":[],"other":)" + deep + "}";
  BOOST_TEST(!value_of([&] { return parse_configuration(configuration); }).has_value());
}

BOOST_AUTO_TEST_CASE(heartbeats_with_values_out_of_range_are_rejected)
{
  const request_head head{ "POST", "/v1/instances/i-7/heartbeat", {} };
  const json good = { { "service", "shop" }, { "address", "10.0.0.9:80" },
                      { "slots", 18 },       { "state", "ready" },
                      { "seq", 4 },          { "born", 1000 } };
  BOOST_TEST(std::holds_alternative<server_heartbeat>(parse_announcement(head, good.dump())));
  const std::vector<std::pair<std::string, json>> rows = {
    { "address", "10.0.0.9:0" },
    { "address", "10.0.0.9:65536" },
    { "address", "10.0.0.9:-1" },
    { "address", "10.0.0.9:" },
    { "address", "10.9:80" },
    { "address", "0x0a000009:80" },
    { "address", "10.0.0.9 :80" },
    { "address", "host:80" },
    { "address", json::array() },
    { "slots", 1e300 },
    { "slots", UINT64_MAX },
    { "slots", -1 },
    { "seq", -1 },
    { "seq", 1e300 },
    { "born", UINT64_MAX },
    { "born", -1 },
    { "cold_remaining_s", 1e300 },
    { "cold_remaining_s", -0.5 },
    { "service", std::string(10'000, 'x') },
    { "service", "" },
    { "state", "gone" },
  };
  for (const auto& [key, value] : rows) {
    json body = good;
    body[key] = value;
    BOOST_TEST(std::holds_alternative<announcement_fault>(parse_announcement(head, body.dump())),
               key << "=" << value.dump().substr(0, 40));
  }
}

BOOST_AUTO_TEST_CASE(odd_items_of_a_page_are_left_out)
{
  const json good = { { "key", "b" }, { "value", "AQI=" }, { "offset", 3 } };
  const std::vector<json> odd_items = {
    nullptr,
    7,
    json::array(),
    json::object(),
    { { "key", 5 }, { "value", "AQI=" } },
    { { "key", "a" }, { "value", 7 } },
    { { "key", "a" }, { "value", "not base64!" } },
    { { "value", "AQI=" } },
    { { "key", "a" } },
    { { "key", "a" }, { "value", json::array({ json::array({ json::array() }) }) } },
  };
  for (const json& odd : odd_items) {
    for (const json& items : { json{ odd, good }, json{ good, odd } }) {
      const json body = { { "items", items }, { "has_more", true }, { "end", 9 } };
      const store_response read = parse_newest(STATUS_OK, body.dump());
      BOOST_TEST_CONTEXT(odd.dump())
      {
        const auto* page = std::get_if<newest_page>(&read);
        BOOST_REQUIRE(page != nullptr);
        BOOST_REQUIRE(page->records.size() == 1U);
        BOOST_TEST(page->records.front().key == "b");
        BOOST_TEST(page->rejected_records == 1U);
        BOOST_TEST(page->last_key >= "a");
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(odd_records_of_a_tail_are_left_out)
{
  const std::string good = keyed_frame("config", "{}");
  const std::string without_content(4, '\0');
  const std::string key_beyond_record("\0\0\0\2\x09x", 6);
  for (const std::string& odd : { without_content, key_beyond_record }) {
    for (const std::string& body : { odd + good, good + odd }) {
      const store_response read = parse_tail(STATUS_OK, TAIL_HEADER + body, 40);
      const auto* tail = std::get_if<topic_tail>(&read);
      BOOST_REQUIRE(tail != nullptr);
      BOOST_REQUIRE(tail->records.size() == 1U);
      BOOST_TEST(tail->records.front().key == "config");
      BOOST_TEST(tail->rejected_records == 1U);
      // The reader must go on after the odd record.
      BOOST_TEST(tail->next == 42U);
    }
  }
}

BOOST_AUTO_TEST_CASE(large_limits_of_a_configuration_do_not_wrap)
{
  // A limit of 2^32 became 0 where it was stored in 32 bits, so that every request was rejected.
  const json from = { { "version", 1 },
                      { "listeners", json::array() },
                      { "clusters", json::array() },
                      { "limits",
                        { { "max_header_bytes", std::int64_t{ 1 } << 32 },
                          { "max_body_bytes", std::int64_t{ 1 } << 32 } } } };
  const auto read = value_of([&] { return parse_configuration(from.dump()); });
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(static_cast<std::uint32_t>(read->limits.head_bytes_max) > 16'384U);
  BOOST_TEST(read->limits.head_bytes_max <= static_cast<std::int64_t>(TRAFFIC_HEAD_BYTES_MAX));
  BOOST_TEST(read->limits.body_bytes_max > 1 << 20);
}

BOOST_AUTO_TEST_SUITE_END()
