// Handles one request at the edge to which its caller is connected: routing, server selection,
// retries, hedging, deadline and outcome. This is a state machine: it takes events and returns
// effects, and the edge thread performs the effects. An edge is the part of a control_thread node
// that serves callers; its requests are named calls here. A proxy_node is a separate kind of
// process, which handles requests with exchange_policy.h instead.
#pragma once
#include "retry_policy.h"

#include <string>
#include <variant>
#include <vector>

namespace shallotfield {

/** Index of an attempt among the attempts of one request. */
using attempt_index = std::size_t;

// Events.

/** Event: the request was read completely. */
struct call_started
{
  bool is_draining = false; ///< Whether the edge is shutting down and takes no more requests.
};

/** Event: the head of a response arrived from the server's node. */
struct attempt_head
{
  attempt_index attempt = 0; ///< The attempt that is answered.
  response_head head;        ///< Status and headers.
  load_report load;          ///< Load of the server.
};

/** Event: a part of the body of a response arrived. */
struct attempt_data
{
  attempt_index attempt = 0; ///< The attempt that is answered.
  std::string bytes;         ///< The part.
};

/** Event: the server's node has sent the whole response. */
struct attempt_end
{
  attempt_index attempt = 0;     ///< The attempt that is answered.
  std::uint64_t total_bytes = 0; ///< Number of body bytes sent, to detect a truncated response.
  load_report load;              ///< Load of the server.
};

/** Event: an attempt ended without a complete response. */
struct call_attempt_failed
{
  attempt_index attempt = 0;                         ///< The attempt that failed.
  failure_reason reason = failure_reason::link_lost; ///< Why it failed.
  outcome result = outcome::unknown;                 ///< Whether the request ran.
  load_report load;      ///< Load of the server; valid only if has_load is set.
  bool has_load = false; ///< Whether the node sent a load report.
};

/** Event: the deadline of the request passed. */
struct deadline_passed
{};

/** Event: the delay after which the request is hedged is over. */
struct hedge_delay_elapsed
{};

/** Event: the caller closed its connection. */
struct call_abandoned
{};

/** Event: a part of the response was written to the caller's connection. */
struct response_bytes_written
{
  std::int64_t bytes = 0; ///< Number of bytes written.
};

using call_event = std::variant<call_started,
                                attempt_head,
                                attempt_data,
                                attempt_end,
                                call_attempt_failed,
                                deadline_passed,
                                hedge_delay_elapsed,
                                call_abandoned,
                                response_bytes_written>;

// Effects.

/** Effect: send the request to a node. */
struct open_attempt
{
  attempt_index attempt = 0; ///< The new attempt.
  node_id node;              ///< Node to send it to.
  call_open message; ///< The request; the edge thread sets its `id`, a new number on the link for
                     ///< each attempt.
};

/** Effect: tell a node that the response is no longer wanted. */
struct cancel_attempt
{
  attempt_index attempt = 0; ///< The attempt to cancel.
};

/** Effect: allow a node to send more of the response. */
struct grant_credit
{
  attempt_index attempt = 0; ///< The attempt that is being answered.
  std::int64_t bytes = 0;    ///< Number of additional bytes.
};

/** Effect: start the response to the caller. */
struct send_head
{
  response_head head; ///< Status and headers.
};

/** Effect: send a part of the body to the caller. */
struct send_data
{
  std::string bytes; ///< The part.
};

/** Effect: end the response to the caller, which is complete. */
struct finish_response
{};

/** Effect: send the caller an error response in place of the server's response. */
struct refuse_caller
{
  failure_reason reason = failure_reason::no_server; ///< Why there is no response.
  outcome result = outcome::unknown;                 ///< Whether the request ran.
};

/** Effect: abort the caller's connection, so that the caller notices the truncated response. */
struct abort_connection
{};

/** Effect: raise an event after a delay. */
struct start_timer
{
  mono_ms delay_ms = 0; ///< The delay.
  call_event event;     ///< The event.
};

/** Effect: write a log line. */
struct log_line
{
  log_event event = log_event::request_done; ///< Kind of the line.
  std::vector<log_field> fields;             ///< Fields of the line.
};

/** Effect: release the request. This is always the last effect. */
struct call_done
{};

using call_effect = std::variant<open_attempt,
                                 cancel_attempt,
                                 grant_credit,
                                 send_head,
                                 send_data,
                                 finish_response,
                                 refuse_caller,
                                 abort_connection,
                                 start_timer,
                                 log_line,
                                 call_done>;

/** One attempt of a request. */
struct call_attempt
{
  node_id node;        ///< Node that it was sent to.
  mono_ms sent_at = 0; ///< When it was sent.
  bool is_open = true; ///< Whether it has neither ended nor been cancelled.
};

/** State of one request at its caller's edge. */
struct call_state
{
  std::string id;                      ///< Id for logs, unique in the fleet.
  request_head head;                   ///< Head of the request.
  std::string body;                    ///< Body of the request.
  compiled_version_ptr version;        ///< Configuration version, fixed when the request began.
  std::string key;                     ///< Idempotency key; empty if there is none.
  std::string customer;                ///< Client account that sent it; may be empty.
  std::optional<route_decision> route; ///< Its route; empty before routing and if none matches.
  mono_ms started_at = 0;              ///< When the request was read completely.
  mono_ms deadline = 0;                ///< Time at which the request times out.
  std::vector<call_attempt> attempts;  ///< Attempts, in the order in which they were sent.
  std::optional<attempt_index> winner; ///< Attempt whose response is passed to the caller.
  std::uint64_t received_bytes = 0;    ///< Body bytes received from the winning attempt.
  bool may_have_run = false;           ///< Whether an attempt that failed may have run.
  bool is_hedge_considered = false;    ///< Whether the one possible hedge has been considered.
  bool is_done = false;                ///< Whether the request is over.
};

/** State that the requests of one edge thread share. */
struct edge_state
{
  node_id self;                               ///< This node.
  member_view_ptr view;                       ///< The members of the fleet.
  server_stats_table stats_table;             ///< Statistics about the servers.
  std::map<service_id, retry_budget> budgets; ///< Retry budgets by service.
  random_source random;                       ///< Random number generator of the thread.
  std::int64_t window_bytes = 0;              ///< Initial flow-control credit of each response.
};

/**
 * Handles an event of a request. Updates the request and `edge`, the state that the requests of
 * an edge thread share. Returns the effects, in the order in which to perform them.
 */
std::vector<call_effect>
handle_call_event(call_state& call, const call_event& event, edge_state& edge, mono_ms now);

/** Response header with the outcome of a request. */
inline constexpr std::string_view OUTCOME_HEADER = "Shallotfield-Outcome";

/** Response header with the failure reason. */
inline constexpr std::string_view REASON_HEADER = "Shallotfield-Reason";

/** Request header with the idempotency key. */
inline constexpr std::string_view KEY_HEADER = "Idempotency-Key";

/** Request header with the time until the deadline, in ms from the arrival of the request. */
inline constexpr std::string_view TIMEOUT_HEADER = "Shallotfield-Timeout-Ms";

/** Request header with the client account. */
inline constexpr std::string_view CUSTOMER_HEADER = "Shallotfield-Customer";

} // namespace shallotfield
