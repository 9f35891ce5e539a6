// Counts requests and repeats.
#include "retry_allowance.h"

namespace shallotfield {

/** Part of the fleet's limits that proxies use. The rest covers the calls that a repeated run makes
 * again, and proxies whose requests come in bursts. */
static constexpr double USED_PART = 0.5;

void
retry_allowance::note_request(mono_ms now)
{
  ++requests_[now / STEP_MS];
}

bool
retry_allowance::take(const retry_limits& limits, std::size_t nodes, mono_ms now)
{
  while (!requests_.empty() && requests_.begin()->first * STEP_MS < now - limits.window_ms) {
    requests_.erase(requests_.begin());
  }
  while (!repeats_.empty() && repeats_.front() < now - limits.window_ms) {
    repeats_.pop_front();
  }
  std::size_t seen = 0;
  for (const auto& [step, count] : requests_) {
    seen += count;
  }
  const double share =
    static_cast<double>(limits.slack) / static_cast<double>(std::max<std::size_t>(nodes, 1));
  const double allowed = USED_PART * (limits.ratio * static_cast<double>(seen) + share);
  if (static_cast<double>(repeats_.size()) + 1 > allowed) {
    return false;
  }
  repeats_.push_back(now);
  return true;
}

} // namespace shallotfield
