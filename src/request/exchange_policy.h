// Handles one request at the proxy to which its caller is connected: which server it is sent to,
// whether it is retried, and what the caller gets. This is a state machine: it takes events and
// returns effects, and the traffic thread of the proxy performs the effects. A request is named an
// exchange here, at a proxy_node, and a call in call_policy.h, at the edge of a control_thread
// node.
#pragma once
#include "congestion_policy.h"
#include "crash_policy.h"
#include "fleet_retry_policy.h"
#include "quota_policy.h"
#include "returning_caller_policy.h"
#include "rollout_policy.h"
#include "server_choice_policy.h"
#include "table/failure_response_table.h"

#include <string>
#include <variant>
#include <vector>

namespace shallotfield {

/** Index of an attempt among the attempts of one request. */
using exchange_attempt_index = std::size_t;

// Events.

/** Event: the request was read completely. */
struct exchange_started
{};

/** Event: an attempt got a complete response from the server. */
struct attempt_responded
{
  exchange_attempt_index attempt = 0; ///< The attempt that was answered.
  response_head head;                 ///< Status and headers.
  shared_body body;                   ///< The complete body.
  load_report load;                   ///< Load of the server.
  std::int64_t residence_ms = 0;      ///< Time between arrival and response at the server's node.
  std::int64_t service_time_ms = 0; ///< The part of residence_ms in which the request held a slot.
};

/** Event: an attempt ended without a complete response. */
struct attempt_failed
{
  exchange_attempt_index attempt = 0;                ///< The attempt that failed.
  failure_reason reason = failure_reason::link_lost; ///< Why it failed.
  outcome result = outcome::unknown;                 ///< Whether the request ran.
  std::int64_t retry_after_ms = 0; ///< Time after which a retry may succeed; 0 if unknown.
  std::optional<load_report> load; ///< Load of the server, if its node sent a report.
  std::int64_t residence_ms = 0;   ///< Time between arrival and failure at the server's node.
};

/** Event: the caller's deadline or the timeout of the rule passed. */
struct exchange_expired
{};

/** Event: the caller closed its connection. */
struct exchange_abandoned
{};

using exchange_event = std::variant<exchange_started,
                                    attempt_responded,
                                    attempt_failed,
                                    exchange_expired,
                                    exchange_abandoned>;

// Effects.

/** Effect: send the request to the node of a server. */
struct send_attempt
{
  exchange_attempt_index attempt = 0; ///< The new attempt.
  node_id node;                       ///< Node of the server.
  std::string instance;               ///< Instance id of the server that was chosen.
  std::int64_t timeout_ms = 0;        ///< Time left until the deadline.
  bool is_retry = false;              ///< Whether an earlier attempt reached a server or may have.
  /** Average service time of such requests in the fleet; 0 if unknown. */
  std::int64_t fleet_service_ms = 0;
};

/** Effect: tell a node that the response to an attempt is no longer wanted. */
struct cancel_exchange_attempt
{
  exchange_attempt_index attempt = 0; ///< The attempt to cancel.
};

/** Effect: pass the response of a server to the caller. */
struct send_response
{
  response_head head; ///< Status and headers.
  shared_body body;   ///< The complete body.
};

/** Effect: send the caller an error response in place of the server's response. */
struct send_error_response
{
  unsigned status = 0;                               ///< HTTP status.
  failure_reason reason = failure_reason::no_server; ///< Why there is no response.
  std::int64_t retry_after_ms = 0; ///< Time after which to retry; 0 if none is given.
};

/** Effect: write a log line. */
struct exchange_log
{
  log_event event = log_event::request_done; ///< Kind of the line.
  std::vector<log_field> fields;             ///< Fields of the line.
  bool is_routine = false; ///< Whether the request succeeded; such lines are rate-limited.
};

using exchange_effect = std::
  variant<send_attempt, cancel_exchange_attempt, send_response, send_error_response, exchange_log>;

/** One attempt of a request. */
struct exchange_attempt
{
  node_id node;                  ///< Node that it was sent to.
  mono_ms sent_at = 0;           ///< When it was sent.
  bool is_open = true;           ///< Whether it has neither ended nor been cancelled.
  bool may_have_run = true;      ///< False once the node has said that the request did not run.
  std::string other_region_name; ///< Region of the node; empty if it is the proxy's own region.
  double bytes = 0;              ///< Expected size of request and response together.
};

/** State of one request at its caller's proxy. */
struct exchange_state
{
  std::string request_id;                 ///< Request id that the caller sent.
  request_head head;                      ///< Head of the request.
  shared_body body;                       ///< Body of the request.
  std::optional<std::int64_t> wait_ms;    ///< Time that the caller waits; empty if it set no limit.
  std::optional<std::string> account_key; ///< Key of the caller's client account, if it sent one.
  route_table_ptr table;                  ///< Configuration, fixed when the request began.
  const route_rule* rule = nullptr;       ///< The rule that matched; owned by the table.
  const client_account* account = nullptr; ///< Client account of the caller; owned by the table.
  std::int64_t priority = 0;               ///< Rank: that of the account, or else of the rule.
  service_id service;                      ///< Service that was chosen among the rule's targets.
  mono_ms started_at = 0;                  ///< When the request was read completely.
  mono_ms first_asked_at = 0; ///< When its caller first sent it; earlier if it came back.
  mono_ms deadline = 0;       ///< Time at which the request times out.
  std::vector<exchange_attempt> attempts; ///< Attempts, in the order in which they were sent.
  std::size_t delivered_attempts = 0;     ///< Number of attempts that reached a server or may have.
  std::size_t rejected_attempts = 0;      ///< Number of attempts that a node rejected.
  std::int64_t retry_after_ms = 0;        ///< Shortest retry-after time received; 0 if none.
  bool found_full_server = false;         ///< Whether a server was skipped because it is full.
  bool may_have_run = false;              ///< Whether an attempt that failed may have run.
  bool counts_against_quota = false;      ///< It counts against the quota of its account.
  bool is_on_trial = false;               ///< It was sent to the server of its trial only.
  bool is_done = false;                   ///< Whether the request is over.
  /** Digests of the request; set once some request is suspected of crashing servers. */
  std::optional<request_digests> digests;
};

/** The times of a planned shutdown of a proxy. */
struct planned_shutdown
{
  mono_ms refuses_from = 0; ///< From when on requests that would outlast the shutdown are refused.
  mono_ms ends_at = 0;      ///< When the requests that are still open are ended.
};

/** State that the requests of one proxy share. */
struct proxy_state
{
  node_beacon self;            ///< This node.
  service_id caller_service;   ///< Service on the VM of this node, which its callers belong to.
  peer_view_ptr view;          ///< The live nodes, including this one.
  server_index servers;        ///< The servers of these nodes.
  server_index target_servers; ///< Servers that get the share of a version in a roll-out.
  /** The roll-outs that are known. */
  rollout_view_ptr rollouts = std::make_shared<const rollout_view>();
  server_tracker tracker;        ///< Load and health of the servers.
  congestion_control congestion; ///< Limits the traffic to other regions.
  zone_spill spill;              ///< Limits what leaves the zone.
  bool uses_spill = false;       ///< Whether it does; otherwise the lowest score decides alone.
  traffic_prices prices;         ///< Prices of traffic between zones and regions.
  std::map<service_id, fleet_retry_budget> retry_budgets; ///< Retry budgets by service.
  /** By rule with several targets: the number of requests that each target is behind its share. */
  std::unordered_map<std::string, std::vector<double>> split_deficits;
  /** Average size of a request and its response together, by rule. */
  std::unordered_map<std::string, double> expected_bytes;
  /** Average service time in the fleet, by rule. */
  std::unordered_map<std::string, double> fleet_service_ms;
  returning_callers returning; ///< Requests of client accounts that may come back.
  retry_limits limits;         ///< Retry budget of the fleet.
  quota_gate quotas;           ///< Keeps the client accounts to their quotas.
  /** The requests that were at work when servers crashed. */
  crash_view_ptr suspects = std::make_shared<const crash_view>();
  std::optional<planned_shutdown> shutdown; ///< Set once the process is told to end.
  random_source random;                     ///< Random number generator of the thread.
};

/** Returns whether a request that arrives now would be cut off by a planned shutdown if it took
 * until its deadline. */
bool
outlasts_shutdown(const proxy_state& proxy, mono_ms deadline, mono_ms now);

/** Returns by when the body of a request should be at the proxy of its server. It counts from this
 * try, so that a request that came back after its objective can still be sent. */
mono_ms
body_objective_at(const exchange_state& exchange);

/** Replaces the view of the live nodes, which includes this one. */
void
set_peer_view(proxy_state& proxy, peer_view_ptr view, mono_ms now = 0);

/**
 * Handles an event of a request. Updates the request and `proxy`, the state that the requests of
 * the proxy share. Returns the effects, in the order in which to perform them. The request is over
 * after the effects send_response and send_error_response, and after the event exchange_abandoned.
 */
std::vector<exchange_effect>
handle_exchange_event(exchange_state& exchange,
                      const exchange_event& event,
                      proxy_state& proxy,
                      mono_ms now);

} // namespace shallotfield
