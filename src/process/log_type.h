// The events that are logged, and the fields of a log line.
#pragma once
#include "enum_table.h"

#include <concepts>
#include <string>
#include <string_view>

namespace shallotfield {

/** Kind of a log line; its name is the value of `event=`. */
enum class log_event
{
  started,          ///< The process began to serve, or a proxy reloaded its settings.
  stopped,          ///< The process is about to exit.
  listening,        ///< A port was opened.
  setting_refused,  ///< A setting is invalid and was not applied.
  version_in_force, ///< A configuration version came into force.
  version_fetched,  ///< A configuration version was received from a peer.
  record_judged,    ///< A proposal in the log service got its verdict.
  record_halted,    ///< A record has a format that this build doesn't know; reading stops there.
  log_unreachable,  ///< The log service stopped responding.
  log_reachable,    ///< The log service responds again.
  log_gap,          ///< The log service no longer holds the next record.
  snapshot_written, ///< A snapshot was appended to the log service.
  snapshot_adopted, ///< The configuration was loaded from a snapshot.
  snapshot_refused, ///< A snapshot is corrupt, outdated, or contradicts the state held.
  update_refused,   ///< A configuration update from a peer is stale, incomplete or corrupt.
  link_opened,      ///< A control link to a peer was opened.
  link_closed,      ///< A control link to a peer was closed.
  role_changed,     ///< The node's role in the distribution tree, or a proxy's readiness, changed.
  member_changed,   ///< The record of a member changed.
  region_cut,       ///< A partition between regions began or ended.
  pause_detected,   ///< The control thread did not run for some time.
  server_announced, ///< The local backend server changed its state.
  publish,          ///< A publish got its result.
  route,            ///< Routing decision for a request.
  pick,             ///< Choice of a backend server for a request.
  admission,        ///< Admission decision for a request to the local backend server.
  retry,            ///< Decision whether to retry a request.
  hedge,            ///< Decision whether to hedge an idempotent request with a second copy.
  key_decision,     ///< At-most-once decision for an idempotency key.
  ejection,         ///< An edge ejected a backend server from load balancing or took it back.
  request_done,     ///< Outcome of a request.
  input_refused,    ///< Input from outside was malformed or too large.
  alarm,            ///< Something needs the attention of an operator.
  draining,         ///< The node or its backend server stopped accepting new work.
  lines_dropped,    ///< Log lines were dropped by a rate limit.
  server_crashed,   ///< The local backend server crashed while it ran requests.
  suspect_rejected, ///< A request that servers have crashed on is rejected from now on.
  suspect_found,    ///< A request was at work when the local backend server crashed.
  suspect_sent,     ///< A request that servers may have crashed on is sent to the local server.
  suspect_tried,    ///< A request that is rejected is on trial at the local server.
  suspect_cleared,  ///< A server completed a request that is suspected of crashing servers.
  suspect_stored,   ///< A rejected request was stored in the platform's store, or removed from it.
  suspect_restored, ///< Rejected requests were read from the platform's store.
  quota_limited,    ///< A client account asks for more than its quota, or no longer does.
  server_limit,    ///< The local backend server is closed since it rejects requests, or open again.
  zone_spill,      ///< What left for another availability zone lately.
  rollout,         ///< A roll-out began, or its step or state changed.
  rollout_stored,  ///< The state of a roll-out was written to the platform's store, or was not.
  rollout_refused, ///< An operator's order of a roll-out is invalid.
  rollout_standing, ///< What past roll-outs mean for the local server has changed.
};

inline constexpr enum_table<log_event, 50> LOG_EVENT_ROWS = { {
  { log_event::started, "started" },
  { log_event::stopped, "stopped" },
  { log_event::listening, "listening" },
  { log_event::setting_refused, "setting_refused" },
  { log_event::version_in_force, "version_in_force" },
  { log_event::version_fetched, "version_fetched" },
  { log_event::record_judged, "record_judged" },
  { log_event::record_halted, "record_halted" },
  { log_event::log_unreachable, "log_unreachable" },
  { log_event::log_reachable, "log_reachable" },
  { log_event::log_gap, "log_gap" },
  { log_event::snapshot_written, "snapshot_written" },
  { log_event::snapshot_adopted, "snapshot_adopted" },
  { log_event::snapshot_refused, "snapshot_refused" },
  { log_event::update_refused, "update_refused" },
  { log_event::link_opened, "link_opened" },
  { log_event::link_closed, "link_closed" },
  { log_event::role_changed, "role_changed" },
  { log_event::member_changed, "member_changed" },
  { log_event::region_cut, "region_cut" },
  { log_event::pause_detected, "pause_detected" },
  { log_event::server_announced, "server_announced" },
  { log_event::publish, "publish" },
  { log_event::route, "route" },
  { log_event::pick, "pick" },
  { log_event::admission, "admission" },
  { log_event::retry, "retry" },
  { log_event::hedge, "hedge" },
  { log_event::key_decision, "key_decision" },
  { log_event::ejection, "ejection" },
  { log_event::request_done, "request_done" },
  { log_event::input_refused, "input_refused" },
  { log_event::alarm, "alarm" },
  { log_event::draining, "draining" },
  { log_event::lines_dropped, "lines_dropped" },
  { log_event::server_crashed, "server_crashed" },
  { log_event::suspect_rejected, "suspect_rejected" },
  { log_event::suspect_found, "suspect_found" },
  { log_event::suspect_sent, "suspect_sent" },
  { log_event::suspect_tried, "suspect_tried" },
  { log_event::suspect_cleared, "suspect_cleared" },
  { log_event::suspect_stored, "suspect_stored" },
  { log_event::suspect_restored, "suspect_restored" },
  { log_event::quota_limited, "quota_limited" },
  { log_event::server_limit, "server_limit" },
  { log_event::zone_spill, "zone_spill" },
  { log_event::rollout, "rollout" },
  { log_event::rollout_stored, "rollout_stored" },
  { log_event::rollout_refused, "rollout_refused" },
  { log_event::rollout_standing, "rollout_standing" },
} };
static_assert(is_complete(LOG_EVENT_ROWS, log_event::rollout_standing));

/** Returns the name table of log events. */
constexpr const auto&
enum_rows(log_event)
{
  return LOG_EVENT_ROWS;
}

/** A key=value pair of a log line. */
struct log_field
{
  std::string_view key; ///< Name in snake case; a literal, since only a view is stored.
  std::string value;    ///< Any text; format_log_line() quotes and escapes it if needed.

  log_field(std::string_view field_key, std::string_view text)
    : key(field_key)
    , value(text)
  {
  }
  log_field(std::string_view field_key, const char* text)
    : key(field_key)
    , value(text)
  {
  }
  log_field(std::string_view field_key, std::integral auto number)
    : key(field_key)
    , value(std::to_string(number))
  {
  }
};

} // namespace shallotfield
