// Whether a request is tried again.
#include "retry_policy.h"

namespace shallotfield {

static constexpr std::int64_t HUNDREDTHS_PER_TOKEN = 100;

void
retry_budget::earn(std::int64_t percent)
{
  hundredths_ = std::min(hundredths_ + percent, HUNDREDTHS_MAX);
}

bool
retry_budget::spend()
{
  if (hundredths_ < HUNDREDTHS_PER_TOKEN) {
    return false;
  }
  hundredths_ -= HUNDREDTHS_PER_TOKEN;
  return true;
}

retry_verdict
decide_retry(const retry_request& request, retry_budget& budget)
{
  if (request.result != outcome::not_run && !request.is_idempotent) {
    return retry_verdict::may_have_run;
  }
  if (!effect_of(request.reason).try_elsewhere) {
    return retry_verdict::no_help;
  }
  if (request.attempts >= ATTEMPTS_MAX) {
    return retry_verdict::attempts_spent;
  }
  if (request.time_left_ms <= 0) {
    return retry_verdict::no_time;
  }
  return budget.spend() ? retry_verdict::again : retry_verdict::budget_spent;
}

} // namespace shallotfield
