// Implements the sliding-window retry budget.
#include "fleet_retry_policy.h"

namespace shallotfield {

/** Fraction of the configured budget that the proxies use. The rest is a reserve for the requests
 * to other services that a backend server sends again when it runs a retried request, and for
 * proxies whose requests come in bursts. */
static constexpr double USED_BUDGET_FRACTION = 0.5;

void
fleet_retry_budget::record_request(mono_ms now)
{
  ++requests_[now / COUNT_STEP_MS];
}

bool
fleet_retry_budget::try_acquire(const retry_limits& limits, std::size_t nodes, mono_ms now)
{
  while (!requests_.empty() && requests_.begin()->first * COUNT_STEP_MS < now - limits.window_ms) {
    requests_.erase(requests_.begin());
  }
  while (!retries_.empty() && retries_.front() < now - limits.window_ms) {
    retries_.pop_front();
  }
  std::size_t requests = 0;
  for (const auto& [step, count] : requests_) {
    requests += count;
  }
  const double share =
    static_cast<double>(limits.slack) / static_cast<double>(std::max<std::size_t>(nodes, 1));
  const double allowed =
    USED_BUDGET_FRACTION * (limits.ratio * static_cast<double>(requests) + share);
  if (static_cast<double>(retries_.size()) + 1 > allowed) {
    return false;
  }
  retries_.push_back(now);
  return true;
}

} // namespace shallotfield
