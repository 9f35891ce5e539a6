// Tests of the format of log lines and of their rate limit. Values from outside must not inject
// fields or lines, and lines about successes must not displace those about failures.
#include "process/process.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;

BOOST_AUTO_TEST_SUITE(log_lines)

BOOST_AUTO_TEST_CASE(values_cannot_inject_fields_or_lines)
{
  struct row
  {
    std::string value;
    std::string expected;
  };
  const std::vector<row> rows = {
    { "plain", "event=alarm key=plain" },
    { "", "event=alarm key=\"\"" },
    { "two words", "event=alarm key=\"two words\"" },
    { "a=b", "event=alarm key=\"a=b\"" },
    { "x\nevent=publish", "event=alarm key=\"x\\x0aevent=publish\"" },
    { "say \"hi\"", "event=alarm key=\"say \\\"hi\\\"\"" },
    { "back\\slash", "event=alarm key=\"back\\\\slash\"" },
    { "\xc3\xa4", "event=alarm key=\"\\xc3\\xa4\"" },
  };
  for (const row& item : rows) {
    const std::vector<log_field> fields = { { "key", item.value } };
    BOOST_TEST(format_log_line(log_event::alarm, fields) == item.expected);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(log_volume)

BOOST_AUTO_TEST_CASE(rate_limit_reserves_lines_for_failures)
{
  log_rate_limiter limiter;
  std::int64_t routine = 0;
  std::int64_t failures = 0;
  for (int i = 0; i < 1000; ++i) { // All within one second, the window of the limit.
    routine += limiter.try_acquire(true, i / 2) ? 1 : 0;
    failures += limiter.try_acquire(false, i / 2) ? 1 : 0;
  }
  BOOST_TEST(routine == log_rate_limiter::ROUTINE_LINES_PER_S_MAX);
  BOOST_TEST(failures ==
             log_rate_limiter::LINES_PER_S_MAX - log_rate_limiter::ROUTINE_LINES_PER_S_MAX);
  BOOST_TEST(limiter.routine_dropped() + limiter.failures_dropped() ==
             static_cast<std::uint64_t>(2000 - log_rate_limiter::LINES_PER_S_MAX));
  BOOST_TEST(limiter.try_acquire(true, 1000)); // A new window starts.
}

BOOST_AUTO_TEST_SUITE_END()
