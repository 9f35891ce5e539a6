// Tests of the admission control in front of a backend server.
#include "request/request.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace shallotfield;

/** Up to 4 waiting requests of each class, and half of the slots for bulk requests. */
static constexpr admission_limits LIMITS{ 4, 50 };

/** Makes the arrival of a request with a deadline at 10 s. */
static admission_arrival
make_arrival(ticket id, work_class kind = work_class::interactive, const std::string& customer = "")
{
  return { id, kind, customer, 10'000 };
}

/** Makes an admission control whose server is ready. */
static admission
make_ready(std::uint32_t slots, mono_ms now)
{
  admission result(LIMITS);
  result.handle(admission_server_changed{ { "s", slots, server_state::ready } }, now);
  return result;
}

/** Formats effects: `+1` starts request 1, `-1:reason` refuses it. */
static std::string
to_text(const std::vector<admission_effect>& effects)
{
  std::string text;
  for (const admission_effect& effect : effects) {
    if (const auto* start = std::get_if<admission_start>(&effect)) {
      text += "+" + std::to_string(start->id) + " ";
    } else {
      const auto& refused = std::get<admission_refuse>(effect);
      text += "-" + std::to_string(refused.id) + ":" + std::string(enum_name(refused.reason)) + " ";
    }
  }
  return text;
}

BOOST_AUTO_TEST_SUITE(admission_decisions)

BOOST_AUTO_TEST_CASE(requests_fill_slots_then_queue_then_are_refused)
{
  admission controller = make_ready(2, 0);
  BOOST_TEST(to_text(controller.handle(make_arrival(1), 0)) == "+1 ");
  BOOST_TEST(to_text(controller.handle(make_arrival(2), 0)) == "+2 ");
  for (ticket id = 3; id <= 6; ++id) {
    BOOST_TEST(to_text(controller.handle(make_arrival(id), 0)).empty());
  }
  BOOST_TEST(to_text(controller.handle(make_arrival(7), 0)) == "-7:queue_full ");
  BOOST_TEST(to_text(controller.handle(admission_finish{ 1 }, 0)) == "+3 ");
  BOOST_TEST((controller.report(0) == load_report{ 2, 3, 2 }));
}

BOOST_AUTO_TEST_CASE(requests_without_a_server_are_refused)
{
  admission controller(LIMITS);
  BOOST_TEST(to_text(controller.handle(make_arrival(1), 0)) == "-1:no_server ");
}

BOOST_AUTO_TEST_CASE(draining_server_refuses_new_work_and_finishes_running_work)
{
  admission controller = make_ready(1, 0);
  controller.handle(make_arrival(1), 0);
  controller.handle(make_arrival(2), 0);
  BOOST_TEST(
    to_text(controller.handle(admission_server_changed{ { "s", 1, server_state::draining } }, 0)) ==
    "-2:draining ");
  BOOST_TEST(to_text(controller.handle(make_arrival(3), 0)) == "-3:draining ");
  BOOST_TEST(!controller.is_idle());
  controller.handle(admission_finish{ 1 }, 0);
  BOOST_TEST(controller.is_idle());
}

BOOST_AUTO_TEST_CASE(closed_admission_refuses_waiting_and_new_requests)
{
  admission controller = make_ready(1, 0);
  controller.handle(make_arrival(1), 0);
  controller.handle(make_arrival(2), 0);
  BOOST_TEST(to_text(controller.handle(admission_close{}, 0)) == "-2:draining ");
  BOOST_TEST(to_text(controller.handle(make_arrival(3), 0)) == "-3:draining ");
}

BOOST_AUTO_TEST_CASE(interactive_work_goes_first_and_bulk_work_keeps_to_its_share)
{
  admission controller = make_ready(4, 0);
  BOOST_TEST(to_text(controller.handle(make_arrival(1, work_class::bulk), 0)) == "+1 ");
  BOOST_TEST(to_text(controller.handle(make_arrival(2, work_class::bulk), 0)) == "+2 ");
  BOOST_TEST(to_text(controller.handle(make_arrival(3, work_class::bulk), 0)).empty());
  BOOST_TEST(to_text(controller.handle(make_arrival(4), 0)).empty() == false);
  BOOST_TEST(to_text(controller.handle(make_arrival(5), 0)) == "+5 ");
  BOOST_TEST(to_text(controller.handle(make_arrival(6), 0)).empty());
  BOOST_TEST(to_text(controller.handle(admission_finish{ 1 }, 0)) == "+6 ");
  BOOST_TEST(to_text(controller.handle(admission_finish{ 2 }, 0)) == "+3 ");
}

BOOST_AUTO_TEST_CASE(waiting_customers_are_served_round_robin)
{
  admission controller = make_ready(1, 0);
  controller.handle(make_arrival(1, work_class::interactive, "chain"), 0);
  controller.handle(make_arrival(2, work_class::interactive, "chain"), 0);
  controller.handle(make_arrival(3, work_class::interactive, "chain"), 0);
  controller.handle(make_arrival(4, work_class::interactive, "corner"), 0);
  BOOST_TEST(to_text(controller.handle(admission_finish{ 1 }, 0)) == "+2 ");
  BOOST_TEST(to_text(controller.handle(admission_finish{ 2 }, 0)) == "+4 ");
  BOOST_TEST(to_text(controller.handle(admission_finish{ 4 }, 0)) == "+3 ");
}

BOOST_AUTO_TEST_CASE(requests_that_would_miss_their_deadline_are_refused_early)
{
  admission controller = make_ready(1, 0);
  controller.handle(make_arrival(1), 0);
  controller.handle(admission_finish{ 1 }, 100); // The average service time is 100 ms from here on.
  controller.handle(make_arrival(2), 100);
  BOOST_TEST(to_text(controller.handle({ admission_arrival{ 3, work_class::interactive, "", 180 } },
                                       100)) == "-3:too_late ");
  BOOST_TEST(
    to_text(controller.handle({ admission_arrival{ 4, work_class::interactive, "", 400 } }, 100))
      .empty());
  BOOST_TEST(to_text(controller.handle(admission_tick{}, 350)) == "-4:too_late ");
}

BOOST_AUTO_TEST_CASE(usable_slots_of_a_cold_server_ramp_up)
{
  admission controller(LIMITS);
  controller.handle(admission_server_changed{ { "s", 10, server_state::cold } }, 1000);
  BOOST_TEST(controller.usable_slots(1000) == 2U);
  BOOST_TEST(controller.usable_slots(3500) == 6U);
  BOOST_TEST(controller.usable_slots(6000) == 10U);
}

BOOST_AUTO_TEST_CASE(cancelled_requests_leave_the_queue)
{
  admission controller = make_ready(1, 0);
  controller.handle(make_arrival(1), 0);
  controller.handle(make_arrival(2), 0);
  controller.handle(admission_cancel{ 2 }, 0);
  BOOST_TEST(to_text(controller.handle(admission_finish{ 1 }, 0)).empty());
  BOOST_TEST(controller.is_idle());
}

BOOST_AUTO_TEST_CASE(random_events_never_exceed_slots_or_queue_limit)
{
  for (std::uint64_t seed = 0; seed < 1000; ++seed) {
    random_source random(seed);
    admission controller = make_ready(3, 0);
    std::set<ticket> waiting;
    std::set<ticket> running;
    ticket next = 1;
    mono_ms now = 0;
    for (int step = 0; step < 200; ++step) {
      now += static_cast<mono_ms>(random() % 30);
      std::vector<admission_effect> effects;
      const auto draw = random() % 10;
      if (draw < 5) {
        waiting.insert(next);
        const auto kind = random() % 3 == 0 ? work_class::bulk : work_class::interactive;
        effects =
          controller.handle(admission_arrival{ next++,
                                               kind,
                                               std::to_string(random() % 3),
                                               now + 1 + static_cast<mono_ms>(random() % 200) },
                            now);
      } else if (draw < 8 && !running.empty()) {
        const ticket id = *running.begin();
        running.erase(id);
        effects = controller.handle(admission_finish{ id }, now);
      } else if (draw == 8 && !waiting.empty()) {
        const ticket id = *waiting.begin();
        waiting.erase(id);
        effects = controller.handle(admission_cancel{ id }, now);
      } else {
        effects = controller.handle(admission_tick{}, now);
      }
      for (const admission_effect& effect : effects) {
        // Each effect concerns a waiting request, which is started or refused only once.
        const ticket id = std::visit([](const auto& item) { return item.id; }, effect);
        BOOST_REQUIRE(waiting.erase(id) == 1);
        if (std::holds_alternative<admission_start>(effect)) {
          running.insert(id);
        }
      }
      BOOST_REQUIRE(running.size() <= 3);
      BOOST_REQUIRE(waiting.size() <= 2 * static_cast<std::size_t>(LIMITS.queue_limit));
      BOOST_REQUIRE(controller.report(now).waiting == waiting.size());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
