// The counters of a process.
#pragma once
#include "enum_table.h"

namespace shallotfield {

/** A counter. Its name is part of the name of the metric. */
enum class counter_id
{
  requests_answered,  ///< Requests whose complete response went to the caller.
  requests_not_run,   ///< Failed requests that no server ran.
  requests_unknown,   ///< Failed requests that a server ran or may have run.
  requests_cancelled, ///< Requests whose caller disconnected.
  retries,            ///< Further attempts after a failed one.
  hedges,             ///< Further attempts sent while an earlier one was still open.
  admitted,           ///< Requests that got a slot of the local backend server.
  refused_at_server,  ///< Requests to the local backend server that admission rejected.
  refused_over_share, ///< Those whose client account was beyond its share of the slots.
  uploads_refused,    ///< Uploads that were refused before their body was sent here.
  key_repeats,        ///< Requests answered with the stored response of their idempotency key.
  versions_applied,   ///< Configuration versions that came into force.
  updates_refused,    ///< Configuration updates and snapshots that were rejected.
  records_malformed,  ///< Records of the log service that could not be parsed.
  log_reads,          ///< Reads from the log service.
  log_failures,       ///< Failed calls to the log service.
  snapshots_written,  ///< Snapshots appended to the log service.
  control_bytes_sent, ///< Bytes sent on control links.
  control_bytes_read, ///< Bytes received on control links.
  region_bytes_sent,  ///< Bytes sent on control links to other regions.
  inputs_refused,     ///< Inputs rejected as malformed or too large.
  pauses,             ///< Times that the control thread did not run for some time.
  unexpected_errors,  ///< Exceptions that ended the handling of an event.
  server_crashes,     ///< Crashes of the local backend server while it ran requests.
  suspects_rejected,  ///< Requests rejected because servers have crashed on them.
  suspects_found,     ///< Digests of requests at work at crashes of the local backend server.
  suspects_tried,     ///< Trials of rejected requests at the local backend server.
  suspects_cleared,   ///< Suspected digests of which the local backend server completed a request.
  suspects_stored,    ///< Calls to the platform's store about rejected requests.
  requests_without_memory, ///< Requests of callers refused since there was no memory for them.
  callers_gave_way, ///< Callers' connections that stalled and returned their memory to others.
  callers_closed,   ///< Callers' connections closed since there were too many.
  responses_without_memory, ///< Responses of the server for which there was no memory.
  peer_bodies_dropped,      ///< Bodies from other proxies for which there was no memory.
  quota_asked,              ///< Requests of client accounts with a quota.
  quota_returned,           ///< Admitted ones of them that never ran, and no longer count.
  quota_refused,            ///< Requests refused because their client account used up its quota.
  quota_datagrams,          ///< Datagrams about quotas sent to other proxies.
  server_closings,  ///< Times that the local server got no requests because it rejected most.
  sent_to_zones,    ///< Attempts sent to servers in other zones of the region.
  sent_to_regions,  ///< Attempts sent to servers in other regions.
  bytes_to_zones,   ///< Expected bytes of these attempts and their responses; with zone_spill.
  bytes_to_regions, ///< Expected bytes of those to other regions; with zone_spill.
  rollout_refusals, ///< Requests that the limits of a roll-out kept from the local server.
  rollouts_refused, ///< Orders of roll-outs that are invalid.
  rollout_steps,    ///< Changes of the step or state of a roll-out that this node decided.
};

inline constexpr enum_table<counter_id, 46> COUNTER_ROWS = { {
  { counter_id::requests_answered, "requests_answered" },
  { counter_id::requests_not_run, "requests_not_run" },
  { counter_id::requests_unknown, "requests_unknown" },
  { counter_id::requests_cancelled, "requests_cancelled" },
  { counter_id::retries, "retries" },
  { counter_id::hedges, "hedges" },
  { counter_id::admitted, "admitted" },
  { counter_id::refused_at_server, "refused_at_server" },
  { counter_id::refused_over_share, "refused_over_share" },
  { counter_id::uploads_refused, "uploads_refused" },
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
  { counter_id::unexpected_errors, "unexpected_errors" },
  { counter_id::server_crashes, "server_crashes" },
  { counter_id::suspects_rejected, "suspects_rejected" },
  { counter_id::suspects_found, "suspects_found" },
  { counter_id::suspects_tried, "suspects_tried" },
  { counter_id::suspects_cleared, "suspects_cleared" },
  { counter_id::suspects_stored, "suspects_stored" },
  { counter_id::requests_without_memory, "requests_without_memory" },
  { counter_id::callers_gave_way, "callers_gave_way" },
  { counter_id::callers_closed, "callers_closed" },
  { counter_id::responses_without_memory, "responses_without_memory" },
  { counter_id::peer_bodies_dropped, "peer_bodies_dropped" },
  { counter_id::quota_asked, "quota_asked" },
  { counter_id::quota_returned, "quota_returned" },
  { counter_id::quota_refused, "quota_refused" },
  { counter_id::quota_datagrams, "quota_datagrams" },
  { counter_id::server_closings, "server_closings" },
  { counter_id::sent_to_zones, "sent_to_zones" },
  { counter_id::sent_to_regions, "sent_to_regions" },
  { counter_id::bytes_to_zones, "bytes_to_zones" },
  { counter_id::bytes_to_regions, "bytes_to_regions" },
  { counter_id::rollout_refusals, "rollout_refusals" },
  { counter_id::rollouts_refused, "rollouts_refused" },
  { counter_id::rollout_steps, "rollout_steps" },
} };
static_assert(is_complete(COUNTER_ROWS, counter_id::rollout_steps));

/** Returns the name table of counters. */
constexpr const auto&
enum_rows(counter_id)
{
  return COUNTER_ROWS;
}

} // namespace shallotfield
