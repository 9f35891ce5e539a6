// Tests of the congestion control between regions, on a simulated link.
#include "request/request.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace shallotfield;

/** Simulates a link between regions that transmits responses one after the other, and proxies that
 * request them as their congestion control allows. Time advances in steps of 1 ms. */
struct simulated_link
{
  static constexpr double BYTES_PER_MS = 3750;           ///< Bandwidth of 30 Mbit/s.
  static constexpr mono_ms ROUND_TRIP_MS = 16;           ///< Round-trip time without load.
  static constexpr double LARGE_RESPONSE_BYTES = 90'000; ///< Size of a large response.
  static constexpr double SMALL_RESPONSE_BYTES = 3000;   ///< Size of a short response.

  /** A response that the link has to transmit. */
  struct transfer
  {
    std::size_t proxy = 0; ///< Proxy that requested it.
    double bytes = 0;      ///< Size of the response.
    mono_ms sent_at = 0;   ///< When it was requested.
  };

  explicit simulated_link(std::size_t proxies)
    : controls(proxies)
  {
  }

  /**
   * Simulates a period of time, with a short response every 10 ms. `large_per_s` is the number of
   * large responses per second that all proxies together request. `is_limited` says whether the
   * proxies observe their congestion control.
   */
  void simulate(mono_ms duration_ms, double large_per_s, bool is_limited)
  {
    const mono_ms end = now + duration_ms;
    for (; now < end; ++now) {
      due_requests += large_per_s / 1000;
      for (; due_requests >= 1; due_requests -= 1) {
        request_response(LARGE_RESPONSE_BYTES, is_limited);
      }
      if (now % 10 == 0) {
        request_response(SMALL_RESPONSE_BYTES, is_limited);
      }
      transmit();
    }
  }

  /** Requests a response from the next proxy in turn. */
  void request_response(double bytes, bool is_limited)
  {
    const std::size_t proxy = requests_made++ % controls.size();
    if (is_limited && !controls[proxy].has_capacity("east", bytes, now)) {
      ++refused;
      return;
    }
    controls[proxy].record_sent("east", bytes, now);
    queue.push_back({ proxy, bytes, now });
  }

  /** Transmits for 1 ms. */
  void transmit()
  {
    double capacity_bytes = BYTES_PER_MS;
    while (!queue.empty() && capacity_bytes > 0) {
      transfer& first = queue.front();
      const double part = std::min(capacity_bytes, first.bytes - transmitted_bytes);
      capacity_bytes -= part;
      transmitted_bytes += part;
      delivered_bytes += part;
      if (transmitted_bytes < first.bytes) {
        return;
      }
      transmitted_bytes = 0;
      const mono_ms transit = now - first.sent_at + ROUND_TRIP_MS;
      controls[first.proxy].record_ended("east", first.bytes);
      if (congestion_control::is_short(first.bytes)) {
        controls[first.proxy].record_transit("east", transit, now);
        transit_ms_max = std::max(transit_ms_max, transit);
      }
      queue.pop_front();
    }
  }

  std::vector<congestion_control> controls; ///< Congestion control of each proxy.
  std::deque<transfer> queue;               ///< Responses that the link has to transmit, in order.
  double transmitted_bytes = 0;  ///< Bytes of the first response that have been transmitted.
  double delivered_bytes = 0;    ///< Bytes transmitted in total.
  double due_requests = 0;       ///< Large responses that are due to be requested.
  std::size_t requests_made = 0; ///< Number of requests so far, which selects the next proxy.
  std::size_t refused = 0;       ///< Requests that the congestion control held back.
  mono_ms now = 1;               ///< Current time.
  mono_ms transit_ms_max = 0;    ///< Largest network time of a short response.
};

BOOST_AUTO_TEST_SUITE(congestion_decisions)

BOOST_AUTO_TEST_CASE(large_responses_do_not_delay_short_requests)
{
  // Guards against the fault of incident inc-21fe. 60 large responses a second need 43 Mbit/s, but
  // the link has 30 Mbit/s. Without a limit, short requests waited for seconds and configuration
  // versions arrived too late. With the limit, both take much less than the two seconds that a
  // version may take, and the link stays in use.
  simulated_link unlimited(6);
  unlimited.simulate(3000, 60, false);
  BOOST_TEST(unlimited.transit_ms_max > 1000);
  simulated_link limited(6);
  limited.simulate(5000, 60, true);
  limited.transit_ms_max = 0;
  limited.delivered_bytes = 0;
  limited.simulate(10'000, 60, true);
  BOOST_TEST(limited.transit_ms_max < 400);
  BOOST_TEST(limited.delivered_bytes > 0.7 * 10'000 * simulated_link::BYTES_PER_MS);
}

BOOST_AUTO_TEST_CASE(short_requests_stay_fast_when_many_proxies_share_a_link)
{
  simulated_link link(40);
  link.simulate(8000, 90, true);
  link.transit_ms_max = 0;
  link.simulate(10'000, 90, true);
  BOOST_TEST(link.transit_ms_max < 1000);
}

BOOST_AUTO_TEST_CASE(uncongested_link_refuses_no_request)
{
  simulated_link link(6);
  link.simulate(20'000, 15, true);
  BOOST_TEST(link.refused == 0U);
}

BOOST_AUTO_TEST_CASE(window_recovers_after_congestion)
{
  simulated_link link(6);
  link.simulate(10'000, 80, true);
  const double congested_window_bytes = link.controls[0].window_bytes("east");
  link.simulate(10'000, 5, true);
  BOOST_TEST(link.controls[0].window_bytes("east") > 2 * congested_window_bytes);
  link.refused = 0;
  link.simulate(5000, 15, true);
  BOOST_TEST(link.refused == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
