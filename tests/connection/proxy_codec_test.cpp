// Tests of beacons, of directory entries, which are records of the store, and of the messages that
// transfer configurations. The messages on control and traffic links are tested in codec_test.cpp.
#include "connection/connection.h"
#include "fakes/expect.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace shallotfield;

/** A beacon with a value in every field. */
static node_beacon
make_beacon()
{
  return { "a",      1,          2,   "west",
           "west-a", "10.0.0.1", 200, { "shop", "i-1", 18, server_state::cold },
           3,        4,          900, 5,
           true,     true };
}

BOOST_AUTO_TEST_SUITE(proxy_codecs)

BOOST_AUTO_TEST_CASE(beacons_round_trip_through_datagrams)
{
  const node_beacon beacon = make_beacon();
  const std::vector<const node_beacon*> many(40, &beacon);
  std::size_t read = 0;
  for (const std::string& bytes : encode_beacons(many)) {
    BOOST_TEST(bytes.size() <= BEACON_DATAGRAM_BYTES_MAX);
    const auto beacons = value_of([&] { return parse_beacons(bytes); });
    BOOST_REQUIRE(beacons.has_value());
    for (const node_beacon& item : beacons->beacons) {
      BOOST_TEST((item == beacon));
      ++read;
    }
  }
  BOOST_TEST(read == many.size());
}

BOOST_AUTO_TEST_CASE(damaged_datagrams_never_yield_a_beacon_without_id)
{
  std::mt19937 random(20261204);
  const node_beacon beacon = make_beacon();
  const std::string valid = encode_beacons({ &beacon, &beacon }).at(0);
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = valid.substr(0, random() % (valid.size() + 1));
    for (int changes = static_cast<int>(random() % 4); changes > 0 && !bytes.empty(); --changes) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    const auto read = value_of([&] { return parse_beacons(bytes); });
    if (read) {
      for (const node_beacon& item : read->beacons) {
        BOOST_TEST(!item.id.empty());
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(crash_records_round_trip_through_datagrams)
{
  static constexpr mono_ms NOW = 1'000'000;
  std::vector<crash_record> records;
  for (std::uint64_t i = 1; i <= 100; ++i) {
    const crash_finding finding = CRASH_FINDING_ROWS.at(i % CRASH_FINDING_ROWS.size()).value;
    records.push_back({ { UINT64_MAX - i, i << 40U }, UINT64_MAX - i, NOW - 5000, finding });
  }
  std::vector<crash_record> read;
  for (const std::string& bytes : encode_crash_records(records, NOW)) {
    BOOST_TEST(bytes.size() <= BEACON_DATAGRAM_BYTES_MAX);
    BOOST_TEST(has_crash_records(bytes));
    // A build that doesn't know crash records rejects the datagram.
    BOOST_TEST(!value_of([&] { return parse_beacons(bytes); }).has_value());
    const auto report = value_of([&] { return parse_crash_records(bytes, NOW + 77); });
    BOOST_REQUIRE(report.has_value());
    for (crash_record item : report->records) {
      item.happened_at -= 77; // The clock of the receiver.
      read.push_back(item);
    }
  }
  BOOST_TEST((read == records));
  const node_beacon beacon = make_beacon();
  BOOST_TEST(!has_crash_records(encode_beacons({ &beacon }).at(0)));
}

BOOST_AUTO_TEST_CASE(odd_crash_records_are_left_out)
{
  using nlohmann::json;
  const json items = { 101, { 1, 2, 3, 4, false }, { 1, 2, 0, 4, false },    { 1, 2, 3, -4, false },
                       7,   { 1, 2, 3, 4 },        { 1, 2, 3, 1e300, false } };
  std::string bytes;
  json::to_msgpack(items, bytes);
  const auto report = value_of([&] { return parse_crash_records(bytes, 100); });
  BOOST_REQUIRE(report.has_value());
  BOOST_TEST(report->records.size() == 1U);
  BOOST_TEST(report->rejected_records == 5U);
  std::mt19937 random(28);
  const std::string valid = encode_crash_records({ { { 1, 2 }, 3, 50 } }, 100).at(0);
  for (int i = 0; i < 20'000; ++i) {
    std::string damaged = valid.substr(0, random() % (valid.size() + 1));
    for (int changes = static_cast<int>(random() % 4); changes > 0 && !damaged.empty(); --changes) {
      damaged[random() % damaged.size()] = static_cast<char>(random());
    }
    const auto read = value_of([&] { return parse_crash_records(damaged, 100); });
    BOOST_TEST((!read || read->records.size() <= 1U));
  }
  BOOST_TEST(!value_of([&] { return parse_crash_records(std::string(1000, '\x91'), 1); }));
}

BOOST_AUTO_TEST_CASE(unknown_findings_are_left_out)
{
  using nlohmann::json;
  const json items = { 102,
                       { 1, 2, 3, 4, 3 },
                       { 1, 2, 3, 4, 6 },
                       { 1, 2, 3, 4, -1 },
                       { 1, 2, 3, 4, true },
                       { 1, 2, 3, 4, "suspected" } };
  std::string bytes;
  json::to_msgpack(items, bytes);
  const auto report = value_of([&] { return parse_crash_records(bytes, 100); });
  BOOST_REQUIRE(report.has_value());
  BOOST_TEST(report->records.size() == 1U);
  BOOST_TEST(report->rejected_records == 4U);
}

BOOST_AUTO_TEST_CASE(stored_suspects_round_trip)
{
  static constexpr instant WRITTEN{ 500'000, 1'700'000'000'000 };
  static constexpr instant READ{ 9000, 1'700'000'003'000 };
  const request_digest request{ 7, 9 };
  const std::string key = stored_suspect_key(request);
  BOOST_TEST(is_stored_suspect_key(key));
  BOOST_TEST(!is_stored_suspect_key("sidecar-a-1"));
  const std::string value =
    encode_stored_suspect({ "a",
                            { { request, 1, WRITTEN.mono - 2000, crash_finding::suspected },
                              { request, 2, WRITTEN.mono, crash_finding::trial_open } } },
                          WRITTEN);
  const auto read = value_of([&] { return parse_stored_suspect(key, value, READ); });
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->node == "a");
  BOOST_TEST(read->records.size() == 2U);
  BOOST_TEST(read->records[0].happened_at == READ.mono - 5000);
  BOOST_TEST((read->records[1].finding == crash_finding::trial_open));
  // The clock of the reader is behind.
  const auto early = value_of([&] {
    return parse_stored_suspect(key, value, { 9000, WRITTEN.unix - 5000 });
  });
  BOOST_TEST(early->records[0].happened_at == 7000);
  // A record under the key of another request, damaged ones, and too large ones are rejected.
  BOOST_TEST(!value_of([&] { return parse_stored_suspect(key + "0", value, READ); }));
  BOOST_TEST(!value_of([&] { return parse_stored_suspect(key, std::string(1300, '\x91'), READ); }));
  std::mt19937 random(31);
  for (int i = 0; i < 20'000; ++i) {
    std::string damaged = value.substr(0, random() % (value.size() + 1));
    for (int changes = static_cast<int>(random() % 4); changes > 0 && !damaged.empty(); --changes) {
      damaged[random() % damaged.size()] = static_cast<char>(random());
    }
    const auto odd = value_of([&] { return parse_stored_suspect(key, damaged, READ); });
    BOOST_TEST((!odd || odd->records.size() <= 2U));
  }
}

BOOST_AUTO_TEST_CASE(directory_entries_round_trip)
{
  const auto read =
    value_of([] { return parse_directory_entry("a", encode_directory_entry(make_beacon())); });
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->host == "10.0.0.1");
  BOOST_TEST(!value_of([] { return parse_directory_entry("a", "{}"); }).has_value());
}

BOOST_AUTO_TEST_CASE(config_transfer_messages_round_trip)
{
  const std::string text(300'000, 'x');
  config_history sender;
  sender.add(9, text);
  const std::string bytes = encode_config_transfer(sender.pack(0));
  BOOST_TEST(bytes.size() < text.size() / 10);
  frame_decoder decoder({ 1024, CONFIG_BYTES_MAX });
  std::vector<frame> frames;
  BOOST_TEST(!decoder.feed(bytes, frames).has_value());
  const auto read = value_of([&] { return parse_config_transfer(frames.at(0)); });
  BOOST_REQUIRE(read.has_value());
  const auto& packed = std::get<packed_config>(*read);
  BOOST_TEST(packed.version == 9U);
  BOOST_TEST(value_of([&] { return config_history().unpack(packed); }).value_or("") == text);
  const auto request = value_of([&] {
    frames.clear();
    decoder.feed(encode_config_transfer(config_request{ 7 }), frames);
    return parse_config_transfer(frames.at(0));
  });
  BOOST_TEST(std::get<config_request>(request.value()).base == 7U);
  frames.at(0).head = "\x81\xa4kind\xaf"
                      "config_question"; // As sent by earlier builds, without `base`.
  BOOST_TEST((error_of<frame_error>([&] { return parse_config_transfer(frames.at(0)); })->fault ==
              frame_fault::bad_message));
}

BOOST_AUTO_TEST_SUITE_END()
