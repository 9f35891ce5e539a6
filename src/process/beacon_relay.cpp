// Selection of relays and planning of beacon rounds.
#include "beacon_relay.h"

#include <map>
#include <tuple>

namespace shallotfield {

/** Relays send beacons to other zones in each round whose number is a multiple of this. */
static constexpr std::uint64_t CROSS_ZONE_INTERVAL_ROUNDS = 2;

/** Number of rounds from one forwarding of the other zones' beacons to the next, for the first
 * relay of a zone and for the others. The others only bridge the time until the loss of the first
 * one is noticed, and their beacons arrive well within the liveness timeout of peers of other
 * zones. */
static constexpr std::uint64_t FORWARD_INTERVAL_ROUNDS = 2;
static constexpr std::uint64_t STANDBY_FORWARD_INTERVAL_ROUNDS = 4;

/** Peers that count as down are sent a beacon in each round whose number is a multiple of this. */
static constexpr std::uint64_t DOWN_PEER_INTERVAL_ROUNDS = 4;

/** Time after a peer was added during which it is sent a beacon in every round, even though no
 * beacon from it has arrived yet. */
static constexpr mono_ms NEW_PEER_WINDOW_MS = 2000;

/** Returns the relays of a zone in order of rank, including this node if it is one of them. Nodes
 * that are leaving are not selected. */
static std::vector<node_id>
zone_relays(const peer_table& peers, const node_beacon& self, const std::string& zone)
{
  std::vector<std::tuple<std::int64_t, std::string_view>> ranks;
  const auto add = [&](const node_beacon& node) {
    if (node.zone == zone && !node.is_leaving) {
      ranks.emplace_back(-static_cast<std::int64_t>(node.processor_permille), node.id);
    }
  };
  add(self);
  for (const auto& [id, peer] : peers.peers()) {
    if (peer.is_alive) {
      add(peer.beacon);
    }
  }
  std::sort(ranks.begin(), ranks.end());
  std::vector<node_id> relays;
  for (const auto& [negated_permille, id] : ranks) {
    if (relays.size() < RELAYS_PER_ZONE) {
      relays.emplace_back(id);
    }
  }
  return relays;
}

std::optional<std::size_t>
relay_rank(const peer_table& peers, const node_beacon& self)
{
  const std::vector<node_id> relays = zone_relays(peers, self, self.zone);
  const auto found = std::find(relays.begin(), relays.end(), self.id);
  if (found == relays.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - relays.begin());
}

/**
 * Returns the relays of the other zones. With a rank, these are the relays of this rank, or the
 * last relay of a zone that has fewer; without a rank, all relays.
 */
static std::vector<node_id>
remote_zone_relays(const peer_table& peers,
                   const node_beacon& self,
                   std::optional<std::size_t> rank)
{
  std::set<std::string> zones;
  for (const auto& [id, peer] : peers.peers()) {
    if (peer.is_alive && peer.beacon.zone != self.zone) {
      zones.insert(peer.beacon.zone);
    }
  }
  std::vector<node_id> targets;
  for (const std::string& zone : zones) {
    const std::vector<node_id> relays = zone_relays(peers, self, zone);
    if (!rank) {
      targets.insert(targets.end(), relays.begin(), relays.end());
    } else if (!relays.empty()) {
      targets.push_back(relays[std::min(*rank, relays.size() - 1)]);
    }
  }
  return targets;
}

std::vector<beacon_batch>
plan_beacon_round(const peer_table& peers,
                  const node_beacon& self,
                  std::uint64_t round,
                  mono_ms now)
{
  const std::optional<std::size_t> rank = relay_rank(peers, self);
  const std::uint64_t forward_interval =
    rank == 0U ? FORWARD_INTERVAL_ROUNDS : STANDBY_FORWARD_INTERVAL_ROUNDS;
  const bool forwards = rank && round % forward_interval == 1;
  beacon_batch same_zone_batch{ {}, { self.id } };
  beacon_batch cross_zone_batch{ {}, { self.id } };
  beacon_batch down_peers_batch{ {}, { self.id } };
  bool has_remote_zones = false;
  for (const auto& [id, peer] : peers.peers()) {
    const bool is_same_zone = peer.beacon.zone == self.zone;
    const bool is_new = now - peer.added_at < NEW_PEER_WINDOW_MS;
    if (!peer.is_alive) {
      // Except to new peers, only relays send to other zones.
      if (is_new || (round % DOWN_PEER_INTERVAL_ROUNDS == 0 && (is_same_zone || rank))) {
        down_peers_batch.targets.push_back(id);
      }
    } else if (is_same_zone) {
      same_zone_batch.targets.push_back(id);
      cross_zone_batch.origins.push_back(id);
    } else {
      has_remote_zones = true;
      if (forwards) {
        same_zone_batch.origins.push_back(id);
      }
    }
  }
  std::vector<beacon_batch> plan;
  if (rank && has_remote_zones && round % CROSS_ZONE_INTERVAL_ROUNDS == 0) {
    cross_zone_batch.targets = remote_zone_relays(peers, self, rank);
  }
  for (beacon_batch* batch : { &same_zone_batch, &cross_zone_batch, &down_peers_batch }) {
    if (!batch->targets.empty()) {
      plan.push_back(std::move(*batch));
    }
  }
  return plan;
}

std::vector<beacon_batch>
plan_urgent_beacons(const peer_table& peers,
                    const node_beacon& self,
                    const std::set<node_id>& changed)
{
  const std::optional<std::size_t> rank = relay_rank(peers, self);
  beacon_batch same_zone_batch;
  beacon_batch cross_zone_batch;
  if (changed.contains(self.id)) {
    same_zone_batch.origins.push_back(self.id);
    cross_zone_batch.origins.push_back(self.id);
  }
  for (const node_id& id : changed) {
    const auto found = peers.peers().find(id);
    if (found != peers.peers().end()) {
      const bool is_same_zone = found->second.beacon.zone == self.zone;
      (is_same_zone ? cross_zone_batch : same_zone_batch).origins.push_back(id);
    }
  }
  // Only relays forward beacons of other nodes and send to other zones.
  if (!rank) {
    std::erase_if(same_zone_batch.origins, [&self](const node_id& id) { return id != self.id; });
    cross_zone_batch.origins.clear();
  }
  std::vector<beacon_batch> plan;
  if (!same_zone_batch.origins.empty()) {
    for (const auto& [id, peer] : peers.peers()) {
      if (peer.is_alive && peer.beacon.zone == self.zone) {
        same_zone_batch.targets.push_back(id);
      }
    }
  }
  if (!cross_zone_batch.origins.empty()) {
    cross_zone_batch.targets = remote_zone_relays(peers, self, std::nullopt);
  }
  for (beacon_batch* batch : { &same_zone_batch, &cross_zone_batch }) {
    if (!batch->targets.empty()) {
      plan.push_back(std::move(*batch));
    }
  }
  return plan;
}

} // namespace shallotfield
