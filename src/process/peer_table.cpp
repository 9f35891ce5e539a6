// Liveness of peers, determined from their beacons.
#include "peer_table_base.h"

namespace shallotfield {

/** Minimum time between two beacon rounds. With 2 rounds per second, a change of a server soon
 * becomes known even if the beacon that first announced it was lost. */
static constexpr std::int64_t BEACON_INTERVAL_MIN_MS = 500;

/** The time between two beacon rounds is at least this value times the number of peers of the zone.
 * This limits the rounds of a node that is not a relay to about 80 datagrams per second. */
static constexpr std::int64_t BEACON_INTERVAL_MS_PER_PEER = 12;

/** Number of consecutive beacons from a peer of the same zone that fail to arrive before the peer
 * counts as down. */
static constexpr std::int64_t DOWN_AFTER_MISSED_BEACONS = 3;

/** The same number for peers of other zones. It is higher because the beacons are forwarded by two
 * relays, which together delay them by up to three intervals. */
static constexpr std::int64_t REMOTE_ZONE_DOWN_AFTER_MISSED_BEACONS = 7;

/** Number of former processes per node whose boot ids are stored in order to recognise late
 * beacons. */
static constexpr std::size_t FORMER_BOOT_IDS_MAX = 4;

/** Time without a beacon after which a peer is removed from the table. The peer can be found again
 * through the directory. */
static constexpr mono_ms PEER_RETENTION_MS = 600'000;

bool
peer_table::add_address(const node_beacon& address, mono_ms now)
{
  if (address.id == self_) {
    return false;
  }
  auto [found, is_new] = peers_.try_emplace(address.id);
  peer_entry& peer = found->second;
  if (is_new) {
    peer.beacon.id = address.id;
    peer.beacon.region = address.region;
    peer.beacon.zone = address.zone;
    peer.beacon.host = address.host;
    peer.added_at = now;
  } else if (!peer.is_alive) {
    peer.beacon.host = address.host;
  }
  return is_new;
}

bool
has_rollout_news(const node_beacon& before, const node_beacon& after)
{
  if (after.rollout.order == 0) {
    return false;
  }
  const auto is_idle = [](const node_beacon& node) { return node.running + node.waiting == 0; };
  const bool has_ended =
    after.rollout.step == rollout_step::full && is_idle(before) != is_idle(after);
  return before.rollout.order != after.rollout.order || before.rollout.step != after.rollout.step ||
         before.rollout.failed != after.rollout.failed || has_ended;
}

beacon_effect
peer_table::apply_beacon(const node_beacon& beacon, mono_ms now)
{
  if (beacon.id == self_) {
    return beacon_effect::stale;
  }
  add_address(beacon, now);
  peer_entry& peer = peers_.at(beacon.id);
  const auto& former_boot_ids = peer.former_boot_ids;
  if (std::find(former_boot_ids.begin(), former_boot_ids.end(), beacon.boot_id) !=
      former_boot_ids.end()) {
    return beacon_effect::stale;
  }
  const bool is_same_process = peer.beacon.boot_id == beacon.boot_id;
  if (is_same_process && beacon.sequence <= peer.beacon.sequence) {
    return beacon_effect::stale;
  }
  // A relay that was cut off may still forward beacons of a former process. A live process is only
  // replaced by a later one.
  if (!is_same_process && peer.is_alive && beacon.boot_id < peer.beacon.boot_id) {
    return beacon_effect::stale;
  }
  if (!is_same_process && peer.beacon.boot_id != 0) {
    peer.former_boot_ids.push_back(peer.beacon.boot_id);
    if (peer.former_boot_ids.size() > FORMER_BOOT_IDS_MAX) {
      peer.former_boot_ids.pop_front();
    }
  }
  const node_beacon& known = peer.beacon;
  const bool has_changed = !peer.is_alive || !is_same_process || known.server != beacon.server ||
                           known.host != beacon.host || known.is_leaving != beacon.is_leaving ||
                           known.config_version != beacon.config_version ||
                           known.is_store_reachable != beacon.is_store_reachable ||
                           has_rollout_news(known, beacon);
  peer.beacon = beacon;
  peer.is_alive = true;
  peer.last_received_at = now;
  return has_changed ? beacon_effect::changed : beacon_effect::refreshed;
}

bool
peer_table::expire(mono_ms now)
{
  bool has_changed = false;
  for (auto& [id, peer] : peers_) {
    if (peer.is_alive && now - peer.last_received_at > liveness_timeout_ms(peer.beacon)) {
      peer.is_alive = false;
      has_changed = true;
    }
  }
  std::erase_if(peers_, [now](const auto& item) {
    const peer_entry& peer = item.second;
    return !peer.is_alive &&
           now - std::max(peer.last_received_at, peer.added_at) > PEER_RETENTION_MS;
  });
  return has_changed;
}

void
peer_table::restart_liveness_timeout(mono_ms now)
{
  for (auto& [id, peer] : peers_) {
    if (peer.is_alive) {
      peer.last_received_at = now;
    }
  }
}

std::shared_ptr<peer_view>
peer_table::build_view() const
{
  auto result = std::make_shared<peer_view>();
  for (const auto& [id, peer] : peers_) {
    if (peer.is_alive) {
      result->emplace(id, peer.beacon);
    }
  }
  return result;
}

std::int64_t
peer_table::beacon_interval_ms() const
{
  const auto zone_peers = std::count_if(peers_.begin(), peers_.end(), [this](const auto& item) {
    return item.second.beacon.zone == zone_;
  });
  return std::max<std::int64_t>(BEACON_INTERVAL_MIN_MS, BEACON_INTERVAL_MS_PER_PEER * zone_peers);
}

std::int64_t
peer_table::liveness_timeout_ms(const node_beacon& peer) const
{
  const std::int64_t missed =
    peer.zone == zone_ ? DOWN_AFTER_MISSED_BEACONS : REMOTE_ZONE_DOWN_AFTER_MISSED_BEACONS;
  // The added margin tolerates a beacon that arrives late.
  return beacon_interval_ms() * missed + BEACON_INTERVAL_MIN_MS / 2;
}

} // namespace shallotfield
