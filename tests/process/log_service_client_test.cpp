// Tests of the parser for responses of the log service. A page that is not consistent in itself
// must be rejected as a whole, since its records would be applied at wrong offsets.
#include "process/process.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;

BOOST_AUTO_TEST_SUITE(log_pages)

BOOST_AUTO_TEST_CASE(parses_a_valid_page)
{
  const log_service_result result = parse_log_service_page(
    R"({"first":3,"next":6,"records":[{"offset":4,"data":"YQ=="},{"offset":5,"data":""}]})");
  const auto* page = std::get_if<log_service_page>(&result);
  BOOST_REQUIRE(page != nullptr);
  BOOST_TEST(page->first == 3U);
  BOOST_TEST(page->next == 6U);
  BOOST_TEST(page->records.size() == 2U);
  BOOST_TEST(page->records[0].bytes == "a");
}

BOOST_AUTO_TEST_CASE(rejects_malformed_pages)
{
  for (
    const std::string body : {
      R"()",
      R"([])",
      R"({"first":1,"next":2})",
      R"({"first":-1,"next":2,"records":[]})",
      R"({"first":1,"next":2,"records":{}})",
      R"({"first":1,"next":9,"records":[{"offset":1,"data":"YQ=="},{"offset":3,"data":"YQ=="}]})",
      R"({"first":1,"next":9,"records":[{"offset":2,"data":"YQ=="},{"offset":1,"data":"YQ=="}]})",
      R"({"first":5,"next":9,"records":[{"offset":4,"data":"YQ=="}]})",
      R"({"first":1,"next":2,"records":[{"offset":2,"data":"YQ=="}]})",
      R"({"first":1,"next":2,"records":[{"offset":1,"data":"*"}]})",
      R"({"first":1,"next":2,"records":[{"offset":1,"data":7}]})",
      R"({"first":1,"next":2,"records":[7]})",
    }) {
    const log_service_result result = parse_log_service_page(body);
    const auto* fault = std::get_if<log_service_fault>(&result);
    BOOST_REQUIRE_MESSAGE(fault != nullptr, body);
    BOOST_TEST(enum_name(*fault) == "malformed");
  }
}

BOOST_AUTO_TEST_SUITE_END()
