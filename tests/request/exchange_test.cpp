// Tests of a request's course at the proxy where its caller is connected.
#include "request/request.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;

static constexpr std::uint64_t BOOT = 7;

/** A node in a zone, with a ready server. */
static node_beacon
make_node(const node_id& id, const std::string& zone, const service_id& service)
{
  node_beacon node;
  node.id = id;
  node.boot = BOOT;
  node.region = zone.substr(0, zone.find('-'));
  node.zone = zone;
  node.server = { service, "i-" + id, 4, server_state::ready };
  return node;
}

/** A proxy in zone west-a with three servers of `shop` and one of `other`. */
struct proxy_fixture
{
  proxy_fixture()
  {
    auto view = std::make_shared<peer_view>();
    for (const node_beacon& node : { make_node("a", "west-a", "other"),
                                     make_node("b", "west-a", "shop"),
                                     make_node("c", "west-b", "shop"),
                                     make_node("d", "east-a", "shop") }) {
      view->emplace(node.id, node);
    }
    proxy.self = view->at("a");
    proxy.view = view;
    proxy.limits = { 0.2, 400, 10'000 };
    route_document document;
    document.version = 3;
    route_rule rule{ "read", "h", "/read/", request_kind::idempotent, 300,
                     2,      800, 2,        { { "shop", 1 } } };
    document.rules.push_back(rule);
    rule.name = "order";
    rule.prefix = "/order/";
    rule.kind = request_kind::single;
    document.rules.push_back(rule);
    rule.name = "split";
    rule.prefix = "/split/";
    rule.targets = { { "shop", 90 }, { "other", 10 } };
    document.rules.push_back(rule);
    table = std::make_shared<const route_table>(std::move(document));
  }

  /** Starts a request. */
  std::string start(const std::string& target)
  {
    call = {};
    call.request_id = "r";
    call.head = { "GET", target, { { "Host", "h" } } };
    call.table = table;
    return raise(exchange_started{}, 0);
  }

  /** Raises an event. @return The effects but logs: `>b` sends to b, `x0` drops attempt 0, a status
   * ends the request. */
  std::string raise(const exchange_event& event, mono_ms now)
  {
    std::string text;
    for (const exchange_effect& effect : handle_exchange_event(call, event, proxy, now)) {
      std::visit(
        overloaded{
          [&](const send_attempt& item) {
            text += ">" + item.node + (item.is_repeat ? "! " : " ");
          },
          [&](const drop_attempt& item) { text += "x" + std::to_string(item.attempt) + " "; },
          [&](const give_answer& item) { text += std::to_string(item.head.status) + " "; },
          [&](const give_refusal& item) {
            text += std::to_string(item.status) + ":" + std::string(enum_name(item.reason)) +
                    (item.retry_after_ms > 0 ? "+ " : " ");
          },
          [](const exchange_log&) {},
        },
        effect);
    }
    return text;
  }

  proxy_state proxy;     ///< What requests share.
  route_table_ptr table; ///< The configuration.
  exchange_state call;   ///< The request.
};

BOOST_FIXTURE_TEST_SUITE(exchange_course, proxy_fixture)

BOOST_AUTO_TEST_CASE(the_near_server_is_asked_and_its_answer_given)
{
  BOOST_TEST(start("/read/1") == ">b ");
  BOOST_TEST(raise(attempt_answered{ 0, { 200, {} }, "x", {} }, 10) == "200 ");
  BOOST_TEST(raise(exchange_expired{}, 900) == "");
}

BOOST_AUTO_TEST_CASE(a_node_that_turns_it_away_leads_to_the_next)
{
  start("/order/1");
  const load_report full{ 4, 9, 4, 1000 };
  BOOST_TEST(raise(attempt_failed{ 0, refusal::queue_full, outcome::not_run, 80, full }, 5) ==
             ">c ");
  BOOST_TEST(raise(attempt_failed{ 1, refusal::queue_full, outcome::not_run, 60, full }, 9) ==
             ">d ");
  BOOST_TEST(raise(attempt_failed{ 2, refusal::queue_full, outcome::not_run, 90, full }, 30) ==
             "503:queue_full+ ");
}

BOOST_AUTO_TEST_CASE(what_may_have_run_is_never_said_not_to_have)
{
  start("/order/1");
  BOOST_TEST(raise(attempt_failed{ 0, refusal::link_lost, outcome::unknown, 0, {} }, 5) ==
             "502:link_lost ");
}

BOOST_AUTO_TEST_CASE(an_idempotent_request_is_repeated_within_its_attempts)
{
  start("/read/1");
  BOOST_TEST(raise(attempt_failed{ 0, refusal::server_lost, outcome::unknown, 0, {} }, 5) ==
             ">c! ");
  BOOST_TEST(raise(attempt_failed{ 1, refusal::server_lost, outcome::unknown, 0, {} }, 9) ==
             "502:server_lost ");
}

BOOST_AUTO_TEST_CASE(a_failed_answer_is_repeated_once_for_idempotent_requests_only)
{
  start("/read/1");
  BOOST_TEST(raise(attempt_answered{ 0, { 500, {} }, "", {} }, 5) == ">c! ");
  BOOST_TEST(raise(attempt_answered{ 1, { 500, {} }, "", {} }, 9) == "500 ");
  start("/order/1");
  BOOST_TEST(raise(attempt_answered{ 0, { 500, {} }, "", {} }, 5) == "500 ");
}

BOOST_AUTO_TEST_CASE(repeats_stay_within_the_fleets_allowance)
{
  proxy.limits = { 0, 16, 10'000 }; // Two for each of four nodes, with half of the share in use.
  start("/read/1");
  BOOST_TEST(raise(attempt_failed{ 0, refusal::server_lost, outcome::unknown, 0, {} }, 5) ==
             ">c! ");
  start("/read/2");
  raise(attempt_failed{ 0, refusal::server_lost, outcome::unknown, 0, {} }, 6);
  start("/read/3");
  BOOST_TEST(raise(attempt_failed{ 0, refusal::server_lost, outcome::unknown, 0, {} }, 7) ==
             "502:server_lost ");
}

BOOST_AUTO_TEST_CASE(the_end_of_time_and_a_gone_caller_drop_what_is_open)
{
  start("/read/1");
  BOOST_TEST(raise(exchange_expired{}, 800) == "x0 504:timed_out ");
  start("/read/1");
  BOOST_TEST(raise(caller_left{}, 10) == "x0 ");
}

BOOST_AUTO_TEST_CASE(no_route_no_configuration_and_no_server)
{
  BOOST_TEST(start("/none/1") == "404:no_route ");
  table = nullptr;
  BOOST_TEST(start("/read/1") == "503:stale+ ");
}

BOOST_AUTO_TEST_CASE(a_split_keeps_its_weights)
{
  std::map<std::string, int> counts;
  for (int i = 0; i < 300; ++i) {
    start("/split/1");
    ++counts[call.service];
    raise(caller_left{}, 1);
  }
  BOOST_TEST(counts["other"] >= 28);
  BOOST_TEST(counts["other"] <= 32);
}

BOOST_AUTO_TEST_CASE(a_proxy_that_ends_takes_only_what_fits)
{
  proxy.ends_at = 500;
  BOOST_TEST(start("/read/1") == "503:draining+ ");
  proxy.ends_at = 900;
  BOOST_TEST(start("/read/1") == ">b ");
}

BOOST_AUTO_TEST_CASE(a_server_that_fails_requests_is_avoided_and_tried_again_later)
{
  for (int i = 0; i < 12; ++i) {
    proxy.sights.note_result("b", true, 0);
  }
  BOOST_TEST(start("/read/1") == ">c ");
  raise(caller_left{}, 1);
  call = {};
  call.head = { "GET", "/read/1", { { "Host", "h" } } };
  call.table = table;
  BOOST_TEST(raise(exchange_started{}, 20'000) == ">b ");
}

BOOST_AUTO_TEST_SUITE_END()
