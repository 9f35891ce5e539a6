// Selects the recipients of a proxy's beacons. Proxies of one availability zone send to each other
// directly. Between zones a few relays per zone forward the beacons, so that the number of beacons
// that cross zones grows linearly with the proxies and not with the number of proxy pairs.
#pragma once
#include "peer_table_base.h"

#include <set>
#include <vector>

namespace shallotfield {

/** Number of relays per zone. Each relay sends to the relay of the same rank in every other zone,
 * so that a beacon still arrives through the other relay if one fails. */
inline constexpr std::size_t RELAYS_PER_ZONE = 2;

/** Beacons to send: every target receives the latest beacon of every listed node. */
struct beacon_batch
{
  std::vector<node_id> targets; ///< Peers that receive the beacons.
  std::vector<node_id> origins; ///< Nodes whose latest beacons are sent.
  bool operator==(const beacon_batch&) const = default;
};

/**
 * Determines the rank of this node among the relays of its zone. Nodes with more processor time
 * rank first; ties are resolved by node id. Returns 0 for the first relay, or no value if this
 * node is not a relay.
 */
std::optional<std::size_t>
relay_rank(const peer_table& peers, const node_beacon& self);

/**
 * Plans the beacons of a regular round. Live peers of the same zone receive this node's beacon in
 * every round. If this node is a relay, they also receive the beacons of all other zones, and one
 * relay in each other zone receives the beacons of this zone, both only in some rounds, depending
 * on the round number. That also holds for the beacons to peers that count as down; peers that were
 * added recently receive one in every round.
 */
std::vector<beacon_batch>
plan_beacon_round(const peer_table& peers,
                  const node_beacon& self,
                  std::uint64_t round,
                  mono_ms now);

/**
 * Plans the beacons to send ahead of the next round, after something new became known about the
 * `changed` nodes, which may include this node. A relay sends the beacons of its zone, including
 * its own, to all relays of the other zones; to the live peers of its zone it sends the beacons of
 * other zones and its own. A proxy that is not a relay sends only its own beacon, within its zone.
 */
std::vector<beacon_batch>
plan_urgent_beacons(const peer_table& peers,
                    const node_beacon& self,
                    const std::set<node_id>& changed);

} // namespace shallotfield
