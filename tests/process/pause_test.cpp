// Tests of the detection of pauses, of the limit on log lines about rejected input, and of IP
// addresses.
#include "process/process.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;

BOOST_AUTO_TEST_SUITE(pauses_and_odd_input)

BOOST_AUTO_TEST_CASE(pause_is_noticed_whichever_thread_runs_first)
{
  pause_monitor pauses;
  BOOST_TEST(!pauses.was_paused(50));
  for (mono_ms now = 100; now <= 1000; now += 100) {
    pauses.record_tick(now);
    BOOST_TEST(!pauses.was_paused(now + 90));
  }
  // The traffic thread runs first after a pause of 5 s.
  BOOST_TEST(pauses.was_paused(6000));
  // The control thread has ticked, and input of the pause is still being read.
  pauses.record_tick(6010);
  BOOST_TEST(pauses.was_paused(6020));
  pauses.record_tick(6110);
  pauses.record_tick(6400);
  BOOST_TEST(!pauses.was_paused(6410));
}

BOOST_AUTO_TEST_CASE(repeated_odd_input_is_counted_and_rarely_logged)
{
  refused_input_log log;
  const std::uint64_t before = counter_value(counter_id::inputs_refused);
  int lines = 0;
  for (mono_ms now = 0; now < 10'000; ++now) {
    lines += log.report("directory", { { "fault", "bad_record" } }, now) ? 1 : 0;
  }
  BOOST_TEST(lines == 10);
  BOOST_TEST(counter_value(counter_id::inputs_refused) - before == 10'000U);
  BOOST_TEST(log.report("beacons", {}, 10'000 - 1)); // Another edge is logged by itself.
}

BOOST_AUTO_TEST_CASE(only_whole_ip_addresses_are_accepted)
{
  for (const std::string text : { "10.0.0.1", "127.0.0.1", "0.0.0.0", "::1", "fe80::1" }) {
    BOOST_TEST(is_ip_address(text), text);
  }
  for (const std::string text : { "",
                                  "1",
                                  "10.1",
                                  "10.0.0.256",
                                  "010.0.0.1",
                                  "0x7f.0.0.1",
                                  "host",
                                  "10.0.0.1:80",
                                  " 10.0.0.1",
                                  "fe80::1%eth0",
                                  "[::1]" }) {
    BOOST_TEST(!is_ip_address(text), text);
  }
  for (const std::string text : { "10.0.0.1:0",
                                  "10.0.0.1:65536",
                                  "10.0.0.1:-1",
                                  "10.0.0.1:",
                                  "10.0.0.1",
                                  "10.0.0.1:8 ",
                                  "10.0.0.1:1e3" }) {
    BOOST_TEST(!parse_endpoint(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()
