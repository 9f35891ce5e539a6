// Tests of the routing of requests and of the decision about retries.
#include "fakes/expect.h"
#include "request/request.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;
using nlohmann::json;

/** Compiles a configuration version from the text of a document. */
static compiled_version_ptr
make_version(const std::string& text)
{
  const json source = json::parse(text);
  return compile_version(1, "digest", source, *value_of([&] { return parse_document(source); }));
}

BOOST_AUTO_TEST_SUITE(routes)

BOOST_AUTO_TEST_CASE(first_match_by_priority_and_prefix_length_wins)
{
  const compiled_version_ptr version = make_version(R"({
    "services": { "a": {}, "b": {}, "c": {}, "d": {}, "e": {} },
    "routes": {
      "all": { "path_prefix": "/", "targets": [ { "service": "a" } ] },
      "shop": { "path_prefix": "/shop", "targets": [ { "service": "b" } ] },
      "post": { "path_prefix": "/shop", "methods": [ "POST" ], "priority": 1,
                "targets": [ { "service": "c" } ] },
      "host": { "path_prefix": "/", "host": "other", "priority": 5, "targets": [ { "service": "d" } ] },
      "beta": { "path_prefix": "/shop", "header": { "name": "x-beta", "value": "yes" }, "priority": 4,
                "targets": [ { "service": "e" } ], "idempotent": "always" } } })");
  struct row
  {
    request_head head;
    std::string service;
    bool is_idempotent;
  };
  const std::vector<row> rows = {
    { { "GET", "/", {} }, "a", true },
    { { "GET", "/shopping", {} }, "a", true },
    { { "GET", "/shop", {} }, "b", true },
    { { "GET", "/shop/x?y", {} }, "b", true },
    { { "GET", "/shop?y", {} }, "b", true },
    { { "POST", "/shop", {} }, "c", false },
    { { "PUT", "/shop", {} }, "b", true },
    { { "PATCH", "/shop", {} }, "b", false },
    { { "GET", "/shop", { { "Host", "other:80" } } }, "d", true },
    { { "POST", "/shop", { { "X-Beta", "yes" } } }, "e", true },
    { { "POST", "/shop", { { "X-Beta", "no" } } }, "c", false },
  };
  random_source random(1);
  for (const row& item : rows) {
    const auto decision = decide_route(*version, item.head, random);
    BOOST_REQUIRE(decision.has_value());
    BOOST_TEST(decision->service == item.service);
    BOOST_TEST(decision->is_idempotent == item.is_idempotent);
  }
}

BOOST_AUTO_TEST_CASE(requests_are_shared_by_target_weight)
{
  const compiled_version_ptr version = make_version(R"({ "services": { "a": {}, "b": {}, "c": {} },
    "routes": { "r": { "path_prefix": "/", "targets": [ { "service": "a", "weight": 90 },
      { "service": "b", "weight": 10 }, { "service": "c", "weight": 0 } ] } } })");
  random_source random(7);
  std::map<std::string, int> counts;
  for (int i = 0; i < 10'000; ++i) {
    ++counts[decide_route(*version, { "GET", "/", {} }, random)->service];
  }
  BOOST_TEST(counts["a"] > 8800);
  BOOST_TEST(counts["a"] < 9200);
  BOOST_TEST(counts.count("c") == 0U);
}

BOOST_AUTO_TEST_CASE(request_without_a_route_gets_no_decision)
{
  const compiled_version_ptr version = make_version("{}");
  random_source random(1);
  BOOST_TEST(!decide_route(*version, { "GET", "/", {} }, random).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(retries)

BOOST_AUTO_TEST_CASE(non_idempotent_request_that_may_have_run_is_never_retried)
{
  for (const enum_row<failure_reason>& reason : FAILURE_REASON_ROWS) {
    for (const enum_row<outcome>& result : OUTCOME_ROWS) {
      retry_budget budget;
      const retry_verdict verdict =
        decide_retry({ reason.value, result.value, false, 1, 100 }, budget);
      if (result.value != outcome::not_run) {
        BOOST_TEST(enum_name(verdict) == "may_have_run");
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(verdict_depends_on_reason_attempts_and_time)
{
  struct row
  {
    retry_request request;
    std::string verdict;
  };
  const std::vector<row> rows = {
    { { failure_reason::queue_full, outcome::not_run, false, 1, 100 }, "again" },
    { { failure_reason::server_lost, outcome::unknown, true, 1, 100 }, "again" },
    { { failure_reason::key_malformed, outcome::not_run, true, 1, 100 }, "no_help" },
    { { failure_reason::queue_full, outcome::not_run, true, ATTEMPTS_MAX, 100 }, "attempts_spent" },
    { { failure_reason::queue_full, outcome::not_run, true, 1, 0 }, "no_time" },
  };
  for (const row& item : rows) {
    retry_budget budget;
    BOOST_TEST(enum_name(decide_retry(item.request, budget)) == item.verdict);
  }
}

BOOST_AUTO_TEST_CASE(retry_budget_bounds_retries_to_its_percentage)
{
  retry_budget budget;
  int withdrawn = 0;
  static constexpr int REQUESTS = 10'000;
  for (int i = 0; i < REQUESTS; ++i) {
    budget.deposit(5);
    withdrawn += budget.try_withdraw() ? 1 : 0;
  }
  // The budget starts with 10 tokens.
  BOOST_TEST(withdrawn <= REQUESTS * 5 / 100 + 10);
  BOOST_TEST(withdrawn >= REQUESTS * 5 / 100);
}

BOOST_AUTO_TEST_SUITE_END()
