// What callers are told for each refusal.
#pragma once
#include "connection/connection.h"

namespace shallotfield {

/** How a refusal is shown and whether another try may help. */
struct failure_response
{
  failure_reason reason;  ///< The refusal.
  outcome result;         ///< Outcome when it is the only attempt's end.
  unsigned status;        ///< HTTP status for the caller.
  bool is_retryable;      ///< Whether another server may take the request.
  unsigned retry_after_s; ///< Retry-After for the caller; 0: none.
};

// clang-format off
inline constexpr std::array<failure_response, FAILURE_REASON_ROWS.size()> FAILURE_RESPONSES = { {
  { failure_reason::no_route,       outcome::not_run, 404, false, 0 },
  { failure_reason::no_server,      outcome::not_run, 503, true,  1 },
  { failure_reason::unreachable,    outcome::not_run, 503, true,  1 },
  { failure_reason::queue_full,     outcome::not_run, 503, true,  1 },
  { failure_reason::too_late,       outcome::not_run, 503, true,  1 },
  { failure_reason::draining,       outcome::not_run, 503, true,  1 },
  { failure_reason::shed,           outcome::not_run, 503, true,  1 },
  { failure_reason::blocked,        outcome::not_run, 503, true,  1 },
  { failure_reason::key_malformed,  outcome::not_run, 400, false, 0 },
  { failure_reason::key_reused,     outcome::not_run, 422, false, 0 },
  { failure_reason::key_moved,      outcome::not_run, 503, true,  1 },
  { failure_reason::key_expired,    outcome::unknown, 409, false, 0 },
  { failure_reason::key_unresolved, outcome::unknown, 409, false, 0 },
  { failure_reason::key_limit,      outcome::not_run, 503, false, 1 },
  { failure_reason::stale,          outcome::not_run, 503, true,  1 },
  { failure_reason::link_lost,      outcome::unknown, 502, true,  0 },
  { failure_reason::server_lost,    outcome::unknown, 502, true,  0 },
  { failure_reason::response_truncated,     outcome::unknown, 502, true,  0 },
  { failure_reason::timed_out,      outcome::unknown, 504, false, 0 },
  { failure_reason::cancelled,      outcome::unknown, 499, false, 0 },
} };
// clang-format on

/** Checks that the rows stand in the order of the enumerators. */
constexpr bool
failure_responses_in_order()
{
  for (std::size_t i = 0; i < FAILURE_RESPONSES.size(); ++i) {
    if (static_cast<std::size_t>(FAILURE_RESPONSES[i].reason) != i) {
      return false;
    }
  }
  return true;
}
static_assert(failure_responses_in_order());

/** @param reason A refusal. @return How it is shown. */
constexpr const failure_response&
failure_response_of(failure_reason reason)
{
  return FAILURE_RESPONSES[static_cast<std::size_t>(reason)];
}

} // namespace shallotfield
