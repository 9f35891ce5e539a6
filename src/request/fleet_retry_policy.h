// How many requests a proxy may send to a second server: its share of what the whole fleet may.
// Answers the pattern of a service that fails or sheds, where repeats would add to the load.
#pragma once
#include "process/process.h"

#include <cstddef>
#include <deque>
#include <map>

namespace shallotfield {

/** The fleet's limits on repeats, as the settings give them. */
struct retry_limits
{
  double ratio = 0;       ///< Repeats allowed for each request.
  std::int64_t slack = 0; ///< Repeats allowed besides, in each window, by all nodes together.
  std::int64_t window_ms = 10'000; ///< The window.
};

/** Counts the requests for one service in the latest window, and the repeats among them. */
class fleet_retry_budget
{
public:
  /** Notes the first send of a request. @param now Current time. */
  void record_request(mono_ms now);

  /**
   * Takes one repeat.
   * @param limits Limits of the fleet.
   * @param nodes Nodes that share the slack.
   * @param now Current time.
   * @return Whether a repeat is allowed; it is counted then.
   */
  bool take(const retry_limits& limits, std::size_t nodes, mono_ms now);

private:
  /** Requests are counted in steps of this length. */
  static constexpr mono_ms COUNT_STEP_MS = 500;
  std::map<mono_ms, std::size_t> requests_; ///< Requests by step.
  std::deque<mono_ms> retries_;             ///< When each repeat was taken.
};

} // namespace shallotfield
