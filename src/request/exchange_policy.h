// The course of one request at the proxy where its caller is connected: which server it goes to,
// whether it is sent again, and what the caller is told. Events in, effects out.
#pragma once
#include "congestion_policy.h"
#include "fleet_retry_policy.h"
#include "server_choice_policy.h"
#include "table/failure_response_table.h"

#include <string>
#include <variant>
#include <vector>

namespace shallotfield {

/** Index of an attempt of one request. */
using exchange_attempt_index = std::size_t;

// Events.

/** The request was read whole. */
struct exchange_started
{};

/** A server answered. */
struct attempt_responded
{
  exchange_attempt_index attempt = 0; ///< Which attempt.
  response_head head;                 ///< Status and headers.
  std::string body;                   ///< Whole body.
  load_report load;                   ///< State of the server's queue.
  std::int64_t residence_ms = 0;      ///< Time that the server's node had the request.
  std::int64_t execution_ms = 0;      ///< Part of it on a slot of the server.
};

/** An attempt ended without a whole answer. */
struct attempt_failed
{
  exchange_attempt_index attempt = 0;                ///< Which attempt.
  failure_reason reason = failure_reason::link_lost; ///< Why.
  outcome result = outcome::unknown;                 ///< Whether it ran.
  std::int64_t retry_after_ms = 0;                   ///< When a new try may succeed; 0: not known.
  std::optional<load_report> load; ///< State of the server's queue, if its node sent it.
  std::int64_t residence_ms = 0;   ///< Time that the server's node had the request.
};

/** The deadline, or the route's timeout, passed. */
struct exchange_expired
{};

/** The caller closed its connection. */
struct exchange_abandoned
{};

using exchange_event = std::variant<exchange_started,
                                    attempt_responded,
                                    attempt_failed,
                                    exchange_expired,
                                    exchange_abandoned>;

// Effects.

/** Send the request to a server's node. */
struct send_attempt
{
  exchange_attempt_index attempt = 0; ///< Which attempt.
  node_id node;                       ///< The server's node.
  std::string instance;               ///< The server that is meant.
  std::int64_t timeout_ms = 0;        ///< Time left until the deadline.
  bool is_retry = false;              ///< An earlier attempt reached a server.
  std::int64_t fleet_service_ms = 0;  ///< Time that such requests take on a slot; 0: not known.
};

/** Tell a node that its answer is no longer wanted. */
struct cancel_exchange_attempt
{
  exchange_attempt_index attempt = 0; ///< Which attempt.
};

/** Give the caller a server's answer. */
struct send_response
{
  response_head head; ///< Status and headers.
  std::string body;   ///< Whole body.
};

/** Answer the caller in the server's place. */
struct send_error_response
{
  unsigned status = 0;                               ///< HTTP status.
  failure_reason reason = failure_reason::no_server; ///< Why.
  std::int64_t retry_after_ms = 0;                   ///< When to come again; 0: not said.
};

/** Write a log line. */
struct exchange_log
{
  log_event event = log_event::request_done; ///< Kind.
  std::vector<log_field> fields;             ///< Fields.
  bool is_routine = false;                   ///< About a request that went well.
};

using exchange_effect = std::
  variant<send_attempt, cancel_exchange_attempt, send_response, send_error_response, exchange_log>;

/** One attempt of a request. */
struct exchange_attempt
{
  node_id node;                  ///< Where it went.
  mono_ms sent_at = 0;           ///< When.
  bool is_open = true;           ///< Neither ended nor dropped.
  bool may_have_run = true;      ///< Until the node says that it didn't.
  std::string other_region_name; ///< Region that it went to; empty: the proxy's own.
  double bytes = 0;              ///< Expected bytes on the way.
};

/** One request at its caller's proxy. */
struct exchange_state
{
  std::string request_id;                 ///< As the caller sent it.
  request_head head;                      ///< The request.
  std::string body;                       ///< Its body.
  std::optional<std::int64_t> wait_ms;    ///< How long the caller waits, if it said so.
  route_table_ptr table;                  ///< The configuration that it began with, and keeps.
  const route_rule* rule = nullptr;       ///< Its rule, in that configuration.
  service_id service;                     ///< Service that it goes to.
  mono_ms started_at = 0;                 ///< When it was read.
  mono_ms deadline = 0;                   ///< When it has to be over.
  std::vector<exchange_attempt> attempts; ///< In order.
  std::size_t delivered_attempts = 0;     ///< Attempts that a server saw, or may have seen.
  std::size_t rejected_attempts = 0;      ///< Attempts that a node turned away.
  std::int64_t retry_after_ms = 0;        ///< Shortest time that such a node named.
  bool found_full_server = false;         ///< Some node has no room, as it said lately.
  bool may_have_run = false;              ///< Some attempt may have run.
  bool is_done = false;                   ///< Over.
};

/** What a proxy's requests share. */
struct proxy_state
{
  node_beacon self;         ///< This node.
  peer_view_ptr view;       ///< The nodes that live, this one included.
  server_tracker tracker;   ///< What this proxy sees of the servers.
  congestion_control paths; ///< What may be under way to other regions.
  std::map<service_id, fleet_retry_budget> retry_budgets; ///< By service.
  std::unordered_map<std::string, std::vector<double>>
    split_deficits; ///< Requests that each part of a split is behind, by rule.
  std::unordered_map<std::string, double> expected_bytes; ///< Request and answer together, by rule.
  std::unordered_map<std::string, double>
    fleet_service_ms;                 ///< Time on a slot of any server, by rule.
  retry_limits limits;                ///< Limits on repeats.
  std::optional<mono_ms> shutdown_at; ///< When this process ends, once it is known.
  random_source random;               ///< Random numbers.
};

/**
 * Takes an event of a request.
 * @param call The request.
 * @param event The event.
 * @param proxy What the proxy's requests share.
 * @param now Current time.
 * @return What to do, in order. After send_response, send_error_response or exchange_abandoned it
 * is over.
 */
std::vector<exchange_effect>
handle_exchange_event(exchange_state& call,
                      const exchange_event& event,
                      proxy_state& proxy,
                      mono_ms now);

} // namespace shallotfield
