// What the fleet knows of one node and of the backend server beside it.
#pragma once
#include "clock_type.h"
#include "enum_table.h"
#include "settings_type.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace shallotfield {

using node_id = std::string;    ///< Name of a node.
using service_id = std::string; ///< Name of a service.

/** Whether a node takes part. */
enum class member_state
{
  alive,    ///< Serves.
  draining, ///< Finishes what it has; takes no new work.
  left,     ///< Ended on purpose, by its own word. Kept as a tombstone.
  gone,     ///< Silent for too long, by another's word. Kept as a tombstone.
};

inline constexpr enum_table<member_state, 4> MEMBER_STATE_ROWS = { {
  { member_state::alive, "alive" },
  { member_state::draining, "draining" },
  { member_state::left, "left" },
  { member_state::gone, "gone" },
} };
static_assert(is_complete(MEMBER_STATE_ROWS, member_state::gone));

/** @return The name table of member states. */
constexpr const auto&
enum_rows(member_state)
{
  return MEMBER_STATE_ROWS;
}

/** The state of the backend server beside a node. */
enum class server_state
{
  none,     ///< No server announced itself, or its lease ran out.
  cold,     ///< It starts; it takes a share of work that grows.
  ready,    ///< It takes work.
  draining, ///< It is leaving: no new work.
};

inline constexpr enum_table<server_state, 4> SERVER_STATE_ROWS = { {
  { server_state::none, "none" },
  { server_state::cold, "cold" },
  { server_state::ready, "ready" },
  { server_state::draining, "draining" },
} };
static_assert(is_complete(SERVER_STATE_ROWS, server_state::draining));

/** @return The name table of server states. */
constexpr const auto&
enum_rows(server_state)
{
  return SERVER_STATE_ROWS;
}

/** What a backend server says of itself. */
struct server_info
{
  service_id service;                      ///< The service that it runs.
  std::uint32_t slots = 0;                 ///< Requests that it runs at once.
  server_state state = server_state::none; ///< Its state.
  bool operator==(const server_info&) const = default;
};

/**
 * One node, as its owner published it last. Records of one node are ordered by (incarnation,
 * sequence); at a tie, `gone` comes after the other states.
 */
struct member_record
{
  node_id id;                              ///< The node.
  std::uint64_t incarnation = 0;           ///< Unix ms at which the process started.
  std::uint64_t sequence = 0;              ///< Grows with each change by the owner.
  member_state state = member_state::gone; ///< Whether it takes part.
  std::string region;                      ///< Region of the VM.
  std::string zone;                        ///< Availability zone of the VM.
  endpoint control;                        ///< Where control links connect to.
  std::uint16_t traffic_port = 0;          ///< Where requests from peers connect to; same host.
  server_info server;                      ///< The backend server beside it.
  bool operator==(const member_record&) const = default;
};

/** The servers of one service, live and former. */
struct service_members
{
  std::vector<const member_record*> servers; ///< Nodes beside live servers, ordered by id.
  std::map<node_id, unix_ms> stopped_at;     ///< Former servers, and when they were seen to stop.
  std::map<node_id, unix_ms> live_since;     ///< When each server was first seen live.
};

/** An immutable picture of the fleet, swapped whole. */
struct member_view
{
  std::map<node_id, member_record> members;       ///< All records, tombstones included.
  std::map<service_id, service_members> services; ///< Servers that may be asked, by service.
  unix_ms home_eligible_before =
    INT64_MAX; ///< While a region is cut off: servers that are live since
               ///< then or later are no homes of keys, as it may not know.
  unix_ms earliest_partition_start =
    INT64_MAX;           ///< home_eligible_before of the latest cut, also after its end.
  unix_ms healed_at = 0; ///< End of the latest cut.
};

using member_view_ptr = std::shared_ptr<const member_view>;

} // namespace shallotfield
