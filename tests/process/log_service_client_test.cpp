// Tests of the client of the log service. A page that is not consistent in itself must be rejected
// as a whole, since its records would be applied at wrong offsets.
#include "fakes/broken_responses.h"
#include "fakes/fake_server.h"
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

/** Returns the name of the fault of a result, or an empty string. */
static std::string
fault_of(const log_service_result& result)
{
  const auto* fault = std::get_if<log_service_fault>(&result);
  return fault == nullptr ? "" : std::string(enum_name(*fault));
}

/** Reads from a log service and appends to it. Returns the faults of both calls, in order. */
static std::string
call_log_service(const fake_server& service)
{
  log_service_client client("http://127.0.0.1:" + std::to_string(service.port()), 2000);
  std::string result;
  client.read(log_service_stream::config, 1, 10, 0, [&](const log_service_result& read) {
    result = fault_of(read) + "/";
    client.append(log_service_stream::config, "x", [&](const log_service_result& appended) {
      result += fault_of(appended) + "/";
    });
  });
  BOOST_TEST(run_until([&] { return std::count(result.begin(), result.end(), '/') == 2; }));
  return result;
}

// Guards against a broken response being taken for a page, or for the proof that a record was or
// was not written.
BOOST_AUTO_TEST_CASE(broken_responses_prove_nothing)
{
  const std::string page = R"({"first":1,"next":2,"offset":1,"records":[]})";
  fake_server service;
  service.behaviour = fake_response::given_then_close;
  for (const std::string& head : heads_with_odd_status("r")) {
    service.given_response = head + "\r\n" + page;
    BOOST_TEST(call_log_service(service) == "no_answer/no_answer/", head);
  }
  service.behaviour = fake_response::given_then_reset;
  for (std::size_t length = 0; length < page.size(); ++length) {
    service.given_response = "HTTP/1.1 200 OK\r\n\r\n" + page.substr(0, length);
    BOOST_TEST(call_log_service(service) == "malformed/no_answer/", length);
  }
}

BOOST_AUTO_TEST_SUITE_END()
