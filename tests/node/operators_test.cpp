// Tests of the parsers for request bodies on the operators' port, which accept untrusted input.
#include "fakes/expect.h"
#include "process/node.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;

BOOST_AUTO_TEST_SUITE(operator_calls)

BOOST_AUTO_TEST_CASE(parses_a_valid_publish)
{
  const auto parsed = value_of([] {
    return parse_publish(R"({"publish_id":"p","author":"a","base_version":3,"document":{}})");
  });
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed->publish_id == "p");
  BOOST_TEST(parsed->base_version.value_or(0) == 3U);
}

BOOST_AUTO_TEST_CASE(each_fault_reports_its_field)
{
  struct row
  {
    std::string body;
    std::string fault;
    std::string field;
  };
  const std::vector<row> publishes = {
    { "", "not_json", "" },
    { "[]", "not_json", "" },
    { std::string(1000, '['), "not_json", "" },
    { R"({"author":"a","document":{}})", "missing_field", "publish_id" },
    { R"({"publish_id":"","author":"a","document":{}})", "bad_value", "publish_id" },
    { R"({"publish_id":"p","author":7,"document":{}})", "missing_field", "author" },
    { R"({"publish_id":"p","author":"a"})", "missing_field", "document" },
    { R"({"publish_id":"p","author":"a","base_version":-1,"document":{}})",
      "missing_field",
      "base_version" },
  };
  for (const row& item : publishes) {
    const auto error = error_of<operator_error>([&] { return parse_publish(item.body); });
    BOOST_REQUIRE_MESSAGE(error.has_value(), item.body);
    BOOST_TEST(enum_name(error->fault) == item.fault);
    BOOST_TEST(error->field == item.field);
  }
  const std::vector<row> announcements = {
    { "", "not_json", "" },
    { R"({"host":"127.0.0.1","port":1,"slots":1,"state":"ready"})", "missing_field", "service" },
    { R"({"service":"s","host":"x","port":1,"slots":1,"state":"ready"})", "bad_value", "host" },
    { R"({"service":"s","host":"127.0.0.1","port":70000,"slots":1,"state":"ready"})",
      "bad_value",
      "port" },
    { R"({"service":"s","host":"127.0.0.1","port":1,"slots":999999,"state":"ready"})",
      "bad_value",
      "slots" },
    { R"({"service":"s","host":"127.0.0.1","port":1,"slots":1,"state":"warm"})",
      "bad_value",
      "state" },
  };
  for (const row& item : announcements) {
    const auto error = error_of<operator_error>([&] { return parse_announcement(item.body); });
    BOOST_REQUIRE_MESSAGE(error.has_value(), item.body);
    BOOST_TEST(enum_name(error->fault) == item.fault);
    BOOST_TEST(error->field == item.field);
  }
}

BOOST_AUTO_TEST_SUITE_END()
