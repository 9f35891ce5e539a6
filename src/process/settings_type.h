// The settings of a node, and what can be wrong with them.
#pragma once
#include "enum_table.h"

#include <cstdint>
#include <string>
#include <vector>

namespace shallotfield {

/** A host's IP number with a TCP port. */
struct endpoint
{
  std::string host;       ///< IP number.
  std::uint16_t port = 0; ///< TCP port.
  bool operator==(const endpoint&) const = default;
  auto operator<=>(const endpoint&) const = default;
};

/** Why a setting is refused. */
enum class setting_fault
{
  unreadable,   ///< The file can't be read.
  not_json,     ///< The file is not a JSON object.
  unknown_key,  ///< No setting has this name.
  missing,      ///< The setting has no default and is absent.
  wrong_type,   ///< The value has the wrong JSON type.
  out_of_range, ///< The number is below the minimum or above the maximum.
  bad_value,    ///< The text is empty, or is no valid address.
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

/** @return The name table of setting faults. */
constexpr const auto&
enum_rows(setting_fault)
{
  return SETTING_FAULT_ROWS;
}

/** A setting that was refused. */
struct setting_error
{
  std::string key;     ///< The setting's name, or the file's path for faults of the whole file.
  setting_fault fault; ///< What is wrong with it.
  bool operator==(const setting_error&) const = default;
};

/** Everything that a node learns from its settings file. Numbers: see table/settings_table.h. */
struct settings
{
  std::string node_id;                ///< Name of the node, unique in the fleet.
  std::string region;                 ///< Region of the VM.
  std::string zone;                   ///< Availability zone of the VM, unique across regions.
  std::string host;                   ///< IP number that others reach this VM under.
  std::string log_url;                ///< Base URL of the platform's log service.
  std::string operators_token;        ///< Token that changes on the operators' port must carry.
  std::vector<endpoint> seeds;        ///< Control ports of some other nodes.
  std::int64_t callers_port;          ///< Callers' HTTP; 0 lets the system pick.
  std::int64_t traffic_port;          ///< Requests from peers; 0 lets the system pick.
  std::int64_t control_port;          ///< Control links from peers; 0 lets the system pick.
  std::int64_t operators_port;        ///< Operators' HTTP; 0 lets the system pick.
  std::int64_t edge_threads;          ///< Traffic threads that serve callers.
  std::int64_t heartbeat_ms;          ///< Interval of heartbeats on control links.
  std::int64_t gone_after_ms;         ///< Silence after which a member counts as gone.
  std::int64_t log_wait_ms;           ///< How long a read of the log waits for a new record.
  std::int64_t log_timeout_ms;        ///< Timeout of one call to the log service.
  std::int64_t log_retry_ms;          ///< Longest pause between calls to a log that fails.
  std::int64_t publish_timeout_ms;    ///< How long a publish waits for its verdict.
  std::int64_t snapshot_interval_ms;  ///< Longest time between two snapshots.
  std::int64_t snapshot_records;      ///< Most records between two snapshots.
  std::int64_t server_lease_ms;       ///< How long a server's announcement holds.
  std::int64_t body_limit_bytes;      ///< Largest request body.
  std::int64_t stream_window_bytes;   ///< Bytes of an answer in flight on one peer stream.
  std::int64_t queue_limit;           ///< Requests that may wait for a slot of the server.
  std::int64_t bulk_slots_percent;    ///< Share of the slots that bulk work may hold.
  std::int64_t bulk_link_bytes_per_s; ///< Bulk bytes a second sent to another region.
  std::int64_t key_window_ms;         ///< How long request keys and outcomes are remembered.
  std::int64_t settle_ms;             ///< Time in which every node learns of a change of members.
  std::int64_t drain_timeout_ms; ///< Longest wait for open requests at shutdown; 0 is no limit.
};

} // namespace shallotfield
