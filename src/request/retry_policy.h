// Whether a request is tried again, and how much that may add to the load.
#pragma once
#include "pick_policy.h"
#include "table/failure_response_table.h"

namespace shallotfield {

/** Most attempts of one request, the first included. */
inline constexpr std::size_t ATTEMPTS_MAX = 3;

/**
 * Bounds retries and hedges of one service to a share of its requests. Each request earns a share
 * of a token; each retry or hedge spends one.
 */
class retry_budget
{
public:
  /** Notes a new request. @param percent Retries and hedges allowed, in 100 requests. */
  void deposit(std::int64_t percent);

  /** Spends a token. @return Whether there was one. */
  bool try_withdraw();

private:
  /** Tokens that may gather: a burst after quiet times, in hundredths of a token. */
  static constexpr std::int64_t HUNDREDTHS_MAX = 1000;
  std::int64_t hundredths_ = HUNDREDTHS_MAX; ///< Tokens, in hundredths.
};

/** What is decided about another try. */
enum class retry_verdict
{
  again,              ///< Another attempt is made.
  may_have_run,       ///< Not idempotent, and it may have run.
  not_retryable,      ///< Another server would say the same.
  attempts_exhausted, ///< The most attempts were made.
  budget_exhausted,   ///< The service's budget is spent.
  deadline_reached,   ///< The deadline is too near.
};

inline constexpr enum_table<retry_verdict, 6> RETRY_VERDICT_ROWS = { {
  { retry_verdict::again, "again" },
  { retry_verdict::may_have_run, "may_have_run" },
  { retry_verdict::not_retryable, "no_help" },
  { retry_verdict::attempts_exhausted, "attempts_spent" },
  { retry_verdict::budget_exhausted, "budget_spent" },
  { retry_verdict::deadline_reached, "no_time" },
} };
static_assert(is_complete(RETRY_VERDICT_ROWS, retry_verdict::deadline_reached));

/** @return The name table of retry verdicts. */
constexpr const auto&
enum_rows(retry_verdict)
{
  return RETRY_VERDICT_ROWS;
}

/** What another try depends on. */
struct retry_request
{
  failure_reason reason = failure_reason::no_server; ///< Why the latest attempt ended.
  outcome result = outcome::unknown;                 ///< Whether it ran.
  bool is_idempotent = false; ///< Whether the request may run more than once.
  std::size_t attempts = 0;   ///< Attempts made.
  mono_ms time_left_ms = 0;   ///< Time until the deadline.
};

/**
 * Decides whether a request is tried again. A request that may have run is tried again only if it
 * is idempotent.
 * @param request The latest attempt.
 * @param budget The service's budget; a token is spent if the verdict is `again`.
 * @return The verdict.
 */
retry_verdict
decide_retry(const retry_request& request, retry_budget& budget);

} // namespace shallotfield
