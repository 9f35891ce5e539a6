// Implements the limits that a proxy got from the ledgers.
#include "quota_limits_table.h"
#include "quota_ledger.h"

#include <algorithm>

namespace shallotfield {

bool
quota_limits_table::apply(const quota_answer& answer, mono_ms now)
{
  const bool is_late =
    answer.report_sent_at < answered_at_ || now - answer.report_sent_at >= QUOTA_LIMITS_VALIDITY_MS;
  if (is_late || answer.report_sent_at > now) {
    return false;
  }
  answered_at_ = answer.report_sent_at;
  valid_until_ = answer.report_sent_at + QUOTA_LIMITS_VALIDITY_MS;
  fractions_.erase(fractions_.lower_bound(answer.first), fractions_.upper_bound(answer.last));
  for (const account_limit& item : answer.limits) {
    if (item.account >= answer.first && item.account <= answer.last) {
      fractions_[item.account] = std::clamp(item.admitted_fraction, 0.0, 1.0);
    }
  }
  return true;
}

quota_limits_ptr
quota_limits_table::build(std::size_t proxies, const quota_tolerance& tolerance) const
{
  auto limits = std::make_shared<quota_limits>();
  limits->valid_until = valid_until_;
  limits->admitted_fractions.insert(fractions_.begin(), fractions_.end());
  limits->proxies = proxies;
  limits->tolerance = tolerance;
  return limits;
}

} // namespace shallotfield
