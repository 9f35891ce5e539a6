// The events that are logged, and the fields of a line.
#pragma once
#include "enum_table.h"

#include <concepts>
#include <string>
#include <string_view>

namespace shallotfield {

/** The kind of a log line; its name is the value of `event=`. */
enum class log_event
{
  started,          ///< The process serves.
  stopped,          ///< The process ends.
  listening,        ///< A port is open.
  setting_refused,  ///< A setting is wrong; nothing was started.
  version_in_force, ///< A configuration version took effect.
  version_fetched,  ///< A peer sent a configuration version.
  record_judged,    ///< A record of the log got its verdict.
  record_halted,    ///< A record's format is newer than this build; reading stops there.
  log_unreachable,  ///< The log service does not answer.
  log_reachable,    ///< The log service answers again.
  log_gap,          ///< The log no longer holds the next record.
  snapshot_written, ///< A snapshot was appended to the log.
  snapshot_adopted, ///< State was taken over from a snapshot.
  snapshot_refused, ///< A snapshot is damaged, older than the floor, or contradicts.
  update_refused,   ///< A peer's configuration update is stale, gapped or corrupt.
  link_opened,      ///< A control link to a peer is open.
  link_closed,      ///< A control link to a peer closed.
  role_changed,     ///< The node's duties in the distribution tree changed.
  member_changed,   ///< A member record changed.
  region_cut,       ///< The regions lost each other, or found each other again.
  pause_detected,   ///< The control thread was not run for some time.
  server_announced, ///< The backend server beside the node changed its state.
  publish,          ///< An operator's publish was answered.
  route,            ///< The routing decision for a request.
  pick,             ///< The choice of a backend server for a request.
  admission,        ///< The admission decision beside a backend server.
  retry,            ///< The decision to try a request again, or not to.
  hedge,            ///< The decision to send a second copy of an idempotent request.
  key_decision,     ///< The at-most-once decision for a request key.
  ejection,         ///< A backend server is left out, or taken back, by a caller's edge.
  request_done,     ///< The outcome of a request.
  input_refused,    ///< Malformed or oversized input from the wire.
  alarm,            ///< Something that an operator has to look at.
  draining,         ///< The node or its backend server stops taking new work.
  lines_dropped,    ///< Log lines were left out to bound the volume.
};

inline constexpr enum_table<log_event, 35> LOG_EVENT_ROWS = { {
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
} };
static_assert(is_complete(LOG_EVENT_ROWS, log_event::lines_dropped));

/** @return The name table of log events. */
constexpr const auto&
enum_rows(log_event)
{
  return LOG_EVENT_ROWS;
}

/** One key and its value on a log line. */
struct log_field
{
  std::string_view key; ///< A word in lower case.
  std::string value;    ///< Any text; it is escaped when the line is written.

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
