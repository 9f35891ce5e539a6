// Member records: what every node knows about the other nodes and their backend servers.
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

using node_id = std::string;    ///< Unique name of a node.
using service_id = std::string; ///< Name of a service.

/** Lifecycle state of a node in the fleet. */
enum class member_state
{
  alive,    ///< Running and accepting work.
  draining, ///< Shutting down: completes its open requests and accepts no new ones.
  left,     ///< Shut down gracefully, as announced by the node itself. Kept as a tombstone.
  gone,     ///< Declared dead by another node after a long silence. Kept as a tombstone.
};

inline constexpr enum_table<member_state, 4> MEMBER_STATE_ROWS = { {
  { member_state::alive, "alive" },
  { member_state::draining, "draining" },
  { member_state::left, "left" },
  { member_state::gone, "gone" },
} };
static_assert(is_complete(MEMBER_STATE_ROWS, member_state::gone));

/** Returns the name table of member states. */
constexpr const auto&
enum_rows(member_state)
{
  return MEMBER_STATE_ROWS;
}

/** State of the backend server on the VM of a node. */
enum class server_state
{
  none,     ///< No server has announced itself, or the lease of its announcement expired.
  cold,     ///< Warming up; it gets a growing share of the work.
  ready,    ///< Accepts work.
  draining, ///< Shutting down; it gets no new work.
};

inline constexpr enum_table<server_state, 4> SERVER_STATE_ROWS = { {
  { server_state::none, "none" },
  { server_state::cold, "cold" },
  { server_state::ready, "ready" },
  { server_state::draining, "draining" },
} };
static_assert(is_complete(SERVER_STATE_ROWS, server_state::draining));

/** Returns the name table of server states. */
constexpr const auto&
enum_rows(server_state)
{
  return SERVER_STATE_ROWS;
}

/** What a backend server announces about itself. */
struct server_info
{
  service_id service;                      ///< Service that the server implements.
  std::uint32_t slots = 0;                 ///< Number of requests that it can run concurrently.
  server_state state = server_state::none; ///< Readiness of the server.
  bool operator==(const server_info&) const = default;
};

/**
 * State of one node, as last published by the node itself, except that other nodes may set the
 * state to `gone`. Records of the same node are ordered by (incarnation, sequence); between equal
 * ones `gone` is the newer.
 */
struct member_record
{
  node_id id;                    ///< Node that the record describes.
  std::uint64_t incarnation = 0; ///< Start of the process in Unix ms; grows with each restart.
  std::uint64_t sequence = 0;    ///< Incremented by the node with each change of its record.
  member_state state = member_state::gone; ///< Lifecycle state of the node.
  std::string region;                      ///< Region of the VM.
  std::string zone;                        ///< Availability zone of the VM.
  endpoint control;                        ///< Address that accepts control links.
  std::uint16_t traffic_port = 0; ///< Port on the same host that accepts requests from peers.
  server_info server;             ///< Backend server on the VM of the node.
  bool operator==(const member_record&) const = default;
};

/** The live and the former servers of one service. */
struct service_members
{
  std::vector<const member_record*> servers; ///< Nodes with a live server, ordered by id.
  std::map<node_id, unix_ms> stopped_at; ///< When each former server was first seen not to be live.
  std::map<node_id, unix_ms> live_since; ///< When each live server was first seen live.
};

/**
 * Immutable snapshot of the fleet for the traffic threads; a change replaces the whole snapshot.
 */
struct member_view
{
  std::map<node_id, member_record> members;       ///< Records of all nodes, including tombstones.
  std::map<service_id, service_members> services; ///< Servers by service.

  /**
   * The home of an idempotency key is the server that runs the requests with the key. While a
   * region is unreachable, a server that went live at this time or later can't be a home, as the
   * unreachable region may not know the server and use another home. INT64_MAX: all regions are
   * reachable.
   */
  unix_ms home_eligible_before = INT64_MAX;

  /**
   * Earliest possible start of the latest network partition between regions; it is kept after the
   * end of the partition. INT64_MAX: there was none.
   */
  unix_ms earliest_partition_start = INT64_MAX;

  unix_ms healed_at = 0; ///< End of the latest partition; 0: none has ended.
};

using member_view_ptr = std::shared_ptr<const member_view>;

} // namespace shallotfield
