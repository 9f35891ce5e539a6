// Bounds the retries of a proxy to its share of the fleet's retry budget. Without the bound,
// retries would add to the load of a service that fails or sheds requests.
#pragma once
#include "process/process.h"

#include <cstddef>
#include <deque>
#include <map>

namespace shallotfield {

/** The retry budget of the fleet, as configured. */
struct retry_limits
{
  double ratio = 0;       ///< Number of retries allowed for each request.
  std::int64_t slack = 0; ///< Number of further retries per window, for all nodes together.
  std::int64_t window_ms = 10'000; ///< Length of the sliding window.
};

/** This proxy's share of the fleet's retry budget for one service. Counts the proxy's requests for
 * the service, and their retries, over a sliding window. */
class fleet_retry_budget
{
public:
  /** Counts a new request. Its retries are not counted here. */
  void record_request(mono_ms now);

  /**
   * Takes one retry from this proxy's share of the budget. `nodes` is the number of nodes that
   * share the slack. Returns whether the retry is allowed. Only then is it counted.
   */
  bool try_acquire(const retry_limits& limits, std::size_t nodes, mono_ms now);

private:
  /** Length of the time steps by which requests are counted. */
  static constexpr mono_ms COUNT_STEP_MS = 500;
  std::map<mono_ms, std::size_t> requests_; ///< Number of requests, by time step.
  std::deque<mono_ms> retries_;             ///< Times of the retries in the window, oldest first.
};

} // namespace shallotfield
