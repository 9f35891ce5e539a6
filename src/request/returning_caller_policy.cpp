// Implements the recognition of requests that come back.
#include "returning_caller_policy.h"

#include <cstdlib>

namespace shallotfield {

/** Largest difference between the ends of the wait of two tries. It covers how much longer one of
 * them took to get here, and is shorter than the shortest retry-after time. */
static constexpr mono_ms WAIT_END_TOLERANCE_MS = 40;

/** Smallest part of the time since the earlier try by which the caller's wait must be shorter. The
 * times that two tries took to get here differ, so that it may be less than all of it. */
static constexpr double WAIT_DECREASE_MIN = 0.5;

/** Interval at which expired requests are removed. */
static constexpr mono_ms CLEANING_INTERVAL_MS = 1000;

void
returning_callers::record_failed(const caller_try& request, mono_ms first_asked_at, mono_ms now)
{
  if (now - cleaned_at_ >= CLEANING_INTERVAL_MS) {
    remove_expired(now);
  }
  if (failed_.size() < REQUESTS_MAX && request.waits_until > now) {
    failed_.emplace(key{ request.rule, request.account, request.waits_until },
                    failed_try{ first_asked_at, request.wait_ms });
  }
}

bool
returning_callers::has_shorter_wait(const caller_try& request, const key& earlier, mono_ms wait_ms)
{
  const mono_ms passed =
    (request.waits_until - request.wait_ms) - (std::get<mono_ms>(earlier) - wait_ms);
  const mono_ms decrease = wait_ms - request.wait_ms;
  return decrease > 0 &&
         static_cast<double>(decrease) >= WAIT_DECREASE_MIN * static_cast<double>(passed);
}

std::optional<mono_ms>
returning_callers::take(const caller_try& request)
{
  const key latest{ request.rule, request.account, request.waits_until + WAIT_END_TOLERANCE_MS };
  const auto distance_of = [&request](const auto& item) {
    return std::abs(std::get<mono_ms>(item->first) - request.waits_until);
  };
  auto best = failed_.end();
  for (auto item = failed_.lower_bound(
         { request.rule, request.account, request.waits_until - WAIT_END_TOLERANCE_MS });
       item != failed_.end() && item->first <= latest;
       ++item) {
    if (has_shorter_wait(request, item->first, item->second.wait_ms) &&
        (best == failed_.end() || distance_of(item) < distance_of(best))) {
      best = item;
    }
  }
  if (best == failed_.end()) {
    return std::nullopt;
  }
  const mono_ms first_asked_at = best->second.first_asked_at;
  failed_.erase(best);
  return first_asked_at;
}

void
returning_callers::remove_expired(mono_ms now)
{
  cleaned_at_ = now;
  std::erase_if(failed_, [now](const auto& item) { return std::get<mono_ms>(item.first) <= now; });
}

} // namespace shallotfield
