// Tests of the memory budget: what is granted, and who gives way. Without a network or a clock.
#include "connection/connection.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;

namespace {

constexpr std::size_t LIMIT_BYTES = 16U << 20U;
constexpr std::size_t MB = 1U << 20U;

/** A fake connection that returns its memory when it is asked to. */
struct fake_connection
{
  explicit fake_connection(const memory_budget_ptr& budget)
    : lease(budget)
    , holder(budget, [this] {
      has_given_way = true;
      lease.resize(0);
    })
  {
  }
  /** Occupies memory and records that progress was made. */
  bool hold(std::size_t bytes, mono_ms now)
  {
    const bool is_granted = lease.try_resize(bytes, now);
    holder.record_progress(now);
    return is_granted;
  }
  memory_lease lease;
  memory_holder holder;
  bool has_given_way = false;
};

struct budget_fixture
{
  memory_budget_ptr budget = std::make_shared<memory_budget>(LIMIT_BYTES);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(memory_budgets, budget_fixture)

BOOST_AUTO_TEST_CASE(memory_is_returned_with_the_last_copy_of_a_body)
{
  memory_lease lease(budget);
  BOOST_TEST(lease.try_resize(MB, 0));
  {
    const shared_body body(std::string(MB, 'x'), std::move(lease));
    const shared_body copy = body; // NOLINT(performance-unnecessary-copy-initialization)
    BOOST_TEST(copy.view().data() == body.view().data());
    BOOST_TEST(budget->used_bytes() == MB);
  }
  BOOST_TEST(budget->used_bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(large_bodies_leave_room_for_ordinary_requests)
{
  fake_connection large(budget);
  BOOST_TEST(!large.hold(budget->largest_lease_bytes() + 1, 0));
  BOOST_TEST(large.hold(budget->largest_lease_bytes(), 0));
  fake_connection other(budget);
  BOOST_TEST(!other.hold(SMALL_LEASE_BYTES + 1, 0));
  BOOST_TEST(other.hold(SMALL_LEASE_BYTES, 0));
  BOOST_TEST(!large.has_given_way);
}

BOOST_AUTO_TEST_CASE(who_has_made_no_progress_for_longest_gives_way_first)
{
  fake_connection first(budget);
  fake_connection second(budget);
  fake_connection third(budget);
  BOOST_TEST(first.hold(5 * MB, 0));
  BOOST_TEST(second.hold(5 * MB, 10));
  BOOST_TEST(third.hold(4 * MB, 20));
  first.holder.record_progress(30);
  fake_connection next(budget);
  BOOST_TEST(!next.hold(4 * MB, 10 + HOLDER_STALL_MS - 1));
  BOOST_TEST(next.hold(4 * MB, 10 + HOLDER_STALL_MS));
  BOOST_TEST(second.has_given_way);
  BOOST_TEST(!first.has_given_way);
  BOOST_TEST(!third.has_given_way);
}

BOOST_AUTO_TEST_CASE(nobody_gives_way_for_what_never_fits)
{
  fake_connection stalled(budget);
  BOOST_TEST(stalled.hold(MB, 0));
  fake_connection next(budget);
  BOOST_TEST(!next.hold(LIMIT_BYTES, 10 * HOLDER_STALL_MS));
  BOOST_TEST(!stalled.has_given_way);
  BOOST_TEST(budget->used_bytes() == MB);
}

BOOST_AUTO_TEST_CASE(a_refused_reservation_changes_nothing)
{
  memory_lease lease(budget);
  BOOST_TEST(lease.try_resize(MB, 0));
  BOOST_TEST(!lease.try_resize(LIMIT_BYTES, 0));
  BOOST_TEST(lease.bytes() == MB);
  BOOST_TEST(budget->used_bytes() == MB);
}

BOOST_AUTO_TEST_CASE(a_body_without_room_is_skipped_and_what_follows_is_read)
{
  memory_lease other(budget);
  BOOST_TEST(other.try_resize(budget->largest_lease_bytes(), 0));
  frame_decoder decoder({ TRAFFIC_HEAD_BYTES_MAX, 8 * MB }, budget);
  call_open call;
  call.id = 7;
  call.body = std::string(2 * MB, 'x');
  const std::string bytes = encode_traffic(call) + encode_traffic(call_cancel{ 8 });
  std::vector<frame> frames;
  for (std::size_t at = 0; at < bytes.size(); at += 100'001) {
    BOOST_TEST(!decoder.feed(std::string_view(bytes).substr(at, 100'001), frames).has_value());
  }
  BOOST_REQUIRE(frames.size() == 2U);
  BOOST_TEST(frames[0].is_payload_dropped);
  BOOST_TEST(frames[0].payload.empty());
  BOOST_TEST(!frames[1].is_payload_dropped);
  BOOST_TEST(budget->used_bytes() == budget->largest_lease_bytes());
}

BOOST_AUTO_TEST_SUITE_END()
