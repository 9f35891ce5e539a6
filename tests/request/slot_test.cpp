// Tests of who gets a slot of the server beside a proxy.
#include "request/request.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;

/** A queue whose server takes work. */
static slot_queue
make_queue(std::uint32_t slots)
{
  slot_queue queue;
  queue.handle(slot_server{ slots, true }, 0);
  return queue;
}

/** A request with a deadline at 1 s and an objective at 0.5 s. */
static slot_arrival
make_arrival(slot_ticket id, std::int64_t priority = 1, mono_ms deadline = 1000)
{
  return { id, "work", priority, 500, deadline };
}

/** Writes effects as text: `+1` starts 1, `-1:reason` refuses it. */
static std::string
show(const std::vector<slot_effect>& effects)
{
  std::string text;
  for (const slot_effect& effect : effects) {
    std::visit(overloaded{ [&](const slot_start& item) { text += "+" + std::to_string(item.id); },
                           [&](const slot_refuse& item) {
                             text += "-" + std::to_string(item.id) + ":" +
                                     std::string(enum_name(item.reason));
                           } },
               effect);
    text += " ";
  }
  return text;
}

BOOST_AUTO_TEST_SUITE(slot_decisions)

BOOST_AUTO_TEST_CASE(slots_are_never_exceeded)
{
  slot_queue queue = make_queue(2);
  BOOST_TEST(show(queue.handle(make_arrival(1), 0)) == "+1 ");
  BOOST_TEST(show(queue.handle(make_arrival(2), 0)) == "+2 ");
  BOOST_TEST(show(queue.handle(make_arrival(3), 0)) == "");
  BOOST_TEST(queue.report().running == 2U);
  BOOST_TEST(queue.report().waiting == 1U);
  BOOST_TEST(show(queue.handle(slot_finished{ 1, true }, 50)) == "+3 ");
}

BOOST_AUTO_TEST_CASE(priority_goes_first_then_the_nearest_deadline)
{
  slot_queue queue = make_queue(1);
  queue.handle(make_arrival(1), 0);
  queue.handle(make_arrival(2, 2), 0);
  queue.handle(make_arrival(3, 1, 900), 0);
  queue.handle(make_arrival(4, 1, 400), 0);
  BOOST_TEST(show(queue.handle(slot_finished{ 1, true }, 10)) == "+4 ");
  BOOST_TEST(show(queue.handle(slot_finished{ 4, true }, 20)) == "+3 ");
  BOOST_TEST(show(queue.handle(slot_finished{ 3, true }, 30)) == "+2 ");
}

BOOST_AUTO_TEST_CASE(a_crest_is_refused_at_once_with_a_time_to_return)
{
  // One slot, 60 ms a request, 500 ms until the objective: about seven fit, the rest come again.
  slot_queue queue = make_queue(1);
  std::size_t refused = 0;
  for (slot_ticket id = 1; id <= 30; ++id) {
    for (const slot_effect& effect : queue.handle(make_arrival(id), 0)) {
      if (const auto* item = std::get_if<slot_refuse>(&effect)) {
        ++refused;
        BOOST_TEST((item->reason == refusal::queue_full));
        BOOST_TEST(item->retry_after_ms >= 50);
      }
    }
  }
  BOOST_TEST(refused >= 20U);
  BOOST_TEST(refused <= 25U);
}

BOOST_AUTO_TEST_CASE(a_leaving_server_gets_nothing_more)
{
  slot_queue queue = make_queue(1);
  queue.handle(make_arrival(1), 0);
  queue.handle(make_arrival(2), 0);
  BOOST_TEST(show(queue.handle(slot_server{ 1, false }, 10)) == "-2:draining ");
  BOOST_TEST(show(queue.handle(make_arrival(3), 10)) == "-3:draining ");
  BOOST_TEST(show(queue.handle(slot_finished{ 1, true }, 20)) == "");
  BOOST_TEST(queue.report().slots == 0U);
}

BOOST_AUTO_TEST_CASE(what_waited_past_its_time_is_refused_as_not_run)
{
  slot_queue queue = make_queue(1);
  queue.handle(make_arrival(1), 0);
  queue.handle(make_arrival(2, 1, 300), 0);
  BOOST_TEST(show(queue.handle(slot_timer{}, 200)) == "");
  BOOST_TEST(show(queue.handle(slot_timer{}, 290)) == "-2:too_late ");
}

BOOST_AUTO_TEST_CASE(a_cancelled_request_frees_its_slot)
{
  slot_queue queue = make_queue(1);
  queue.handle(make_arrival(1), 0);
  queue.handle(make_arrival(2), 0);
  queue.handle(make_arrival(3), 0);
  BOOST_TEST(show(queue.handle(slot_cancelled{ 2 }, 5)) == "");
  BOOST_TEST(show(queue.handle(slot_cancelled{ 1 }, 10)) == "+3 ");
}

BOOST_AUTO_TEST_CASE(a_slow_server_is_told_by_its_times_against_the_usual_ones)
{
  slot_queue queue = make_queue(4);
  mono_ms now = 0;
  for (slot_ticket id = 1; id <= 40; ++id) {
    queue.handle(slot_arrival{ id, "work", 1, now + 5000, now + 5000, 100 }, now);
    now += id % 2 == 0 ? 150 : 250;
    queue.handle(slot_finished{ id, true }, now);
  }
  BOOST_TEST(queue.report().slowness_permille > 1700U);
  BOOST_TEST(queue.report().slowness_permille < 2300U);
  queue.handle(slot_server{ 4, true, true }, now);
  BOOST_TEST(queue.report().slowness_permille == 1000U);
}

BOOST_AUTO_TEST_CASE(requests_that_are_given_up_on_a_slot_count_as_slow_too)
{
  // A server that hangs answers nothing, so only what was given up shows it.
  slot_queue queue = make_queue(4);
  for (slot_ticket id = 1; id <= 20; ++id) {
    queue.handle(slot_arrival{ id, "work", 1, 5000, 5000, 100 }, 0);
    queue.handle(slot_overdue{ id }, 800);
  }
  BOOST_TEST(queue.report().slowness_permille > 2500U);
  BOOST_TEST(queue.expected_ms("work") > 500.0);
}

BOOST_AUTO_TEST_SUITE_END()
