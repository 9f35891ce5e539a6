// Implements the share of the work that leaves the availability zone.
#include "zone_spill_policy.h"

#include <algorithm>

namespace shallotfield {

/** Weight of the latest comparison in the average gain, which covers about ten requests. */
static constexpr double GAIN_EWMA_WEIGHT = 0.1;

/** Gain from which the share rises. Below zero it falls; in between it stays, so that it doesn't
 * follow each change of load. */
static constexpr double RISING_GAIN = 0.03;

/** Shortest time between two changes of the share, so that the effect of a change shows in the load
 * of the servers before the next. */
static constexpr mono_ms SHARE_CHANGE_INTERVAL_MS = 100;

/** Bounds of one rise of the share, and its ratio to the gain: a zone that is a little short of
 * capacity sends little, and one that is overloaded sends half of its work after half a second. */
static constexpr double SHARE_STEP_MIN = 0.02;
static constexpr double SHARE_STEP_MAX = 0.15;
static constexpr double SHARE_STEP_PER_GAIN = 0.3;

/** Factor by which the share falls, and the share that counts as none. */
static constexpr double SHARE_DECREASE_FACTOR = 0.7;
static constexpr double SHARE_MIN = 0.01;

void
spill_share::record(const spill_comparison& comparison, mono_ms now)
{
  gain_ += GAIN_EWMA_WEIGHT * (comparison.home_score - comparison.away_score - gain_);
  if (now - changed_at_ < SHARE_CHANGE_INTERVAL_MS) {
    return;
  }
  if (gain_ > RISING_GAIN) {
    share_ = std::min(
      1.0, share_ + std::clamp(SHARE_STEP_PER_GAIN * gain_, SHARE_STEP_MIN, SHARE_STEP_MAX));
    changed_at_ = now;
  } else if (gain_ < 0 && share_ > 0) {
    share_ *= SHARE_DECREASE_FACTOR;
    share_ = share_ < SHARE_MIN ? 0 : share_;
    changed_at_ = now;
  }
}

bool
zone_spill::may_leave(const spill_route& route,
                      const spill_comparison& comparison,
                      mono_ms now,
                      random_source& random)
{
  spill_share& of_route = shares_[route];
  of_route.record(comparison, now);
  std::uniform_real_distribution<double> draw(0, 1);
  return comparison.away_score < comparison.home_score && draw(random) < of_route.share();
}

double
zone_spill::share(const spill_route& route) const
{
  const auto found = shares_.find(route);
  return found == shares_.end() ? 0 : found->second.share();
}

} // namespace shallotfield
