// Tests of what may be under way to another region.
#include "request/request.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace shallotfield;

/** A link between regions that sends one byte after the other, and proxies that send as their
 * budgets allow. A fake by hand: time moves in steps of a millisecond. */
struct link_world
{
  static constexpr double BYTES_PER_MS = 3750; ///< 30 Mbit/s.
  static constexpr mono_ms ROUND_TRIP_MS = 16; ///< Of an empty link.
  static constexpr double LARGE = 90'000;      ///< A large answer.
  static constexpr double SMALL = 3000;        ///< A short one.

  /** A request under way. */
  struct transfer
  {
    std::size_t proxy = 0; ///< Who asked.
    double bytes = 0;      ///< Of the answer.
    mono_ms sent_at = 0;   ///< When.
  };

  explicit link_world(std::size_t proxies)
    : budgets(proxies)
  {
  }

  /** Plays some time. @param large_per_s Large answers asked for, by all proxies together. */
  void play(mono_ms for_ms, double large_per_s, bool is_limited)
  {
    const mono_ms end = now + for_ms;
    for (; now < end; ++now) {
      due += large_per_s / 1000;
      for (; due >= 1; due -= 1) {
        ask(LARGE, is_limited);
      }
      if (now % 10 == 0) {
        ask(SMALL, is_limited);
      }
      carry();
    }
  }

  void ask(double bytes, bool is_limited)
  {
    const std::size_t proxy = next++ % budgets.size();
    if (is_limited && !budgets[proxy].has_room("east", bytes, now)) {
      ++refused;
      return;
    }
    budgets[proxy].note_sent("east", bytes, now);
    queue.push_back({ proxy, bytes, now });
  }

  void carry()
  {
    double room = BYTES_PER_MS;
    while (!queue.empty() && room > 0) {
      transfer& first = queue.front();
      const double part = std::min(room, first.bytes - carried);
      room -= part;
      carried += part;
      delivered += part;
      if (carried < first.bytes) {
        return;
      }
      carried = 0;
      const mono_ms transit = now - first.sent_at + ROUND_TRIP_MS;
      budgets[first.proxy].note_ended("east", first.bytes);
      if (path_budget::is_short(first.bytes)) {
        budgets[first.proxy].note_transit("east", transit, now);
        slowest_ms = std::max(slowest_ms, transit);
      }
      queue.pop_front();
    }
  }

  std::vector<path_budget> budgets; ///< One for each proxy.
  std::deque<transfer> queue;       ///< What the link has to carry.
  double carried = 0;               ///< Of the first in the queue.
  double delivered = 0;             ///< Bytes in all.
  double due = 0;                   ///< Large answers to ask for.
  std::size_t next = 0;             ///< Next proxy.
  std::size_t refused = 0;          ///< Requests that had no room.
  mono_ms now = 1;                  ///< Clock.
  mono_ms slowest_ms = 0;           ///< Longest way of a short request.
};

BOOST_AUTO_TEST_SUITE(path_budgets)

BOOST_AUTO_TEST_CASE(large_answers_leave_the_link_usable)
{
  // 60 large answers a second are 43 Mbit/s. Without a limit short requests wait for seconds, and
  // versions came too late in incident inc-21fe; with it they keep to their bound of two seconds by
  // far, and the link stays in use.
  link_world without(6);
  without.play(3000, 60, false);
  BOOST_TEST(without.slowest_ms > 1000);
  link_world with(6);
  with.play(5000, 60, true);
  with.slowest_ms = 0;
  with.delivered = 0;
  with.play(10'000, 60, true);
  BOOST_TEST(with.slowest_ms < 400);
  BOOST_TEST(with.delivered > 0.7 * 10'000 * link_world::BYTES_PER_MS);
}

BOOST_AUTO_TEST_CASE(many_proxies_share_a_link_too)
{
  link_world world(40);
  world.play(8000, 90, true);
  world.slowest_ms = 0;
  world.play(10'000, 90, true);
  BOOST_TEST(world.slowest_ms < 1000);
}

BOOST_AUTO_TEST_CASE(a_free_link_refuses_nothing)
{
  link_world world(6);
  world.play(20'000, 15, true);
  BOOST_TEST(world.refused == 0U);
}

BOOST_AUTO_TEST_CASE(the_window_recovers_after_a_crest)
{
  link_world world(6);
  world.play(10'000, 80, true);
  const double narrow = world.budgets[0].window_bytes("east");
  world.play(10'000, 5, true);
  BOOST_TEST(world.budgets[0].window_bytes("east") > 2 * narrow);
  world.refused = 0;
  world.play(5000, 15, true);
  BOOST_TEST(world.refused == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
