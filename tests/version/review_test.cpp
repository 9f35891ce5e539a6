// Tests of the review of configurations before they are published.
#include "version/version.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;

/** Makes a rule that has no finding. */
static route_rule
make_rule(const std::string& name, const std::string& prefix)
{
  return { name, "h", prefix, request_kind::idempotent, 300, 1, 800, 2, { { "shop", 1 } } };
}

/** Makes a configuration that has no finding. */
static route_document
make_content()
{
  route_document content;
  content.version = 7;
  content.rules = { make_rule("read", "/read/"), make_rule("all", "/") };
  content.services = { { "shop", "/healthz" } };
  content.accounts = { { "till", { "k1", "k2" }, 1, 20, 5 } };
  return content;
}

/** Returns the findings as text. */
static std::vector<std::string>
review(const route_document& content)
{
  std::vector<std::string> lines;
  for (const review_finding& item : review_configuration(route_table(content))) {
    lines.push_back(std::string(enum_name(item.fault)) + " " +
                    std::string(enum_name(item.section)) + " " + item.name + ": " + item.detail);
  }
  return lines;
}

using lines = std::vector<std::string>;

BOOST_AUTO_TEST_SUITE(config_reviews)

BOOST_AUTO_TEST_CASE(sound_configuration_has_no_findings)
{
  BOOST_TEST(review(make_content()) == lines{}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(rule_that_the_lookup_never_returns_is_found)
{
  route_document content = make_content();
  content.rules.push_back(make_rule("again", "/read/"));
  content.rules.back().host = "H:80";
  BOOST_TEST(review(content) ==
               lines{ "never_matches route again H:80/read/: hidden by read h/read/" },
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(limits_that_contradict_each_other_are_found)
{
  route_document content = make_content();
  content.limits.body_bytes_max = 0;
  content.limits.idle_timeout_ms = 0;
  content.rules[0].kind = request_kind::upload;
  content.rules[0].objective_ms = 900;
  content.rules[1].timeout_ms = 0;
  content.accounts[0].burst_requests = 0.5;
  BOOST_TEST(
    review(content) ==
      (lines{ "limits_contradict limits : idle_timeout_ms=0: no connection can be reused",
              "limits_contradict route read h/read/: objective_ms=900 over timeout_ms=800",
              "limits_contradict route read h/read/: uploads, but body_bytes_max=0",
              "limits_contradict route all h/: timeout_ms=0: each request times out at once",
              "limits_contradict account till: a quota whose burst allows no whole request" }),
    boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(entries_without_effect_are_found)
{
  route_document content = make_content();
  content.services.push_back({ "unused", "" });
  content.rules[0].targets = { { "shop", 1 }, { "shop", 0 } };
  content.accounts = { { "till", {}, {}, 0, 3 } };
  BOOST_TEST(
    review(content) ==
      (lines{ "no_effect route read h/read/: target shop has weight 0",
              "no_effect route read h/read/: target shop occurs more than once",
              "no_effect service unused: no route",
              "never_matches account till: no key",
              "no_effect account till: a burst without a rate: the account is unlimited" }),
    boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(version_that_proxies_would_ignore_is_found)
{
  route_document base = make_content();
  BOOST_TEST(review_succession(make_content(), base).size() == 1U);
  base.version = 6;
  BOOST_TEST(review_succession(make_content(), base).empty());
}

BOOST_AUTO_TEST_CASE(differences_name_the_entries_and_no_key)
{
  const route_document base = make_content();
  route_document content = make_content();
  content.rules[0].timeout_ms = 900;
  content.rules[1].name = "rest";
  content.accounts[0].keys = { "k2", "k3", "k4" };
  content.accounts[0].rate_per_s = 12.5;
  std::vector<std::string> found;
  for (const config_difference& item : compare_configurations(content, base)) {
    found.push_back(std::string(enum_name(item.change)) + " " + item.name + ": " + item.detail);
  }
  BOOST_TEST(found == (lines{ "changed read h/read/: timeout_ms: 800 -> 900",
                              "added rest h/: ",
                              "changed till: rate_per_s: 20 -> 12.5 keys added=2 removed=1",
                              "removed all h/: " }),
             boost::test_tools::per_element());
  BOOST_TEST(compare_configurations(base, base).empty());
}

BOOST_AUTO_TEST_CASE(routes_of_a_document_that_others_cover_are_found)
{
  document content;
  content.services["shop"] = { work_class::interactive, 500, 10, 500 };
  content.routes["a"] = { 2, "", "/shop", {}, {}, idempotency::never, { { "shop", 1 } } };
  content.routes["b"] = { 1, "h", "/shop/x", { "GET" }, {}, idempotency::never, { { "shop", 1 } } };
  content.routes["c"] = { 1, "", "/shopping", {}, {}, idempotency::never, { { "shop", 1 } } };
  const auto findings = review_configuration(content);
  BOOST_REQUIRE(findings.size() == 2U);
  BOOST_TEST(
    (findings[0] ==
     review_finding{ review_fault::never_matches, config_section::route, "b", "hidden by a" }));
  BOOST_TEST((findings[1].fault == review_fault::limits_contradict));
}

BOOST_AUTO_TEST_SUITE_END()
