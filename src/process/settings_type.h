// The settings of a node, and the faults that parsing them can find.
#pragma once
#include "bounded_json.h"
#include "enum_table.h"

#include <cstdint>
#include <string>
#include <vector>

namespace shallotfield {

/** An IP address and a TCP port. */
struct endpoint
{
  std::string host;       ///< IP address as text.
  std::uint16_t port = 0; ///< TCP port.
  bool operator==(const endpoint&) const = default;
  auto operator<=>(const endpoint&) const = default;
};

/** Limits for the text of a settings file. */
inline constexpr json_limits SETTINGS_LIMITS = { 1U << 20U, 16 };

/** Why a setting was rejected. */
enum class setting_fault
{
  unreadable,   ///< The settings file can't be opened.
  not_json,     ///< The file is not a JSON object.
  unknown_key,  ///< There is no setting with this name.
  missing,      ///< A required setting is absent.
  wrong_type,   ///< The value has the wrong JSON type.
  out_of_range, ///< The number is below the minimum or above the maximum.
  bad_value,    ///< The value is empty or invalid, or the port can't be opened.
};

inline constexpr enum_table<setting_fault, 7> SETTING_FAULT_ROWS = { {
  { setting_fault::unreadable, "unreadable" },
  { setting_fault::not_json, "not_json" },
  { setting_fault::unknown_key, "unknown_key" },
  { setting_fault::missing, "missing" },
  { setting_fault::wrong_type, "wrong_type" },
  { setting_fault::out_of_range, "out_of_range" },
  { setting_fault::bad_value, "bad_value" },
} };
static_assert(is_complete(SETTING_FAULT_ROWS, setting_fault::bad_value));

/** Returns the name table of setting faults. */
constexpr const auto&
enum_rows(setting_fault)
{
  return SETTING_FAULT_ROWS;
}

/** A setting that was rejected. */
struct setting_error
{
  /** Name of the setting; the path of an unreadable file; empty if the file is no JSON object. */
  std::string key;
  setting_fault fault; ///< What is wrong with it.
  bool operator==(const setting_error&) const = default;
};

/**
 * The settings of a node. Texts are required; defaults and limits of the numbers are in
 * table/settings_table.h.
 */
struct settings
{
  std::string node_id;         ///< Name of the node; unique in the fleet.
  std::string region;          ///< Region of the VM.
  std::string zone;            ///< Availability zone of the VM; its name is unique across regions.
  std::string host;            ///< IP address under which other VMs reach this one.
  std::string log_url;         ///< Base URL of the platform's log service; http only.
  std::string operators_token; ///< Bearer token required for changes on the operators' port.
  std::vector<endpoint> seeds; ///< Control ports of nodes through which to join the fleet.
  std::int64_t callers_port;   ///< Port for callers' HTTP requests; 0 lets the system choose.
  std::int64_t traffic_port;   ///< Port for requests from other nodes; 0 lets the system choose.
  std::int64_t control_port;   ///< Port for control links; 0 lets the system choose.
  std::int64_t operators_port; ///< Port for operators' HTTP requests; 0 lets the system choose.
  std::int64_t edge_threads;   ///< Number of edge threads, which serve callers.
  std::int64_t heartbeat_ms;   ///< Interval between heartbeats on control links.
  std::int64_t gone_after_ms;  ///< Silence after which a member is considered gone.
  std::int64_t log_wait_ms;    ///< How long a read from the log service waits for a new record.
  std::int64_t log_timeout_ms; ///< Time limit of a call to the log service, on top of that wait.
  std::int64_t log_retry_ms;   ///< Largest backoff while calls to the log service fail.
  std::int64_t publish_timeout_ms;    ///< How long a publish may stay without a verdict.
  std::int64_t snapshot_interval_ms;  ///< Longest time between two snapshots in the log service.
  std::int64_t snapshot_records;      ///< Largest number of records between two snapshots.
  std::int64_t server_lease_ms;       ///< How long an announcement of the backend server is valid.
  std::int64_t body_limit_bytes;      ///< Largest accepted request body.
  std::int64_t stream_window_bytes;   ///< Flow control window of a response between two nodes.
  std::int64_t queue_limit;           ///< Requests of each work class that may wait for a slot.
  std::int64_t bulk_slots_percent;    ///< Share of the slots that bulk requests may occupy.
  std::int64_t bulk_link_bytes_per_s; ///< Rate limit of bulk response bytes sent to other regions.
  std::int64_t key_window_ms;    ///< How long idempotency keys and their outcomes are remembered.
  std::int64_t settle_ms;        ///< Time within which every node learns of a membership change.
  std::int64_t drain_timeout_ms; ///< Longest wait for open requests at shutdown; 0 means no limit.
};

} // namespace shallotfield
