// Tests of log lines.
#include "process/process.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;

BOOST_AUTO_TEST_SUITE(log_lines)

BOOST_AUTO_TEST_CASE(values_cannot_forge_fields_or_lines)
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
