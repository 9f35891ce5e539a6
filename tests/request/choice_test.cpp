// Tests of which server a request goes to.
#include "request/request.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;

/** A proxy in zone west-a, and servers of `shop` with 10 slots each. */
struct choice_fixture
{
  /** Adds a node with a ready server. */
  void add(const node_id& id, const std::string& zone)
  {
    node_beacon node;
    node.id = id;
    node.boot_id = 1;
    node.sequence = 1;
    node.region = zone.substr(0, zone.find('-'));
    node.zone = zone;
    node.server = { "shop", "i-" + id, 10, server_state::ready };
    view.emplace(id, node);
  }

  /** Notes the load of a server. @param slowness 1: usual. */
  void note(const node_id& id, std::uint32_t running, double slowness = 1)
  {
    tracker.record_load(id, { running, 0, 10, static_cast<std::uint32_t>(slowness * 1000) }, now);
  }

  /** @return How many of 200 requests go to a server. */
  int count(const node_id& id, double bytes = 1000, std::int64_t priority = 1)
  {
    node_beacon self;
    self.id = "self";
    self.zone = "west-a";
    self.region = "west";
    int chosen = 0;
    for (int i = 0; i < 200; ++i) {
      choice_request request{ "shop", {}, priority, bytes, 0.3, {} };
      const choice_result result = choose_server(view, self, tracker, request, now, random);
      const auto* choice = std::get_if<server_choice>(&result);
      chosen += choice != nullptr && choice->node->id == id ? 1 : 0;
    }
    return chosen;
  }

  peer_view view;         ///< The nodes.
  server_tracker tracker; ///< What the proxy sees.
  random_source random;   ///< Random numbers.
  mono_ms now = 10'000;   ///< Clock.
};

BOOST_FIXTURE_TEST_SUITE(server_choices, choice_fixture)

BOOST_AUTO_TEST_CASE(idle_slow_server_is_chosen_only_once_the_fast_one_is_loaded)
{
  // Servers of one service differ threefold in speed. At moderate load none has to wait for a slow
  // one.
  add("fast", "west-a");
  add("slow", "west-a");
  note("fast", 7, 0.7);
  note("slow", 0, 2);
  BOOST_TEST(count("fast") == 200);
  note("fast", 16, 0.7);
  BOOST_TEST(count("slow") == 200);
}

BOOST_AUTO_TEST_CASE(equal_servers_share_the_requests)
{
  add("one", "west-a");
  add("two", "west-a");
  note("one", 3);
  note("two", 3);
  BOOST_TEST(count("one") > 60);
  BOOST_TEST(count("one") < 140);
}

BOOST_AUTO_TEST_CASE(best_server_does_not_attract_all_requests)
{
  // Each of many proxies knows the load of half a second ago. On the grown sites all of them sent
  // to the server that looked best, where requests then waited although others had room.
  for (int i = 0; i < 9; ++i) {
    add("s" + std::to_string(i), "west-a");
    note("s" + std::to_string(i), i == 0 ? 2 : 5, i == 0 ? 0.7 : 1);
  }
  BOOST_TEST(count("s0") > 30);
  BOOST_TEST(count("s0") < 110);
}

BOOST_AUTO_TEST_CASE(other_zone_is_chosen_only_when_the_own_zone_would_be_late)
{
  add("near", "west-a");
  add("far", "west-b");
  note("near", 5, 1.3);
  note("far", 0, 0.7);
  BOOST_TEST(count("near", 5000) == 200);
  note("near", 14, 1.3);
  BOOST_TEST(count("far", 5000) == 200);
}

BOOST_AUTO_TEST_CASE(old_beacon_does_not_replace_the_load_from_a_response)
{
  add("one", "west-a");
  add("two", "west-a");
  tracker.record_beacon(view.at("one"), now - 1000);
  note("one", 9);
  note("two", 2);
  now += 100;
  node_beacon old = view.at("one");
  old.sequence = 2;
  tracker.record_beacon(old, now);
  BOOST_TEST(count("two") == 200);
  // The same beacon again is no news either, however late.
  tracker.record_load("one", { 9, 0, 10, 1000 }, now + 600);
  now += 1100;
  tracker.record_beacon(old, now);
  tracker.record_load("two", { 2, 0, 10, 1000 }, now);
  BOOST_TEST(count("two") == 200);
}

BOOST_AUTO_TEST_CASE(server_behind_a_congested_link_is_no_candidate)
{
  add("far", "east-a");
  choice_request request{ "shop", {}, 1, 90'000, 0.3, [](const std::string&) { return false; } };
  node_beacon self;
  self.region = "west";
  const choice_result result = choose_server(view, self, tracker, request, now, random);
  BOOST_TEST(std::holds_alternative<no_candidate>(result));
}

BOOST_AUTO_TEST_CASE(full_server_is_skipped_until_its_backoff_ends)
{
  // At a crest each request asked three servers in vain, and the questions crossed zones.
  add("one", "west-a");
  add("two", "west-a");
  tracker.record_full("one", 1, 300, now);
  BOOST_TEST(count("two") == 200);
  BOOST_TEST(count("one", 1000, 0) > 0); // More urgent requests may find room.
  tracker.record_full("two", 1, 200, now);
  node_beacon self;
  self.zone = "west-a";
  choice_request request{ "shop", {}, 2, 1000, 0.3, {} };
  const choice_result result = choose_server(view, self, tracker, request, now, random);
  BOOST_REQUIRE(std::holds_alternative<no_capacity>(result));
  BOOST_TEST(std::get<no_capacity>(result).wait_ms == 200);
  now += 100;
  BOOST_TEST(count("one") > 0);
}

BOOST_AUTO_TEST_SUITE_END()
