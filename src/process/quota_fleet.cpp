// Implements the choice of ledgers, and the count of the proxies that share the quotas.
#include "quota_fleet.h"

#include <algorithm>
#include <tuple>

namespace shallotfield {

/** Number of proxies of a zone that keep its ledger. The second one takes over without a gap. */
static constexpr std::size_t LEDGERS_PER_ZONE = 2;

/** Time after which a lost proxy no longer counts, if most proxies of its zone can be reached.
 * Until then its use may still be counted in the window of its accounts. */
static constexpr mono_ms LOST_PROXY_MS = 10'000;

/** Time after which a zone of which no proxy is listed any more counts as removed. Regions may be
 * cut off from each other for an hour; both sides would give out whole quotas if they took the
 * other one's zones for removed. */
static constexpr mono_ms REMOVED_ZONE_MS = 2 * 3'600'000;

/** A longer time between two updates is a pause, for example while no account has a quota. */
static constexpr mono_ms UPDATE_PAUSE_MIN_MS = 10'000;

namespace {

/** The proxies of one zone. */
struct zone_state
{
  std::vector<const node_beacon*> candidates; ///< Live proxies that stay.
  std::size_t alive = 0;
  std::size_t recently_lost = 0;
  std::size_t all = 0;
};

} // namespace

void
quota_fleet::update(const peer_table& peers, const node_beacon& self, mono_ms now)
{
  const mono_ms pause = updated_at_ ? now - *updated_at_ : 0;
  if (pause > UPDATE_PAUSE_MIN_MS) {
    // Nobody looked for the zones meanwhile.
    for (auto& [name, zone] : known_zones_) {
      zone.listed_at += pause;
    }
  }
  updated_at_ = now;
  std::map<std::string, zone_state> zones;
  zone_state& own = zones[self.zone];
  own = { {}, 1, 0, 1 };
  if (!self.is_leaving) {
    own.candidates.push_back(&self);
  }
  zone_peers_.clear();
  for (const auto& [id, peer] : peers.peers()) {
    zone_state& zone = zones[peer.beacon.zone];
    ++zone.all;
    if (peer.is_alive) {
      ++zone.alive;
      if (!peer.beacon.is_leaving) {
        zone.candidates.push_back(&peer.beacon);
      }
      if (peer.beacon.zone == self.zone) {
        zone_peers_.push_back(id);
      }
    } else if (now - std::max(peer.last_received_at, peer.added_at) < LOST_PROXY_MS) {
      ++zone.recently_lost;
    }
  }
  ledgers_.clear();
  known_proxies_ = 0;
  for (auto& [name, zone] : zones) {
    known_zone& known = known_zones_[name];
    known.listed_at = now;
    std::size_t& size = known.size;
    if (2 * zone.alive > zone.all) {
      size = zone.alive + zone.recently_lost;
    } else {
      size = std::max(size, zone.all);
    }
    // The ledger costs processor time, so it runs where there is most of it.
    std::sort(zone.candidates.begin(), zone.candidates.end(), [](const auto* a, const auto* b) {
      return std::tuple(b->processor_permille, a->id) < std::tuple(a->processor_permille, b->id);
    });
    std::vector<node_id>& chosen = ledgers_[name];
    for (const node_beacon* candidate : zone.candidates) {
      if (chosen.size() < LEDGERS_PER_ZONE) {
        chosen.push_back(candidate->id);
      }
    }
  }
  std::erase_if(known_zones_,
                [now](const auto& item) { return now - item.second.listed_at > REMOVED_ZONE_MS; });
  for (const auto& [name, zone] : known_zones_) {
    known_proxies_ += zone.size;
  }
}

const std::vector<node_id>&
quota_fleet::ledgers_of(const std::string& zone) const
{
  static const std::vector<node_id> none;
  const auto found = ledgers_.find(zone);
  return found == ledgers_.end() ? none : found->second;
}

bool
quota_fleet::is_ledger(const std::string& zone, const node_id& node) const
{
  const std::vector<node_id>& chosen = ledgers_of(zone);
  return std::find(chosen.begin(), chosen.end(), node) != chosen.end();
}

} // namespace shallotfield
