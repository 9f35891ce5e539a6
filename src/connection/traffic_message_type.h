// Messages on traffic links: requests to the node beside a backend server, and their answers.
#pragma once
#include "http_type.h"
#include "version/version.h"

#include <cstdint>
#include <string>
#include <variant>

namespace shallotfield {

using call_id = std::uint64_t; ///< Number of a call on one link; never used again on that link.

/** The kind of a traffic message; its name is the `kind` in the head. */
enum class traffic_kind
{
  call_open,          ///< A request; the body is the payload.
  call_cancel,        ///< The request's caller went away, or its answer is no longer wanted.
  call_credit,        ///< More of the answer may be sent.
  call_response_head, ///< Status and headers.
  call_response_data, ///< A piece of the body, as payload.
  call_response_end,  ///< The answer is complete.
  call_failed,        ///< The request ends without a whole answer.
  key_query,          ///< Asks whether a request key ran, and for the promise not to run it.
  key_reply,          ///< Answers a query.
  call_full_response, ///< A complete answer; the body is the payload.
  link_ping,          ///< Asks whether the link still carries messages.
  link_pong,          ///< Answers a ping.
};

inline constexpr enum_table<traffic_kind, 12> TRAFFIC_KIND_ROWS = { {
  { traffic_kind::call_open, "call_open" },
  { traffic_kind::call_cancel, "call_cancel" },
  { traffic_kind::call_credit, "call_credit" },
  { traffic_kind::call_response_head, "answer_head" },
  { traffic_kind::call_response_data, "answer_data" },
  { traffic_kind::call_response_end, "answer_end" },
  { traffic_kind::call_failed, "call_refused" },
  { traffic_kind::key_query, "key_query" },
  { traffic_kind::key_reply, "key_reply" },
  { traffic_kind::call_full_response, "answer_whole" },
  { traffic_kind::link_ping, "link_ping" },
  { traffic_kind::link_pong, "link_pong" },
} };
static_assert(is_complete(TRAFFIC_KIND_ROWS, traffic_kind::link_pong));

/** @return The name table of traffic message kinds. */
constexpr const auto&
enum_rows(traffic_kind)
{
  return TRAFFIC_KIND_ROWS;
}

/** How a request ended, as the caller is told. */
enum class outcome
{
  answered, ///< The whole answer of the backend server.
  not_run,  ///< It did not run, here or elsewhere, for this request.
  unknown,  ///< It may have run, or may be running.
};

inline constexpr enum_table<outcome, 3> OUTCOME_ROWS = { {
  { outcome::answered, "answered" },
  { outcome::not_run, "not-run" },
  { outcome::unknown, "unknown" },
} };
static_assert(is_complete(OUTCOME_ROWS, outcome::unknown));

/** @return The name table of outcomes. */
constexpr const auto&
enum_rows(outcome)
{
  return OUTCOME_ROWS;
}

/** Why a request got no whole answer. The table in table/refusal_table.h gives outcome and status.
 */
enum class failure_reason
{
  no_route,           ///< No route of the version takes the request.
  no_server,          ///< No server of the service may take work.
  unreachable,        ///< The node beside the server can't be reached; the request never left.
  queue_full,         ///< All slots are taken and the queue is full.
  too_late,           ///< The deadline would pass, or has passed, before a slot is free.
  draining,           ///< The server, or the node beside it, is leaving.
  shed,               ///< The server said that it did not run the request.
  blocked,            ///< Operators took the server out of service.
  key_malformed,      ///< The request key is no UUID of version 7, or lies in the future.
  key_reused,         ///< The key came with another request before.
  key_moved,          ///< Another node is the home of the key.
  key_expired,        ///< The key is older than what is remembered.
  key_unresolved,     ///< Nobody can show that the key has not run.
  key_limit,          ///< No room to remember another key.
  stale,              ///< The node was paused or cut off and has not caught up.
  link_lost,          ///< The link to the node broke with the request under way.
  server_lost,        ///< The server broke the connection with the request under way.
  response_truncated, ///< The answer ended early.
  timed_out,          ///< The deadline passed with the request under way.
  cancelled,          ///< The caller went away.
};

inline constexpr enum_table<failure_reason, 20> FAILURE_REASON_ROWS = { {
  { failure_reason::no_route, "no_route" },
  { failure_reason::no_server, "no_server" },
  { failure_reason::unreachable, "unreachable" },
  { failure_reason::queue_full, "queue_full" },
  { failure_reason::too_late, "too_late" },
  { failure_reason::draining, "draining" },
  { failure_reason::shed, "shed" },
  { failure_reason::blocked, "blocked" },
  { failure_reason::key_malformed, "key_malformed" },
  { failure_reason::key_reused, "key_reused" },
  { failure_reason::key_moved, "key_moved" },
  { failure_reason::key_expired, "key_expired" },
  { failure_reason::key_unresolved, "key_unresolved" },
  { failure_reason::key_limit, "key_limit" },
  { failure_reason::stale, "stale" },
  { failure_reason::link_lost, "link_lost" },
  { failure_reason::server_lost, "server_lost" },
  { failure_reason::response_truncated, "answer_cut" },
  { failure_reason::timed_out, "timed_out" },
  { failure_reason::cancelled, "cancelled" },
} };
static_assert(is_complete(FAILURE_REASON_ROWS, failure_reason::cancelled));

/** @return The name table of refusals. */
constexpr const auto&
enum_rows(failure_reason)
{
  return FAILURE_REASON_ROWS;
}

/** What the node beside a server sees of it; goes with each answer. */
struct load_report
{
  std::uint32_t running = 0; ///< Requests on slots.
  std::uint32_t waiting = 0; ///< Requests in the queue.
  std::uint32_t slots = 0;   ///< Slots in use by policy.
  std::uint32_t slowness_permille =
    1000; ///< Time that requests take on a slot there, in thousandths of what is usual.
  bool operator==(const load_report&) const = default;
};

/** A request for the server beside the receiver. */
struct call_open
{
  call_id id = 0;                            ///< Number of the call.
  request_head head;                         ///< Head for the server.
  service_id service;                        ///< Service that the route chose.
  work_class kind = work_class::interactive; ///< Lane.
  bool is_idempotent = false;                ///< Whether it may run more than once.
  std::string key;                           ///< Request key; empty if there is none.
  std::string customer;                      ///< Who asks, for fairness; may be empty.
  std::string region;                        ///< Region of the caller's edge.
  std::int64_t timeout_ms = 0;               ///< Time left until the deadline.
  std::uint64_t version = 0;                 ///< Version that the route came from.
  std::int64_t window_bytes = 0;             ///< Credit to start with.
  std::string instance;                      ///< Incarnation that is meant; empty: any.
  service_id caller_service;                 ///< Service of the VM where the request began.
  std::string work;                          ///< Kind of work, by which service times are learnt.
  std::int64_t priority = 0;                 ///< Rank in the queue; 0 is the highest.
  std::int64_t objective_ms = 0;             ///< Time left in which an answer is fully useful.
  std::int64_t fleet_service_ms =
    0;              ///< Time that such requests take on a slot of any server; 0: not known.
  std::string body; ///< Whole body.
  bool operator==(const call_open&) const = default;
};

/** Cancels a call. */
struct call_cancel
{
  call_id id = 0; ///< The call.
  bool operator==(const call_cancel&) const = default;
};

/** Lets more of an answer be sent. */
struct call_credit
{
  call_id id = 0;         ///< The call.
  std::int64_t bytes = 0; ///< Additional bytes.
  bool operator==(const call_credit&) const = default;
};

/** Start of an answer. */
struct call_response_head
{
  call_id id = 0;     ///< The call.
  response_head head; ///< Status and headers.
  load_report load;   ///< State of the server's queue.
  bool operator==(const call_response_head&) const = default;
};

/** A piece of an answer. */
struct call_response_data
{
  call_id id = 0;    ///< The call.
  std::string bytes; ///< The piece.
  bool operator==(const call_response_data&) const = default;
};

/** End of an answer. */
struct call_response_end
{
  call_id id = 0;                ///< The call.
  std::uint64_t total_bytes = 0; ///< Bytes of all pieces; the receiver compares.
  load_report load;              ///< State of the server's queue.
  bool operator==(const call_response_end&) const = default;
};

/** End of a call without a whole answer. */
struct call_failed
{
  call_id id = 0;                                    ///< The call.
  failure_reason reason = failure_reason::no_server; ///< Why.
  outcome result = outcome::unknown;                 ///< Whether it ran.
  std::int64_t retry_after_ms = 0;                   ///< When a new try may succeed; 0: not known.
  load_report load;                                  ///< State of the server's queue.
  std::int64_t residence_ms = 0; ///< Time from the call's arrival to this message.
  bool operator==(const call_failed&) const = default;
};

/** What a node knows of a request key. */
enum class key_claim
{
  barred, ///< It did not run there, and never will.
  seen,   ///< It ran there, or may have.
};

inline constexpr enum_table<key_claim, 2> KEY_CLAIM_ROWS = { {
  { key_claim::barred, "barred" },
  { key_claim::seen, "seen" },
} };
static_assert(is_complete(KEY_CLAIM_ROWS, key_claim::seen));

/** @return The name table of key claims. */
constexpr const auto&
enum_rows(key_claim)
{
  return KEY_CLAIM_ROWS;
}

/** Asks a former home of a key. */
struct key_query
{
  call_id id = 0;  ///< Number of the query.
  std::string key; ///< The key.
  bool operator==(const key_query&) const = default;
};

/** Answers a query. */
struct key_reply
{
  call_id id = 0;                    ///< Number of the query.
  key_claim claim = key_claim::seen; ///< What is known.
  bool operator==(const key_reply&) const = default;
};

/** A complete answer. */
struct call_full_response
{
  call_id id = 0;                ///< The call.
  response_head head;            ///< Status and headers.
  load_report load;              ///< State of the server's queue.
  std::string body;              ///< Whole body.
  std::int64_t residence_ms = 0; ///< Time from the call's arrival to this message.
  std::int64_t execution_ms = 0; ///< Part of it on a slot of the server.
  bool operator==(const call_full_response&) const = default;
};

/** Asks whether the link still carries messages. */
struct link_ping
{
  call_id id = 0; ///< Number of the ping.
  bool operator==(const link_ping&) const = default;
};

/** Answers a ping. */
struct link_pong
{
  call_id id = 0; ///< Number of the ping.
  bool operator==(const link_pong&) const = default;
};

/** Any traffic message; the alternatives stand in the order of traffic_kind. */
using traffic_message = std::variant<call_open,
                                     call_cancel,
                                     call_credit,
                                     call_response_head,
                                     call_response_data,
                                     call_response_end,
                                     call_failed,
                                     key_query,
                                     key_reply,
                                     call_full_response,
                                     link_ping,
                                     link_pong>;

/** @param message Any traffic message. @return Its kind. */
inline traffic_kind
kind_of(const traffic_message& message)
{
  return static_cast<traffic_kind>(message.index());
}

} // namespace shallotfield
