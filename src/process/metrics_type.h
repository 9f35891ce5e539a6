// The metrics of a node.
#pragma once
#include "enum_table.h"

namespace shallotfield {

/** A counter that only grows. */
enum class counter_id
{
  requests_answered,  ///< Requests whose whole answer went to the caller.
  requests_not_run,   ///< Requests refused as not run.
  requests_unknown,   ///< Requests with an unknown outcome.
  requests_cancelled, ///< Requests whose caller went away.
  retries,            ///< Second and later attempts.
  hedges,             ///< Hedged attempts.
  admitted,           ///< Requests that got a slot of the server.
  refused_at_server,  ///< Requests refused beside the server.
  key_repeats,        ///< Requests answered from a remembered key.
  versions_applied,   ///< Versions that took effect.
  updates_refused,    ///< Updates and snapshots that were refused.
  records_malformed,  ///< Records of the log that can't be read.
  log_reads,          ///< Reads of the log service.
  log_failures,       ///< Calls to the log service that failed.
  snapshots_written,  ///< Snapshots appended.
  control_bytes_sent, ///< Bytes written to control links.
  control_bytes_read, ///< Bytes read from control links.
  region_bytes_sent,  ///< Control bytes written to other regions, the log service included.
  inputs_refused,     ///< Malformed or oversized inputs.
  pauses,             ///< Pauses of the control thread.
};

inline constexpr enum_table<counter_id, 20> COUNTER_ROWS = { {
  { counter_id::requests_answered, "requests_answered" },
  { counter_id::requests_not_run, "requests_not_run" },
  { counter_id::requests_unknown, "requests_unknown" },
  { counter_id::requests_cancelled, "requests_cancelled" },
  { counter_id::retries, "retries" },
  { counter_id::hedges, "hedges" },
  { counter_id::admitted, "admitted" },
  { counter_id::refused_at_server, "refused_at_server" },
  { counter_id::key_repeats, "key_repeats" },
  { counter_id::versions_applied, "versions_applied" },
  { counter_id::updates_refused, "updates_refused" },
  { counter_id::records_malformed, "records_malformed" },
  { counter_id::log_reads, "log_reads" },
  { counter_id::log_failures, "log_failures" },
  { counter_id::snapshots_written, "snapshots_written" },
  { counter_id::control_bytes_sent, "control_bytes_sent" },
  { counter_id::control_bytes_read, "control_bytes_read" },
  { counter_id::region_bytes_sent, "region_bytes_sent" },
  { counter_id::inputs_refused, "inputs_refused" },
  { counter_id::pauses, "pauses" },
} };
static_assert(is_complete(COUNTER_ROWS, counter_id::pauses));

/** @return The name table of counters. */
constexpr const auto&
enum_rows(counter_id)
{
  return COUNTER_ROWS;
}

} // namespace shallotfield
