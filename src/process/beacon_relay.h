// Which beacons a proxy sends to whom: directly within its availability zone, between zones through
// a few relays, so that what crosses zones grows with the zones and not with the proxies' pairs.
#pragma once
#include "peer_table_base.h"

#include <set>
#include <vector>

namespace shallotfield {

/** Relays of each zone; each keeps up a chain of its own, so that one may be lost. */
inline constexpr std::size_t RELAYS_PER_ZONE = 2;

/** Beacons to send: each of the records to each of the targets. */
struct beacon_batch
{
  std::vector<node_id> targets; ///< Peers.
  std::vector<node_id> origins; ///< Nodes whose latest beacons they get.
  bool operator==(const beacon_batch&) const = default;
};

/**
 * Finds a node's place among the relays of its zone. Those with more processor time go first.
 * @param peers The peers.
 * @param self This node.
 * @return 0 for the first; nothing if it is no relay.
 */
std::optional<std::size_t>
relay_rank(const peer_table& peers, const node_beacon& self);

/**
 * Plans a regular round.
 * @param peers The peers.
 * @param self This node.
 * @param round Number of the round.
 * @param now Current time.
 * @return What to send.
 */
std::vector<beacon_batch>
plan_beacon_round(const peer_table& peers,
                  const node_beacon& self,
                  std::uint64_t round,
                  mono_ms now);

/**
 * Plans what to pass on at once.
 * @param peers The peers.
 * @param self This node.
 * @param changed Nodes, this one perhaps included, of which something new became known.
 * @return What to send.
 */
std::vector<beacon_batch>
plan_urgent_beacons(const peer_table& peers,
                    const node_beacon& self,
                    const std::set<node_id>& changed);

} // namespace shallotfield
