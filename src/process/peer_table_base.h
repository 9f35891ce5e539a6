// The peers of a node, by what their beacons said last.
#pragma once
#include "beacon_type.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace shallotfield {

/** One peer. */
struct peer_entry
{
  node_beacon beacon;           ///< Latest beacon; only the address is set before the first.
  bool is_alive = false;        ///< A beacon arrived lately.
  mono_ms last_received_at = 0; ///< When the latest beacon arrived.
  mono_ms added_at = 0;         ///< When the peer was first heard of.
  std::deque<std::uint64_t>
    former_boot_ids; ///< Former processes of the node, whose beacons are too late.
};

/** The peers at one moment; traffic threads read it. */
using peer_view = std::map<node_id, node_beacon>;
using peer_view_ptr = std::shared_ptr<const peer_view>;

/** Result of a beacon. */
enum class beacon_effect
{
  stale,     ///< Late or repeated: nothing changed.
  refreshed, ///< The peer still lives; load figures may differ.
  changed,   ///< The peer, its process, its server or its configuration changed.
};

/** Keeps the latest beacon of each peer and decides which of them live. */
class peer_table
{
public:
  /** @param self This node, which is never its own peer. @param zone Its availability zone. */
  peer_table(node_id self, std::string zone)
    : self_(std::move(self))
    , zone_(std::move(zone))
  {
  }

  /** Adds a node whose address is known from elsewhere. @return Whether it was new. */
  bool add_address(const node_beacon& address, mono_ms now);

  /** Takes a beacon. @param beacon The beacon. @param now Current time. @return Its effect. */
  beacon_effect apply_beacon(const node_beacon& beacon, mono_ms now);

  /**
   * Marks peers that fell silent.
   * @param now Current time.
   * @return Whether any peer changed.
   */
  bool expire(mono_ms now);

  /** Forgets silence that passed while this process did not run. @param now Current time. */
  void restart_liveness_timeout(mono_ms now);

  /** @return All peers. */
  const std::map<node_id, peer_entry>& peers() const { return peers_; }

  /** @return The peers that live, for the traffic threads. */
  peer_view_ptr view() const;

  /** @return Time between two beacons; grows with the peers in the zone, so that a node's cost
   * doesn't. */
  std::int64_t beacon_interval_ms() const;

  /** @param peer A peer. @return Silence after which it counts as gone; longer for those of other
   * zones, whose beacons come through relays. */
  std::int64_t liveness_timeout_ms(const node_beacon& peer) const;

private:
  node_id self_;                        ///< This node.
  std::string zone_;                    ///< Its availability zone.
  std::map<node_id, peer_entry> peers_; ///< By name.
};

} // namespace shallotfield
