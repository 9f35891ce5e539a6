// The table of a node's peers with the latest beacon of each.
#pragma once
#include "beacon_type.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace shallotfield {

/** The state of one peer. */
struct peer_entry
{
  node_beacon beacon;           ///< Latest beacon; until one arrives, only the address is set.
  bool is_alive = false;        ///< A beacon arrived within the liveness timeout.
  mono_ms last_received_at = 0; ///< When the latest beacon arrived or the timeout was restarted.
  mono_ms added_at = 0;         ///< When the peer was added to the table.
  std::deque<std::uint64_t> former_boot_ids; ///< Boot ids of the node's former processes. Beacons
                                             ///< that carry one of them are ignored.
};

/** An immutable copy of the latest beacons of live nodes by id, for the traffic thread. */
using peer_view = std::map<node_id, node_beacon>;
using peer_view_ptr = std::shared_ptr<const peer_view>;

/** How a beacon affected the table. */
enum class beacon_effect
{
  stale,     ///< The beacon was late, repeated or this node's own, and was ignored.
  refreshed, ///< The peer is still alive. At most its load changed.
  changed, ///< The peer came alive, or its process, host, server, configuration version, access to
           ///< the store or intention to leave changed.
};

/** Returns whether a beacon says something about a roll-out that its decider should learn at once.
 */
bool
has_rollout_news(const node_beacon& before, const node_beacon& after);

/** Stores the latest beacon of each peer and decides which peers are alive. */
class peer_table
{
public:
  /** Creates the table of the node `self` in `zone`. A node is never its own peer. */
  peer_table(node_id self, std::string zone)
    : self_(std::move(self))
    , zone_(std::move(zone))
  {
  }

  /**
   * Adds a node whose address is known, for example from the directory. If the node is already in
   * the table, only its host is updated, and only while the node is not alive. Returns whether the
   * node was added.
   */
  bool add_address(const node_beacon& address, mono_ms now);

  /** Stores a received beacon, unless it is stale, and marks its peer as alive. */
  beacon_effect apply_beacon(const node_beacon& beacon, mono_ms now);

  /**
   * Marks peers as down whose liveness timeout has passed, and removes peers that have been down
   * for long. Returns whether any peer was marked as down.
   */
  bool expire(mono_ms now);

  /** Restarts the liveness timeout of all live peers. Called after a pause of this process, during
   * which it could not receive beacons. */
  void restart_liveness_timeout(mono_ms now);

  /** Returns all peers, including those that are down. */
  const std::map<node_id, peer_entry>& peers() const { return peers_; }

  /** Returns a copy of the latest beacons of all live peers. */
  std::shared_ptr<peer_view> build_view() const;

  /** Returns the time between two beacon rounds. It grows with the number of peers in the zone, so
   * that the number of datagrams that a node sends per second is bounded. */
  std::int64_t beacon_interval_ms() const;

  /** Returns the time without a beacon after which `peer` counts as down. It is longer for peers of
   * other zones, because their beacons are forwarded by relays. */
  std::int64_t liveness_timeout_ms(const node_beacon& peer) const;

private:
  node_id self_;                        ///< Id of this node.
  std::string zone_;                    ///< Availability zone of this node.
  std::map<node_id, peer_entry> peers_; ///< Peers by id.
};

} // namespace shallotfield
