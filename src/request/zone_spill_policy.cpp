// Implements the shares of the work that leave the availability zone.
#include "zone_spill_policy.h"

#include <algorithm>

namespace shallotfield {

/** Weight of the latest comparison in the average gain, which covers about ten requests. */
static constexpr double GAIN_EWMA_WEIGHT = 0.1;

/** Gain from which a share rises. Below zero it falls; in between it stays, so that it doesn't
 * follow each change of load. */
static constexpr double RISING_GAIN = 0.03;

/** Shortest time between two changes of a share, so that the effect of a change shows in the load
 * of the servers before the next. */
static constexpr mono_ms SHARE_CHANGE_INTERVAL_MS = 100;

/** Bounds of one rise, and its ratio to the gain: a zone that is a little short of capacity sends
 * little, and one that is overloaded sends half of its work after half a second. */
static constexpr double SHARE_STEP_MIN = 0.02;
static constexpr double SHARE_STEP_MAX = 0.15;
static constexpr double SHARE_STEP_PER_GAIN = 0.3;

/** Factor by which a share falls, and the share that counts as none. */
static constexpr double SHARE_DECREASE_FACTOR = 0.7;
static constexpr double SHARE_MIN = 0.01;

/** Time after which a share that no request was compared for is forgotten. The zone was cut off,
 * full, or without servers meanwhile, so that what was learned before says nothing. */
static constexpr mono_ms SHARE_LIFETIME_MS = 2000;

/** Time between two reports. */
static constexpr mono_ms REPORT_INTERVAL_MS = 5000;

void
spill_share::record_gain(double gain, mono_ms now)
{
  if (now - compared_at_ > SHARE_LIFETIME_MS) {
    *this = {};
  }
  gain_ += GAIN_EWMA_WEIGHT * (gain - gain_);
  compared_at_ = now;
}

bool
spill_share::is_rising() const
{
  return gain_ > RISING_GAIN;
}

void
spill_share::adapt(std::size_t rising, mono_ms now)
{
  if (now - changed_at_ < SHARE_CHANGE_INTERVAL_MS) {
    return;
  }
  if (is_rising()) {
    const double step = std::clamp(SHARE_STEP_PER_GAIN * gain_, SHARE_STEP_MIN, SHARE_STEP_MAX);
    share_ = std::min(1.0, share_ + step / static_cast<double>(std::max<std::size_t>(1, rising)));
    changed_at_ = now;
  } else if (gain_ < 0 && share_ > 0) {
    share_ *= SHARE_DECREASE_FACTOR;
    share_ = share_ < SHARE_MIN ? 0 : share_;
    changed_at_ = now;
  }
}

void
zone_spill::remove_idle(zone_shares& shares, mono_ms now)
{
  std::erase_if(shares, [now](const auto& item) {
    return now - item.second.compared_at() > SHARE_LIFETIME_MS;
  });
}

std::optional<std::size_t>
zone_spill::choose(const spill_route& route,
                   double home_score,
                   const std::vector<spill_option>& options,
                   mono_ms now,
                   random_source& random)
{
  zone_shares& shares = shares_[route];
  double best_score = home_score;
  for (const spill_option& option : options) {
    best_score = std::min(best_score, option.score);
  }
  std::vector<std::pair<std::size_t, spill_share*>> compared;
  for (std::size_t i = 0; i < options.size(); ++i) {
    if (!shares.contains(options[i].zone)) {
      remove_idle(shares, now);
    }
    spill_share& share = shares[options[i].zone];
    // A zone that is clearly worse than another one takes no work from it.
    const bool is_among_best = options[i].score - best_score <= RISING_GAIN;
    share.record_gain((is_among_best ? home_score : best_score) - options[i].score, now);
    compared.emplace_back(i, &share);
  }
  const auto rising = static_cast<std::size_t>(std::count_if(
    shares.begin(), shares.end(), [](const auto& item) { return item.second.is_rising(); }));
  for (const auto& [index, share] : compared) {
    share->adapt(rising, now);
  }
  std::sort(compared.begin(), compared.end(), [&](const auto& left, const auto& right) {
    return options[left.first].score < options[right.first].score;
  });
  if (best_score >= home_score) {
    return std::nullopt;
  }
  // One draw for all zones, so that what leaves in total is the sum of their shares.
  std::uniform_real_distribution<double> distribution(0, 1);
  double draw = distribution(random);
  for (const auto& [index, share] : compared) {
    if (options[index].score >= home_score) {
      break;
    }
    if (draw < share->share()) {
      return index;
    }
    draw -= share->share();
  }
  return std::nullopt;
}

void
zone_spill::record_left(const std::string& zone, leave_reason reason, double bytes)
{
  spill_report& report = reports_[zone];
  report.zone = zone;
  ++(reason == leave_reason::sooner ? report.sooner : report.no_home_server);
  report.bytes += bytes;
}

std::vector<spill_report>
zone_spill::take_due_reports(mono_ms now)
{
  std::vector<spill_report> result;
  if (reports_.empty() || now - reported_at_ < REPORT_INTERVAL_MS) {
    return result;
  }
  for (auto& [zone, report] : reports_) {
    for (const auto& [route, shares] : shares_) {
      const auto found = shares.find(zone);
      if (found != shares.end() && found->second.share() > report.share) {
        report.share = found->second.share();
        report.gain = found->second.gain();
      }
    }
    result.push_back(std::move(report));
  }
  reports_.clear();
  reported_at_ = now;
  return result;
}

double
zone_spill::share(const spill_route& route, const std::string& zone, mono_ms now) const
{
  const auto of_route = shares_.find(route);
  if (of_route == shares_.end()) {
    return 0;
  }
  const auto found = of_route->second.find(zone);
  const bool is_known =
    found != of_route->second.end() && now - found->second.compared_at() <= SHARE_LIFETIME_MS;
  return is_known ? found->second.share() : 0;
}

} // namespace shallotfield
