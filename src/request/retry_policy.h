// Decides whether a failed attempt of a request is retried, within a budget that bounds the load
// that retries add.
#pragma once
#include "pick_policy.h"
#include "table/failure_response_table.h"

namespace shallotfield {

/** Maximum number of attempts of one request, including the first. */
inline constexpr std::size_t ATTEMPTS_MAX = 3;

/**
 * Token bucket that bounds the retries and hedges of one service to a percentage of its requests.
 * Each request deposits a fraction of a token, and each retry or hedge withdraws a whole one.
 */
class retry_budget
{
public:
  /**
   * Deposits the fraction of a token that a new request is worth.
   * @param percent Number of retries and hedges allowed per 100 requests.
   */
  void deposit(std::int64_t percent);

  /** Withdraws a token. Returns false, and leaves the budget as it is, if there is none. */
  bool try_withdraw();

private:
  /** Capacity in hundredths of a token, which limits the burst of retries after a quiet time. */
  static constexpr std::int64_t HUNDREDTHS_MAX = 1000;
  std::int64_t hundredths_ = HUNDREDTHS_MAX; ///< Balance in hundredths of a token.
};

/** The decision about a retry, with the reason if the request is not retried. */
enum class retry_verdict
{
  allowed,            ///< The request may be sent to another server.
  may_have_run,       ///< The request is not idempotent and may have run.
  not_retryable,      ///< Another server would refuse the request for the same reason.
  attempts_exhausted, ///< The request has used all of its attempts.
  budget_exhausted,   ///< The retry budget of the service is used up.
  deadline_reached,   ///< The deadline has passed.
};

inline constexpr enum_table<retry_verdict, 6> RETRY_VERDICT_ROWS = { {
  { retry_verdict::allowed, "again" },
  { retry_verdict::may_have_run, "may_have_run" },
  { retry_verdict::not_retryable, "no_help" },
  { retry_verdict::attempts_exhausted, "attempts_spent" },
  { retry_verdict::budget_exhausted, "budget_spent" },
  { retry_verdict::deadline_reached, "no_time" },
} };
static_assert(is_complete(RETRY_VERDICT_ROWS, retry_verdict::deadline_reached));

/** Returns the name table of retry verdicts, as they appear in the log. */
constexpr const auto&
enum_rows(retry_verdict)
{
  return RETRY_VERDICT_ROWS;
}

/** The facts on which the decision about a retry depends. */
struct retry_request
{
  failure_reason reason = failure_reason::no_server; ///< Why the latest attempt failed.
  outcome result = outcome::unknown;                 ///< Whether the latest attempt ran.
  bool is_idempotent = false; ///< Whether the request may run more than once.
  std::size_t attempts = 0;   ///< Number of attempts made so far.
  mono_ms time_left_ms = 0;   ///< Time until the deadline.
};

/**
 * Decides whether a request is retried after its latest attempt, and for which reason it is not. A
 * request that may have run is retried only if it is idempotent. If the retry is allowed, a token
 * is withdrawn from `budget`, the retry budget of the service.
 */
retry_verdict
decide_retry(const retry_request& request, retry_budget& budget);

} // namespace shallotfield
