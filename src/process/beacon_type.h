// What a node tells its peers about itself and the backend server beside it.
#pragma once
#include "member_type.h"

#include <cstdint>
#include <string>

namespace shallotfield {

/** The backend server beside a node, as peers need to know it. */
struct server_status
{
  service_id service;                      ///< The service that it runs.
  std::string instance;                    ///< Id of the server's incarnation.
  std::uint32_t slots = 0;                 ///< Requests that it runs at once.
  server_state state = server_state::none; ///< Its state.
  bool operator==(const server_status&) const = default;
};

/** A datagram that each node sends to its peers, at an interval and on each change. */
struct node_beacon
{
  node_id id;                             ///< Sender.
  std::uint64_t boot_id = 0;              ///< Random number of the sender's process.
  std::uint64_t sequence = 0;             ///< Grows with each beacon of one process.
  std::string region;                     ///< Region of the sender.
  std::string zone;                       ///< Availability zone of the sender.
  std::string host;                       ///< IP number of the sender.
  std::uint32_t processor_permille = 0;   ///< Thousandths of a core that it may use.
  server_status server;                   ///< The server beside it.
  std::uint32_t running = 0;              ///< Requests on the server's slots.
  std::uint32_t waiting = 0;              ///< Requests that wait for a slot.
  std::uint32_t slowness_permille = 1000; ///< Time that requests take on a slot of the server, in
                                          ///< thousandths of what is usual.
  std::uint64_t config_version = 0;       ///< Configuration in force at the sender; 0: none.
  bool is_store_reachable = false;        ///< Its latest call to the store succeeded.
  bool is_leaving = false;                ///< The sender's process is about to end.
  bool operator==(const node_beacon&) const = default;
};

} // namespace shallotfield
