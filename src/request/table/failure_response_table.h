// How each failure reason is reported to the caller, and whether the request may be sent to another
// server.
#pragma once
#include "connection/connection.h"

namespace shallotfield {

/** The error response for one failure reason. */
struct failure_response
{
  failure_reason reason;  ///< The failure reason.
  outcome result;         ///< Outcome of a request whose only attempt failed for this reason.
  unsigned status;        ///< HTTP status of the response.
  bool is_retryable;      ///< Whether another server may accept the request.
  unsigned retry_after_s; ///< Value of the Retry-After header; 0 if it is omitted.
  bool rules_out_key;     ///< Whether no earlier request with this key and content can have run.
};

// clang-format off
inline constexpr std::array<failure_response, FAILURE_REASON_ROWS.size()> FAILURE_RESPONSES = { {
  { failure_reason::no_route,           outcome::not_run, 404, false, 0, false },
  { failure_reason::no_server,          outcome::not_run, 503, true,  1, false },
  { failure_reason::unreachable,        outcome::not_run, 503, true,  1, false },
  { failure_reason::queue_full,         outcome::not_run, 503, true,  1, true  },
  { failure_reason::too_late,           outcome::not_run, 503, true,  1, true  },
  { failure_reason::draining,           outcome::not_run, 503, true,  1, false },
  { failure_reason::shed,               outcome::not_run, 503, true,  1, true  },
  { failure_reason::blocked,            outcome::not_run, 503, true,  1, false },
  { failure_reason::key_malformed,      outcome::not_run, 400, false, 0, false },
  { failure_reason::key_reused,         outcome::not_run, 422, false, 0, true  },
  { failure_reason::key_moved,          outcome::not_run, 503, true,  1, false },
  { failure_reason::key_expired,        outcome::unknown, 409, false, 0, false },
  { failure_reason::key_unresolved,     outcome::unknown, 409, false, 0, false },
  { failure_reason::key_limit,          outcome::not_run, 503, false, 1, false },
  { failure_reason::stale,              outcome::not_run, 503, true,  1, false },
  { failure_reason::link_lost,          outcome::unknown, 502, true,  0, false },
  { failure_reason::server_lost,        outcome::unknown, 502, true,  0, false },
  { failure_reason::response_truncated, outcome::unknown, 502, true,  0, false },
  { failure_reason::timed_out,          outcome::unknown, 504, false, 0, false },
  { failure_reason::cancelled,          outcome::unknown, 499, false, 0, false },
  { failure_reason::crashes_servers,    outcome::not_run, 503, false, 0, false },
  { failure_reason::unknown_key,        outcome::not_run, 401, false, 0, false },
  { failure_reason::over_quota,         outcome::not_run, 429, false, 1, false },
} };
// clang-format on

/** Checks that the rows have the order of the enumerators, by which the table is indexed. */
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

/** Returns the error response for a failure reason. */
constexpr const failure_response&
failure_response_of(failure_reason reason)
{
  return FAILURE_RESPONSES[static_cast<std::size_t>(reason)];
}

} // namespace shallotfield
