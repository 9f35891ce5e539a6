// The course of one request at the edge where its caller is connected: routing, picking, retries,
// hedging, deadline and outcome, as events in and effects out.
#pragma once
#include "retry_policy.h"

#include <string>
#include <variant>
#include <vector>

namespace shallotfield {

/** Index of an attempt of one request. */
using attempt_index = std::size_t;

// Events.

/** The request was read whole. */
struct call_started
{};

/** The node beside the server sent the start of an answer. */
struct attempt_head
{
  attempt_index attempt = 0; ///< Which attempt.
  response_head head;        ///< Status and headers.
  load_report load;          ///< State of the server's queue.
};

/** A piece of the answer arrived. */
struct attempt_data
{
  attempt_index attempt = 0; ///< Which attempt.
  std::string bytes;         ///< The piece.
};

/** The answer is complete as far as the node beside the server knows. */
struct attempt_end
{
  attempt_index attempt = 0;     ///< Which attempt.
  std::uint64_t total_bytes = 0; ///< Bytes that were sent.
  load_report load;              ///< State of the server's queue.
};

/** The attempt ended without a whole answer. */
struct attempt_refused
{
  attempt_index attempt = 0;                         ///< Which attempt.
  failure_reason reason = failure_reason::link_lost; ///< Why.
  outcome result = outcome::unknown;                 ///< Whether it ran.
  load_report load;      ///< State of the server's queue, if the node sent it.
  bool has_load = false; ///< Whether it did.
};

/** The deadline of the request passed. */
struct deadline_passed
{};

/** The wait before a hedge is over. */
struct hedge_delay_elapsed
{};

/** The caller went away. */
struct call_abandoned
{};

/** Bytes of the answer left for the caller. */
struct response_bytes_written
{
  std::int64_t bytes = 0; ///< How many.
};

using call_event = std::variant<call_started,
                                attempt_head,
                                attempt_data,
                                attempt_end,
                                attempt_refused,
                                deadline_passed,
                                hedge_delay_elapsed,
                                call_abandoned,
                                response_bytes_written>;

// Effects.

/** Send the request to a node. */
struct open_attempt
{
  attempt_index attempt = 0; ///< Which attempt.
  node_id node;              ///< Where to.
  call_open message;         ///< The request; the shell fills in the call's number.
};

/** Tell a node that the answer is no longer wanted. */
struct cancel_attempt
{
  attempt_index attempt = 0; ///< Which attempt.
};

/** Let a node send more of the answer. */
struct grant_credit
{
  attempt_index attempt = 0; ///< Which attempt.
  std::int64_t bytes = 0;    ///< How many bytes more.
};

/** Start the answer to the caller. */
struct send_head
{
  response_head head; ///< Status and headers.
};

/** Send a piece of the answer to the caller. */
struct send_data
{
  std::string bytes; ///< The piece.
};

/** The answer to the caller is complete. */
struct finish_response
{};

/** Answer the caller without the server's answer. */
struct refuse_caller
{
  failure_reason reason = failure_reason::no_server; ///< Why.
  outcome result = outcome::unknown;                 ///< Whether it ran.
};

/** Break the caller's connection, so that it sees that the answer is cut. */
struct abort_connection
{};

/** Raise an event later. */
struct start_timer
{
  mono_ms delay_ms = 0; ///< When.
  call_event event;     ///< Which.
};

/** Write a log line. */
struct log_line
{
  log_event event = log_event::request_done; ///< Kind.
  std::vector<log_field> fields;             ///< Fields.
};

/** The request is over; nothing more follows. */
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
  node_id node;        ///< Where it went.
  mono_ms sent_at = 0; ///< When.
  bool is_open = true; ///< Neither ended nor cancelled.
};

/** One request at its caller's edge. */
struct call_state
{
  std::string id;                      ///< For logs: unique in the fleet.
  request_head head;                   ///< The request.
  std::string body;                    ///< Its body.
  compiled_version_ptr version;        ///< The version that it began with, and keeps.
  std::string key;                     ///< Request key; empty if there is none.
  std::string customer;                ///< Who asks; may be empty.
  std::optional<route_decision> route; ///< Its route.
  mono_ms started_at = 0;              ///< When it was read.
  mono_ms deadline = 0;                ///< When it has to be over.
  std::vector<call_attempt> attempts;  ///< In order.
  std::optional<attempt_index> winner; ///< The attempt whose answer the caller gets.
  std::uint64_t received_bytes = 0;    ///< Bytes of the winner's body.
  bool may_have_run = false;           ///< Some attempt may have run.
  bool was_hedged = false;             ///< A hedge was decided on.
  bool is_done = false;                ///< Over.
};

/** What one traffic thread shares among its requests. */
struct edge_state
{
  node_id self;                               ///< This node.
  member_view_ptr view;                       ///< The members.
  server_stats_table seen;                    ///< What this thread sees of the servers.
  std::map<service_id, retry_budget> budgets; ///< By service.
  random_source random;                       ///< Random numbers.
  std::int64_t window_bytes = 0;              ///< Credit of each answer.
};

/**
 * Takes an event of a request.
 * @param call The request.
 * @param event The event.
 * @param edge What the thread's requests share.
 * @param now Current time.
 * @return What to do, in order.
 */
std::vector<call_effect>
handle_call_event(call_state& call, const call_event& event, edge_state& edge, mono_ms now);

/** Name of the header with the outcome of a request. */
inline constexpr std::string_view OUTCOME_HEADER = "Shallotfield-Outcome";

/** Name of the header with the reason of a refusal. */
inline constexpr std::string_view REASON_HEADER = "Shallotfield-Reason";

/** Name of the header with a request's key. */
inline constexpr std::string_view KEY_HEADER = "Idempotency-Key";

/** Name of the header with a request's deadline, in ms from its arrival. */
inline constexpr std::string_view TIMEOUT_HEADER = "Shallotfield-Timeout-Ms";

/** Name of the header that says who asks. */
inline constexpr std::string_view CUSTOMER_HEADER = "Shallotfield-Customer";

} // namespace shallotfield
