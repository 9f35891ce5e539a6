// The beacon: the status of a node and of its local backend server, as the node sends it to peers.
#pragma once
#include "rollout_type.h"

#include <cstdint>
#include <string>

namespace shallotfield {

/** The status of a node's local backend server, as far as peers need it to select a server. */
struct server_status
{
  service_id service;                      ///< Service that the server provides.
  std::string instance;                    ///< Instance id of the server; empty if none is known.
  std::uint32_t slots = 0;                 ///< Requests that the server processes concurrently.
  server_state state = server_state::none; ///< Whether the server accepts requests.
  std::string version = {};                ///< Version of its software; empty if unknown.
  server_standing standing = server_standing::none; ///< What roll-outs mean for it.
  bool operator==(const server_status&) const = default;
};

/** The status of a node, which it sends to its peers by datagram at regular intervals and after
 * each change. Relays forward it to other zones. */
struct node_beacon
{
  node_id id;                             ///< Node that the beacon describes.
  std::uint64_t boot_id = 0;              ///< Identifier of the node's process, higher for later
                                          ///< processes; 0: unknown.
  std::uint64_t sequence = 0;             ///< Increases with each beacon of the same process.
  std::string region;                     ///< Region of the node.
  std::string zone;                       ///< Availability zone of the node.
  std::string host;                       ///< IP address of the node.
  std::uint32_t processor_permille = 0;   ///< CPU share of the process, in thousandths of a core.
  server_status server;                   ///< Local backend server of the node.
  std::uint32_t running = 0;              ///< Requests that occupy a slot of the server.
  std::uint32_t waiting = 0;              ///< Requests that are queued for a slot.
  std::uint32_t slowness_permille = 1000; ///< Service time of the server, in thousandths of the
                                          ///< fleet's average for the same kinds of requests.
  std::uint64_t config_version = 0;       ///< Configuration version in force; 0: none.
  bool is_store_reachable = false;        ///< Whether the latest call to the store succeeded.
  bool is_leaving = false;                ///< Whether the node's process is about to end.
  std::uint32_t bulk_wait_ms = 0;         ///< Time for which the response to a download waits until
                                          ///< the link of the VM can carry it.
  rollout_evidence rollout = {};          ///< What its server did in the roll-out of its service.
  bool operator==(const node_beacon&) const = default;
};

} // namespace shallotfield
