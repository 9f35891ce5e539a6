// Implements the decision about retries and their token bucket.
#include "retry_policy.h"

namespace shallotfield {

static constexpr std::int64_t HUNDREDTHS_PER_TOKEN = 100;

void
retry_budget::deposit(std::int64_t percent)
{
  hundredths_ = std::min(hundredths_ + percent, HUNDREDTHS_MAX);
}

bool
retry_budget::try_withdraw()
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
  if (!failure_response_of(request.reason).is_retryable) {
    return retry_verdict::not_retryable;
  }
  if (request.attempts >= ATTEMPTS_MAX) {
    return retry_verdict::attempts_exhausted;
  }
  if (request.time_left_ms <= 0) {
    return retry_verdict::deadline_reached;
  }
  return budget.try_withdraw() ? retry_verdict::allowed : retry_verdict::budget_exhausted;
}

} // namespace shallotfield
