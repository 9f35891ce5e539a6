// Messages on traffic links. A call is a request that a node sends to the node of a backend server,
// and that is answered by a response or a failure.
#pragma once
#include "http_type.h"
#include "shared_body_type.h"
#include "version/version.h"

#include <cstdint>
#include <string>
#include <variant>

namespace shallotfield {

/** Number of a call, key query or ping on its link; never reused on that link. */
using call_id = std::uint64_t;

/** Type of a traffic message. Its name is the `kind` in the head of the frame. */
enum class traffic_kind
{
  call_open,   ///< The request of a call; the body is the payload.
  call_cancel, ///< The response is no longer needed, for example because the caller disconnected.
  call_credit, ///< Flow control: more of the response may be sent.
  call_response_head, ///< Status and headers of a response.
  call_response_data, ///< Part of the body of a response, as payload.
  call_response_end,  ///< The response is complete.
  call_failed,        ///< The call ends without a complete response.
  /**
   * Asks whether the request with a key was executed. The reply may promise that it never will be.
   */
  key_query,
  key_reply,          ///< Reply to a key_query.
  call_full_response, ///< A complete response; the body is the payload.
  link_ping,          ///< Checks whether the link still carries messages.
  link_pong,          ///< Reply to a link_ping.
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

/** Returns the name table of traffic message types. */
constexpr const auto&
enum_rows(traffic_kind)
{
  return TRAFFIC_KIND_ROWS;
}

/** Outcome of a request, as reported to the caller. */
enum class outcome
{
  answered, ///< The backend server sent a complete response.
  not_run,  ///< No server executed the request.
  unknown,  ///< A server may have executed the request, or may still be doing so.
};

inline constexpr enum_table<outcome, 3> OUTCOME_ROWS = { {
  { outcome::answered, "answered" },
  { outcome::not_run, "not-run" },
  { outcome::unknown, "unknown" },
} };
static_assert(is_complete(OUTCOME_ROWS, outcome::unknown));

/** Returns the name table of outcomes. */
constexpr const auto&
enum_rows(outcome)
{
  return OUTCOME_ROWS;
}

/**
 * Why a request has no complete response. request/table/failure_response_table.h lists the outcome
 * and HTTP status of each reason.
 */
enum class failure_reason
{
  no_route,       ///< No route of the configuration matches the request.
  no_server,      ///< No server of the service accepts requests.
  unreachable,    ///< The node of the server cannot be reached; the request was not sent.
  queue_full,     ///< All slots are occupied and the queue is full.
  too_late,       ///< The deadline has passed, or would pass before a slot is free.
  draining,       ///< The server or its node is shutting down.
  shed,           ///< The server reported that it did not execute the request.
  blocked,        ///< Operators took the server out of service.
  key_malformed,  ///< The idempotency key is not a UUID of version 7, or its time is in the future.
  key_reused,     ///< The key was used before for a different request.
  key_moved,      ///< Another node is responsible for the key.
  key_expired,    ///< The key is older than the period for which keys are remembered.
  key_unresolved, ///< No node can confirm that the request with this key was not executed.
  key_limit,      ///< There is no room to remember another key.
  stale,          ///< The node was paused or disconnected and has not caught up yet.
  link_lost,      ///< The link to the node broke during the request.
  server_lost,    ///< The server closed the connection during the request.
  response_truncated, ///< The response was incomplete or invalid.
  timed_out,          ///< The deadline passed during the request.
  cancelled,          ///< The caller disconnected.
  crashes_servers,    ///< Servers have crashed while they ran this request.
  unknown_key,        ///< The key of the caller belongs to no client account, or is missing.
  over_quota,         ///< The client account has used up its quota.
};

inline constexpr enum_table<failure_reason, 23> FAILURE_REASON_ROWS = { {
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
  { failure_reason::crashes_servers, "crashes_servers" },
  { failure_reason::unknown_key, "unknown_key" },
  { failure_reason::over_quota, "over_quota" },
} };
static_assert(is_complete(FAILURE_REASON_ROWS, failure_reason::over_quota));

/** Returns the name table of failure reasons. */
constexpr const auto&
enum_rows(failure_reason)
{
  return FAILURE_REASON_ROWS;
}

/** Load of a backend server as seen by its node; sent with each response. */
struct load_report
{
  std::uint32_t running = 0; ///< Requests that occupy a slot.
  std::uint32_t waiting = 0; ///< Requests in the queue.
  std::uint32_t slots = 0; ///< Requests that may run at the same time; 0: no new ones are accepted.
  /**
   * Service time on this server relative to the fleet's average for the same kinds of work, in
   * thousandths.
   */
  std::uint32_t slowness_permille = 1000;
  std::uint32_t bulk_wait_ms = 0; ///< Time for which the response to a download waits for the link.
  bool operator==(const load_report&) const = default;
};

/** A request for the backend server of the receiving node. */
struct call_open
{
  call_id id = 0;
  request_head head;  ///< Head of the request to the server.
  service_id service; ///< Service that the route selected.
  /**
   * Class of the request. Bulk requests are sent and queued separately, so that they do not delay
   * interactive ones.
   */
  work_class kind = work_class::interactive;
  bool is_idempotent = false;    ///< Whether the request may be executed more than once.
  std::string key;               ///< Idempotency key; empty if there is none.
  std::string customer;          ///< Client account of the caller, for fair queueing; may be empty.
  std::string region;            ///< Region in which the caller is connected.
  std::int64_t timeout_ms = 0;   ///< Time left until the deadline.
  std::uint64_t version = 0;     ///< Version of the configuration that contains the route.
  std::int64_t window_bytes = 0; ///< Initial flow control window for the response.
  std::string instance;          ///< Id of the server instance that the request is for; empty: any.
  service_id caller_service;     ///< Service on the VM from which the request originates.
  /**
   * Kind of work: the name of the rule that the request matched; may be empty. The node averages
   * service times per value of this field; the field `kind` above is the class instead.
   */
  std::string work;
  std::int64_t priority = 0;     ///< Rank in the queue, of the account or else of the rule; 0 is
                                 ///< the highest.
  std::int64_t objective_ms = 0; ///< Time left to meet the latency objective of the route.
  /**
   * Average service time (time on a slot of a server) of requests with the same `work`, over all
   * servers; 0: unknown.
   */
  std::int64_t fleet_service_ms = 0;
  shared_body body;
  bool operator==(const call_open&) const = default;
};

/** Cancels a call, whose response is no longer needed. */
struct call_cancel
{
  call_id id = 0;
  bool operator==(const call_cancel&) const = default;
};

/**
 * Extends the flow control window of a response, on links of control_thread nodes. On links between
 * proxies it is about the body of an upload. The caller's proxy offers a body with it before the
 * call_open; the server's proxy grants it with the same size, or says with 0 that it will later. A
 * proxy that does not know offers ignores them, and gets the call without a grant.
 */
struct call_credit
{
  call_id id = 0;
  std::int64_t bytes = 0;        ///< Bytes that may be sent in addition, or that are offered.
  std::string work;              ///< In offers: kind of work, as in the call_open.
  std::int64_t objective_ms = 0; ///< In offers: time left to meet the latency objective.
  bool operator==(const call_credit&) const = default;
};

/** First part of a streamed response. */
struct call_response_head
{
  call_id id = 0;
  response_head head; ///< Status and headers.
  load_report load;   ///< Load of the server.
  bool operator==(const call_response_head&) const = default;
};

/** Part of the body of a streamed response. */
struct call_response_data
{
  call_id id = 0;
  std::string bytes;
  bool operator==(const call_response_data&) const = default;
};

/** End of a streamed response. */
struct call_response_end
{
  call_id id = 0;
  std::uint64_t total_bytes = 0; ///< Size of the body; shows the receiver if parts are missing.
  load_report load;              ///< Load of the server.
  bool operator==(const call_response_end&) const = default;
};

/** End of a call without a complete response. */
struct call_failed
{
  call_id id = 0;
  failure_reason reason = failure_reason::no_server;
  outcome result = outcome::unknown; ///< Whether the request was executed.
  std::int64_t retry_after_ms = 0;   ///< Time after which a retry may succeed; 0: unknown.
  load_report load;                  ///< Load of the server.
  std::int64_t residence_ms = 0;     ///< Time from the arrival of the call to this message.
  bool operator==(const call_failed&) const = default;
};

/** What a node knows about an idempotency key. */
enum class key_claim
{
  barred, ///< The request was not executed there, and never will be.
  seen,   ///< The request was executed there, or may have been.
};

inline constexpr enum_table<key_claim, 2> KEY_CLAIM_ROWS = { {
  { key_claim::barred, "barred" },
  { key_claim::seen, "seen" },
} };
static_assert(is_complete(KEY_CLAIM_ROWS, key_claim::seen));

/** Returns the name table of key claims. */
constexpr const auto&
enum_rows(key_claim)
{
  return KEY_CLAIM_ROWS;
}

/** Asks a node that was responsible for a key earlier whether it executed the request. */
struct key_query
{
  call_id id = 0; ///< Number of the query.
  std::string key;
  bool operator==(const key_query&) const = default;
};

/** Reply to a key_query. */
struct key_reply
{
  call_id id = 0; ///< Number of the query.
  key_claim claim = key_claim::seen;
  bool operator==(const key_reply&) const = default;
};

/** A complete response in one message. */
struct call_full_response
{
  call_id id = 0;
  response_head head; ///< Status and headers.
  load_report load;   ///< Load of the server.
  shared_body body;
  std::int64_t residence_ms = 0;    ///< Time from the arrival of the call to this message.
  std::int64_t service_time_ms = 0; ///< Service time: the part of residence_ms on a slot.
  bool operator==(const call_full_response&) const = default;
};

/** Checks whether the link still carries messages. */
struct link_ping
{
  call_id id = 0; ///< Number of the ping.
  bool operator==(const link_ping&) const = default;
};

/** Reply to a link_ping. */
struct link_pong
{
  call_id id = 0; ///< Number of the ping.
  bool operator==(const link_pong&) const = default;
};

/** Any traffic message. The alternatives are in the order of traffic_kind. */
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

/** Returns the type of a message, which is the position of its alternative in the variant. */
inline traffic_kind
kind_of(const traffic_message& message)
{
  return static_cast<traffic_kind>(message.index());
}

} // namespace shallotfield
