// Tests of frames and messages: round trips, and errors for malformed input.
#include "connection/connection.h"
#include "fakes/expect.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace shallotfield;

/** One message of each type on control links. */
static std::vector<control_message>
control_samples()
{
  member_record record;
  record.id = "west-a-1";
  record.incarnation = 5;
  record.sequence = 6;
  record.state = member_state::draining;
  record.region = "west";
  record.zone = "west-a";
  record.control = { "127.0.0.1", 77 };
  record.traffic_port = 78;
  record.server = { "catalogue", 20, server_state::cold };
  const version_summary summary{ { { 7, 3 }, { 6, 1 } }, { "east-a-1" } };
  return { hello_message{ PROTOCOL_VERSION, record, UINT64_MAX },
           subscribe_message{ 4, "chain", true },
           entries_message{ { { 5, std::string("\x00\xff", 2), "chain" }, { 6, "", "c" } } },
           snapshot_message{ "snapshot" },
           members_message{ { record, record }, true, false },
           heartbeat_message{ 9, 10, 11, 12, 13, true, summary },
           fleet_message{ summary },
           goodbye_message{},
           census_message{ { 3, { { "west", { "west-a-1" } } } } } };
}

/** One traffic message of each type but call_full_response, link_ping and link_pong. */
static std::vector<traffic_message>
traffic_samples()
{
  call_open open;
  open.id = 1;
  open.head = { "POST", "/orders?x=1", { { "A", "b" }, { "C", "" } } };
  open.service = "ordering";
  open.kind = work_class::bulk;
  open.is_idempotent = true;
  open.key = "key";
  open.customer = "toys";
  open.region = "west";
  open.timeout_ms = 500;
  open.version = 3;
  open.window_bytes = 4096;
  open.body = std::string("\x00binary\xff", 8);
  const load_report load{ 1, 2, 3 };
  return { open,
           call_cancel{ 1 },
           call_credit{ 1, 100, {}, 0 },
           call_credit{ 2, 60000, "rule", 1500 },
           call_response_head{ 1, { 200, { { "A", "b" } } }, load },
           call_response_data{ 1, "data" },
           call_response_end{ 1, 4, load },
           call_failed{ 1, failure_reason::shed, outcome::not_run, 50, load },
           key_query{ 1, "key" },
           key_reply{ 1, key_claim::barred } };
}

/** Splits bytes into frames with the limits of a control link. */
static std::vector<frame>
decode(const std::string& bytes)
{
  frame_decoder decoder({ CONTROL_FRAME_BYTES_MAX, CONTROL_FRAME_BYTES_MAX });
  std::vector<frame> frames;
  BOOST_TEST(!decoder.feed(bytes, frames).has_value());
  return frames;
}

BOOST_AUTO_TEST_SUITE(frames)

BOOST_AUTO_TEST_CASE(control_messages_round_trip_with_any_fragmentation)
{
  std::string bytes;
  for (const control_message& message : control_samples()) {
    bytes += encode_control(message);
  }
  for (const std::size_t piece : { std::size_t{ 1 }, std::size_t{ 7 }, bytes.size() }) {
    frame_decoder decoder({ CONTROL_FRAME_BYTES_MAX, CONTROL_FRAME_BYTES_MAX });
    std::vector<frame> frames;
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
      BOOST_TEST(!decoder.feed(bytes.substr(at, piece), frames).has_value());
    }
    BOOST_REQUIRE(frames.size() == control_samples().size());
    for (std::size_t i = 0; i < frames.size(); ++i) {
      const auto parsed = value_of([&] { return parse_control(frames[i]); });
      BOOST_REQUIRE(parsed.has_value());
      BOOST_TEST((*parsed == control_samples()[i]));
    }
  }
}

BOOST_AUTO_TEST_CASE(traffic_messages_round_trip)
{
  for (const traffic_message& message : traffic_samples()) {
    std::vector<frame> frames = decode(encode_traffic(message));
    BOOST_REQUIRE(frames.size() == 1U);
    const auto parsed = value_of([&] { return parse_traffic(std::move(frames[0])); });
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST((*parsed == message));
  }
}

BOOST_AUTO_TEST_CASE(frame_lengths_are_checked_before_the_frame_arrives)
{
  struct row
  {
    std::string bytes;
    frame_fault fault;
  };
  const std::vector<row> rows = {
    { std::string("\xff\xff\xff\xff\x00\x00\x00\x01", 8), frame_fault::too_large },
    { std::string("\x00\x00\x00\x20\x00\x00\x10\x00", 8), frame_fault::too_large },
    { std::string("\x00\x00\x00\x03\x00\x00\x00\x00", 8), frame_fault::bad_length },
    { std::string("\x00\x00\x00\x08\x00\x00\x00\x05", 8), frame_fault::bad_length },
  };
  for (const row& item : rows) {
    frame_decoder decoder({ 1024, 2048 });
    std::vector<frame> frames;
    const auto error = decoder.feed(item.bytes, frames);
    BOOST_REQUIRE(error.has_value());
    BOOST_TEST(enum_name(error->fault) == enum_name(item.fault));
  }
}

BOOST_AUTO_TEST_CASE(invalid_heads_are_rejected_with_the_matching_fault)
{
  struct row
  {
    std::string head;
    frame_fault fault;
  };
  nlohmann::json other_protocol =
    nlohmann::json::from_msgpack(decode(encode_control(control_samples()[0]))[0].head);
  other_protocol["protocol"] = PROTOCOL_VERSION + 1;
  std::string protocol_bytes;
  nlohmann::json::to_msgpack(other_protocol, protocol_bytes);
  const std::vector<row> rows = {
    { "", frame_fault::bad_head },
    { "\xc1", frame_fault::bad_head },
    { std::string(5000, '\x91'), frame_fault::too_deep },
    { std::string("\xdd\xff\xff\xff\xff", 5), frame_fault::bad_head },
    { "\x80", frame_fault::bad_message },
    { "\x90", frame_fault::bad_message },
    { protocol_bytes, frame_fault::wrong_protocol },
  };
  for (const row& item : rows) {
    const auto error = error_of<frame_error>([&] { return parse_control({ item.head, "" }); });
    BOOST_REQUIRE(error.has_value());
    BOOST_TEST(enum_name(error->fault) == enum_name(item.fault));
  }
}

BOOST_AUTO_TEST_CASE(mutated_frames_parse_or_fail_with_a_frame_error)
{
  std::vector<std::string> samples;
  for (const control_message& message : control_samples()) {
    samples.push_back(encode_control(message));
  }
  for (const traffic_message& message : traffic_samples()) {
    samples.push_back(encode_traffic(message));
  }
  std::mt19937_64 random(20261204);
  for (int i = 0; i < 50'000; ++i) {
    std::string bytes = samples[random() % samples.size()];
    for (std::uint64_t k = random() % 4; k < 4; ++k) {
      bytes[random() % bytes.size()] = static_cast<char>(random() & 0xffU);
    }
    frame_decoder decoder({ 4096, 8192 });
    std::vector<frame> frames;
    if (decoder.feed(bytes, frames)) {
      continue;
    }
    for (const frame& item : frames) {
      const auto control_error = error_of<frame_error>([&] { return parse_control(item); });
      const bool is_control = value_of([&] { return parse_control(item); }).has_value();
      BOOST_REQUIRE(is_control != control_error.has_value());
      const auto parse = [&] {
        frame copy = item;
        return parse_traffic(std::move(copy));
      };
      BOOST_REQUIRE(value_of(parse).has_value() != error_of<frame_error>(parse).has_value());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
