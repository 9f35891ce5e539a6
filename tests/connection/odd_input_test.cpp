// Tests of the formats between proxies with odd input, and of connections to odd addresses.
#include "connection/connection.h"
#include "fakes/expect.h"
#include "fakes/scripted_server.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;
using nlohmann::json;

/** Returns a msgpack document of arrays, maps or both that are nested `depth` times. */
static std::string
nested_msgpack(const std::string& opening, std::size_t depth)
{
  std::string bytes;
  for (std::size_t i = 0; i < depth; ++i) {
    bytes += opening;
  }
  return bytes + "\xc0";
}

/** Makes a beacon of a node that nothing is wrong with. */
static node_beacon
make_good_beacon(const node_id& id)
{
  node_beacon beacon;
  beacon.id = id;
  beacon.boot_id = 1;
  beacon.host = "10.0.0.1";
  return beacon;
}

/** Encodes a beacon as a JSON array with one element replaced. */
static json
odd_beacon(std::size_t element, const json& value)
{
  const node_beacon good = make_good_beacon("odd");
  const std::string datagram = encode_beacons({ &good }).at(0);
  json list = json::from_msgpack(datagram).at(1);
  list[element] = value;
  return list;
}

BOOST_AUTO_TEST_SUITE(odd_input)

BOOST_AUTO_TEST_CASE(nested_msgpack_is_rejected_without_recursion)
{
  for (const std::string opening : { "\x91", "\x81\xa1y", "\x92\xc0" }) {
    for (const std::size_t depth :
         { std::size_t{ 17 }, std::size_t{ 1000 }, std::size_t{ 100'000 } }) {
      const std::string bytes = nested_msgpack(opening, depth);
      std::optional<frame_error> error;
      BOOST_TEST(decode_head(bytes, error).is_discarded());
      BOOST_TEST(error.has_value());
      BOOST_TEST(!value_of([&] { return parse_beacons(bytes); }).has_value());
      BOOST_TEST(!value_of([&] { return parse_directory_entry("a", bytes); }).has_value());
      BOOST_TEST(!value_of([&] { return parse_traffic(frame{ bytes, "" }); }).has_value());
      BOOST_TEST(!value_of([&] { return parse_config_transfer(frame{ bytes, "" }); }).has_value());
    }
  }
}

BOOST_AUTO_TEST_CASE(msgpack_that_announces_more_than_it_holds_is_rejected)
{
  // Arrays, maps, texts and binaries of 2^32 - 1 elements, of which none follows.
  for (const std::string bytes : { "\xdd\xff\xff\xff\xff",
                                   "\xdf\xff\xff\xff\xff",
                                   "\xdb\xff\xff\xff\xff",
                                   "\xc6\xff\xff\xff\xff" }) {
    std::optional<frame_error> error;
    BOOST_TEST(decode_head(bytes, error).is_discarded());
    BOOST_TEST(!value_of([&] { return parse_beacons(bytes); }).has_value());
  }
}

BOOST_AUTO_TEST_CASE(odd_beacon_does_not_hide_the_others_of_its_datagram)
{
  const json good = json::from_msgpack(encode_beacons({ [] {
                                         static const node_beacon beacon = make_good_beacon("good");
                                         return &beacon;
                                       }() })
                                         .at(0));
  const std::vector<json> odd_items = {
    nullptr,
    7,
    json::object(),
    json::array(),
    odd_beacon(0, ""),
    odd_beacon(1, 0),
    odd_beacon(2, -1),
    odd_beacon(5, "10.1"),
    odd_beacon(5, "10.0.0.1:80"),
    odd_beacon(5, "fe80::1%eth0"),
    odd_beacon(5, "localhost"),
    odd_beacon(9, std::uint64_t{ 1 } << 32),
    odd_beacon(10, 99),
    odd_beacon(14, 1e300),
    odd_beacon(15, "yes"),
    odd_beacon(7, json::array({ json::array() })),
  };
  for (const json& odd : odd_items) {
    for (const json& list : { json{ good[0], odd, good[1] }, json{ good[0], good[1], odd } }) {
      std::string bytes;
      json::to_msgpack(list, bytes);
      const auto read = value_of([&] { return parse_beacons(bytes); });
      BOOST_TEST_CONTEXT(odd.dump())
      {
        BOOST_REQUIRE(read.has_value());
        BOOST_REQUIRE(read->beacons.size() == 1U);
        BOOST_TEST(read->beacons.front().id == "good");
        BOOST_TEST(read->rejected_beacons == 1U);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(directory_entries_with_odd_addresses_or_names_are_rejected)
{
  const auto entry = [](const json& host, const json& zone) {
    std::string bytes;
    json::to_msgpack({ { "format", 2 }, { "host", host }, { "zone", zone }, { "region", "r" } },
                     bytes);
    return bytes;
  };
  BOOST_TEST(
    value_of([&] { return parse_directory_entry("a", entry("10.0.0.1", "z")); }).has_value());
  for (const json& host : { json("10.1"),
                            json("1"),
                            json("0x7f000001"),
                            json("010.0.0.1"),
                            json("10.0.0.1:80"),
                            json("fe80::1%eth0"),
                            json("host"),
                            json(""),
                            json(7),
                            json::array(),
                            json(std::string(1000, '1')) }) {
    BOOST_TEST(!value_of([&] { return parse_directory_entry("a", entry(host, "z")); }).has_value(),
               host.dump());
  }
  BOOST_TEST(!value_of([&] { return parse_directory_entry("", entry("10.0.0.1", "z")); }));
  BOOST_TEST(!value_of(
    [&] { return parse_directory_entry("a", entry("10.0.0.1", std::string(500, 'z'))); }));
  BOOST_TEST(!value_of(
    [&] { return parse_directory_entry(std::string(255, 'a'), entry("10.0.0.1", "z")); }));
}

BOOST_AUTO_TEST_CASE(connection_to_an_odd_address_fails_like_any_other)
{
  // An exception here would end the process, because it is thrown on the traffic thread.
  boost::asio::io_context context;
  for (const std::string host : { "10.1", "localhost", "", "fe80::1%none", "1.2.3.4.5" }) {
    const byte_stream_ptr stream = std::make_shared<byte_stream>(context);
    std::optional<stream_close_reason> reason;
    stream->on_end = [&reason](stream_close_reason why) { reason = why; };
    BOOST_CHECK_NO_THROW(stream->connect({ host, 80 }, 100));
    BOOST_TEST(run_until(context, [&reason] { return reason.has_value(); }));
    BOOST_TEST((reason == stream_close_reason::not_connected), host);
  }
}

BOOST_AUTO_TEST_CASE(calls_with_durations_out_of_range_are_rejected)
{
  call_open call;
  call.head = { "GET", "/", {} };
  const auto is_read = [&call] {
    frame_decoder decoder({ TRAFFIC_HEAD_BYTES_MAX, TRAFFIC_HEAD_BYTES_MAX });
    std::vector<frame> frames;
    decoder.feed(encode_traffic(call), frames);
    return value_of([&] { return parse_traffic(std::move(frames.at(0))); }).has_value();
  };
  call.timeout_ms = 1000;
  BOOST_TEST(is_read());
  for (const std::int64_t odd : { std::int64_t{ -1 }, INT64_MAX, INT64_MIN }) {
    call.timeout_ms = odd;
    BOOST_TEST(!is_read(), odd);
  }
  call.timeout_ms = 1000;
  for (const std::int64_t odd : { INT64_MAX, INT64_MIN }) {
    call.objective_ms = odd;
    BOOST_TEST(!is_read(), odd);
  }
  call.objective_ms = -5; // The objective may have passed.
  BOOST_TEST(is_read());
}

BOOST_AUTO_TEST_SUITE_END()
