// What callers are told for each refusal.
#pragma once
#include "connection/connection.h"

namespace shallotfield {

/** How a refusal is shown and whether another try may help. */
struct failure_response
{
  refusal reason;         ///< The refusal.
  outcome result;         ///< Outcome when it is the only attempt's end.
  unsigned status;        ///< HTTP status for the caller.
  bool is_retryable;      ///< Whether another server may take the request.
  unsigned retry_after_s; ///< Retry-After for the caller; 0: none.
};

// clang-format off
inline constexpr std::array<failure_response, REFUSAL_ROWS.size()> FAILURE_RESPONSES = { {
  { refusal::no_route,       outcome::not_run, 404, false, 0 },
  { refusal::no_server,      outcome::not_run, 503, true,  1 },
  { refusal::unreachable,    outcome::not_run, 503, true,  1 },
  { refusal::queue_full,     outcome::not_run, 503, true,  1 },
  { refusal::too_late,       outcome::not_run, 503, true,  1 },
  { refusal::draining,       outcome::not_run, 503, true,  1 },
  { refusal::shed,           outcome::not_run, 503, true,  1 },
  { refusal::blocked,        outcome::not_run, 503, true,  1 },
  { refusal::key_malformed,  outcome::not_run, 400, false, 0 },
  { refusal::key_reused,     outcome::not_run, 422, false, 0 },
  { refusal::key_moved,      outcome::not_run, 503, true,  1 },
  { refusal::key_expired,    outcome::unknown, 409, false, 0 },
  { refusal::key_unresolved, outcome::unknown, 409, false, 0 },
  { refusal::key_limit,      outcome::not_run, 503, false, 1 },
  { refusal::stale,          outcome::not_run, 503, true,  1 },
  { refusal::link_lost,      outcome::unknown, 502, true,  0 },
  { refusal::server_lost,    outcome::unknown, 502, true,  0 },
  { refusal::answer_cut,     outcome::unknown, 502, true,  0 },
  { refusal::timed_out,      outcome::unknown, 504, false, 0 },
  { refusal::cancelled,      outcome::unknown, 499, false, 0 },
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
failure_response_of(refusal reason)
{
  return FAILURE_RESPONSES[static_cast<std::size_t>(reason)];
}

} // namespace shallotfield
