// Tests of the decision when the bodies of uploads are sent to the proxy of a server.
#include "request/request.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;

namespace {

/** Rate of a link of 10 Mbit/s. */
constexpr double LINK_BYTES_PER_MS = 1250;

/** Formats effects: `go 1` grants call 1, `later 1` defers it, `no 1` refuses it. */
std::string
to_text(const std::vector<intake_effect>& effects)
{
  std::string text;
  for (const intake_effect& effect : effects) {
    std::visit(
      overloaded{
        [&](const intake_grant& item) { text += "go " + std::to_string(item.key.call); },
        [&](const intake_defer& item) { text += "later " + std::to_string(item.key.call); },
        [&](const intake_refuse& item) { text += "no " + std::to_string(item.key.call); } },
      effect);
    text += "; ";
  }
  return text;
}

intake_offered
offer(call_id call, mono_ms latest = 2000, std::int64_t bytes = 60'000)
{
  return { { 1, call }, bytes, latest };
}

} // namespace

BOOST_AUTO_TEST_SUITE(upload_intake_decisions)

BOOST_AUTO_TEST_CASE(one_body_is_sent_at_a_time)
{
  upload_intake intake(LINK_BYTES_PER_MS);
  BOOST_TEST(to_text(intake.handle(offer(1), 0)) == "go 1; ");
  BOOST_TEST(to_text(intake.handle(offer(2), 0)) == "later 2; ");
  BOOST_TEST(to_text(intake.handle(offer(3), 0)) == "later 3; ");
  BOOST_TEST(to_text(intake.handle(intake_arrived{ { 1, 1 } }, 60)) == "go 2; ");
  BOOST_TEST(to_text(intake.handle(intake_withdrawn{ { 1, 3 } }, 70)) == "");
  BOOST_TEST(to_text(intake.handle(intake_arrived{ { 1, 2 } }, 120)) == "");
  BOOST_TEST(!intake.is_busy());
}

BOOST_AUTO_TEST_CASE(body_that_cannot_arrive_in_time_is_refused_at_once)
{
  // A body takes 70 ms, so that 14 of them arrive within a second.
  upload_intake intake(LINK_BYTES_PER_MS);
  std::size_t refused = 0;
  std::int64_t retry_after = 0;
  for (call_id call = 1; call <= 40; ++call) {
    for (const intake_effect& effect : intake.handle(offer(call, 1000), 0)) {
      if (const auto* item = std::get_if<intake_refuse>(&effect)) {
        ++refused;
        retry_after = item->retry_after_ms;
      }
    }
  }
  BOOST_TEST(refused == 26U);
  BOOST_TEST(retry_after == 980);
}

BOOST_AUTO_TEST_CASE(waiting_body_that_became_too_late_is_refused)
{
  upload_intake intake(LINK_BYTES_PER_MS);
  intake.handle(offer(1), 0);
  intake.handle(offer(2, 200), 0);
  intake.handle(offer(3), 0);
  BOOST_TEST(to_text(intake.handle(intake_arrived{ { 1, 1 } }, 180)) == "no 2; go 3; ");
}

BOOST_AUTO_TEST_CASE(sender_that_is_gone_does_not_hold_up_the_others)
{
  upload_intake intake(LINK_BYTES_PER_MS);
  intake.handle(offer(1), 0);
  intake.handle({ intake_offered{ { 2, 1 }, 60'000, 5000 } }, 0);
  BOOST_TEST(to_text(intake.handle(intake_tick{}, 400)) == "");
  BOOST_TEST(to_text(intake.handle(intake_tick{}, 500)) == "go 1; ");
  // Its link ends, or it leaves.
  intake.handle({ intake_offered{ { 3, 1 }, 60'000, 5000 } }, 500);
  BOOST_TEST(to_text(intake.handle(intake_session_ended{ 2 }, 510)) == "go 1; ");
}

BOOST_AUTO_TEST_CASE(number_of_waiting_bodies_is_bounded)
{
  upload_intake intake(LINK_BYTES_PER_MS);
  std::size_t deferred = 0;
  for (call_id call = 1; call <= 1000; ++call) {
    for (const intake_effect& effect : intake.handle(offer(call, 10'000'000), 0)) {
      deferred += std::holds_alternative<intake_defer>(effect) ? 1 : 0;
    }
  }
  BOOST_TEST(deferred == 256U);
}

BOOST_AUTO_TEST_SUITE_END()
