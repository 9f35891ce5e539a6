// Selection of store readers and of peers to fetch the configuration from.
#include "config_follower_base.h"

#include <tuple>

namespace shallotfield {

/** Maximum time for which the store waits for a record in one call. A reader that is cut off
 * from the store without an error is replaced after this time plus the timeout of the call. The sum
 * has to stay below the 2 s within which a configuration must be in force. */
static constexpr std::int64_t TAIL_WAIT_MS = 800;

/** Minimum time between the starts of two reads, which limits the rate of reads when records are
 * appended in quick succession. */
static constexpr mono_ms READ_INTERVAL_MIN_MS = 350;

/** Delay before the next read after one failed. */
static constexpr mono_ms STORE_RETRY_DELAY_MS = 1000;

/** Time after which a failure of the store no longer counts. This proxy then ranks like one that
 * reaches the store and may be selected as a reader again. */
static constexpr mono_ms STORE_FAILURE_EXPIRY_MS = 8000;

/** Time for which a proxy waits for a peer of its zone to have a new version before it fetches the
 * version from another zone. The live proxy with the lowest id of a zone does not wait, so that a
 * version is normally transferred into a zone only once. */
static constexpr mono_ms CROSS_ZONE_FETCH_DELAY_MS = 250;

/** Delay before peers that failed to send a configuration are asked again, after all peers that
 * have a newer version failed. */
static constexpr mono_ms FETCH_RETRY_DELAY_MS = 200;

/** Minimum time between the end of a transfer and the start of the next one. It also applies if the
 * peer sent a configuration that is invalid, which would otherwise be fetched again at once. */
static constexpr mono_ms FETCH_COOLDOWN_MS = 50;

/** Time from the start of the process until it may act as a reader, so that the first beacons of
 * its peers can arrive. Two round trips between regions take much less. */
static constexpr mono_ms JOIN_DELAY_MS = 200;

config_follower::config_follower(node_beacon self, mono_ms now)
  : self_(std::move(self))
  , started_at_(now)
{
}

std::vector<follow_effect>
config_follower::handle(const follow_event& event, const peer_table& peers, mono_ms now)
{
  effects_.clear();
  std::visit([&](const auto& item) { on(item, peers, now); }, event);
  fetch_from_peer(peers, now);
  read_store(peers, now);
  return std::move(effects_);
}

void
config_follower::record_store_reachability(bool is_reachable, mono_ms now)
{
  if (is_reachable != is_store_reachable_) {
    is_store_reachable_ = is_reachable;
    reachability_changed_at_ = now;
  }
}

void
config_follower::set_reachable(bool is_reachable, mono_ms now)
{
  if (is_reachable != is_store_reachable_) {
    record_store_reachability(is_reachable, now);
    effects_.emplace_back(report_store_reachability{ is_reachable });
  }
}

bool
config_follower::is_selected_as_reader(const peer_table& peers)
{
  using rank = std::tuple<bool, std::int64_t, std::string_view>;
  // Nodes that reach the store rank first, then those with more processor time; ties are resolved
  // by id. All proxies that have the same beacons therefore compute the same order.
  const auto rank_of = [](const node_beacon& node) {
    return rank{ !node.is_store_reachable,
                 -static_cast<std::int64_t>(node.processor_permille),
                 node.id };
  };
  node_beacon self = self_;
  self.is_store_reachable = is_store_reachable_;
  using candidate = std::pair<rank, std::string_view>; // With the region.
  candidate first{ rank_of(self), self.region };
  const auto for_each_peer = [&](const auto& visit) {
    visit(candidate{ rank_of(self), self.region });
    for (const auto& [id, peer] : peers.peers()) {
      if (peer.is_alive && !peer.beacon.is_leaving) {
        visit(candidate{ rank_of(peer.beacon), peer.beacon.region });
      }
    }
  };
  for_each_peer([&first](const candidate& item) { first = std::min(first, item); });
  // Prefer a second reader in another region, unless the first reader reaches the store and that
  // one does not. If the first one does not reach the store, no candidate does.
  std::optional<candidate> second;
  std::optional<candidate> second_in_other_region;
  for_each_peer([&](const candidate& item) {
    if (item == first) {
      return;
    }
    second = second ? std::min(*second, item) : item;
    const bool is_preferred =
      item.second != first.second && std::get<0>(item.first) == std::get<0>(first.first);
    if (is_preferred) {
      second_in_other_region =
        second_in_other_region ? std::min(*second_in_other_region, item) : item;
    }
  });
  const std::optional<candidate>& other = second_in_other_region ? second_in_other_region : second;
  const auto is_self = [this](const candidate& item) {
    return std::get<std::string_view>(item.first) == self_.id;
  };
  is_first_reader_ = is_self(first);
  return is_first_reader_ || (other && is_self(*other));
}

void
config_follower::read_store(const peer_table& peers, mono_ms now)
{
  const bool has_joined = are_peers_known_ && now - started_at_ >= JOIN_DELAY_MS;
  if (!is_store_reachable_ && now - reachability_changed_at_ > STORE_FAILURE_EXPIRY_MS) {
    set_reachable(true, now);
  }
  is_first_reader_ = false;
  is_reader_ = has_joined && is_selected_as_reader(peers);
  if (!is_reader_ || is_reading_ || now < next_read_at_) {
    return;
  }
  is_reading_ = true;
  next_read_at_ = now + READ_INTERVAL_MIN_MS;
  if (next_offset_) {
    effects_.emplace_back(read_config_tail{ *next_offset_, TAIL_WAIT_MS });
  } else {
    effects_.emplace_back(read_newest_config{});
  }
}

void
config_follower::fetch_from_peer(const peer_table& peers, mono_ms now)
{
  if (is_fetching_ || now < next_fetch_at_) {
    return;
  }
  std::uint64_t newest = 0;
  bool is_lowest_id_in_zone = true;
  for (const auto& [id, peer] : peers.peers()) {
    if (peer.is_alive) {
      newest = std::max(newest, peer.beacon.config_version);
      is_lowest_id_in_zone =
        is_lowest_id_in_zone && !(peer.beacon.zone == self_.zone && id < self_.id);
    }
  }
  if (newest <= version_) {
    return;
  }
  if (newest != target_version_) {
    if (target_version_ <= version_) {
      target_known_since_ = now;
    }
    target_version_ = newest;
    failed_peers_.clear();
  }
  const auto distance = [this](const node_beacon& peer) {
    return peer.zone == self_.zone ? 0 : peer.region == self_.region ? 1 : 2;
  };
  const peer_entry* best = nullptr;
  for (const auto& [id, peer] : peers.peers()) {
    const bool has_newer = peer.is_alive && peer.beacon.config_version > version_;
    if (!has_newer || failed_peers_.contains(id)) {
      continue;
    }
    if (best == nullptr || distance(peer.beacon) < distance(best->beacon)) {
      best = &peer;
    }
  }
  if (best == nullptr) {
    failed_peers_.clear();
    next_fetch_at_ = now + FETCH_RETRY_DELAY_MS;
    return;
  }
  const bool may_cross_zones =
    is_lowest_id_in_zone || now - target_known_since_ >= CROSS_ZONE_FETCH_DELAY_MS;
  if (distance(best->beacon) > 0 && !may_cross_zones) {
    return;
  }
  is_fetching_ = true;
  effects_.emplace_back(fetch_config{ best->beacon.id });
}

void
config_follower::on(const reevaluation_due& /*event*/, const peer_table& /*peers*/, mono_ms /*now*/)
{
}

void
config_follower::handle_read_result(const std::optional<std::string>& text,
                                    std::uint64_t next,
                                    mono_ms now)
{
  is_reading_ = false;
  set_reachable(true, now);
  next_offset_ = next;
  if (text) {
    effects_.emplace_back(apply_config{ *text, true });
  }
}

void
config_follower::on(const newest_config_read& event, const peer_table& /*peers*/, mono_ms now)
{
  handle_read_result(event.text, event.next, now);
}

void
config_follower::on(const tail_read& event, const peer_table& /*peers*/, mono_ms now)
{
  handle_read_result(event.text, event.next, now);
}

void
config_follower::on(const offset_trimmed& /*event*/, const peer_table& /*peers*/, mono_ms now)
{
  is_reading_ = false;
  set_reachable(true, now);
  next_offset_.reset();
  next_read_at_ = now;
}

void
config_follower::on(const tail_unreadable& /*event*/, const peer_table& /*peers*/, mono_ms now)
{
  // Reading the newest records skips the ones that can't be decoded.
  is_reading_ = false;
  set_reachable(true, now);
  next_offset_.reset();
  next_read_at_ = now + STORE_RETRY_DELAY_MS;
}

void
config_follower::on(const store_call_failed& /*event*/, const peer_table& /*peers*/, mono_ms now)
{
  is_reading_ = false;
  next_read_at_ = now + STORE_RETRY_DELAY_MS;
  set_reachable(false, now);
}

void
config_follower::on(const config_received& event, const peer_table& /*peers*/, mono_ms now)
{
  is_fetching_ = false;
  next_fetch_at_ = now + FETCH_COOLDOWN_MS;
  effects_.emplace_back(apply_config{ event.text, false });
}

void
config_follower::on(const config_fetch_failed& event, const peer_table& /*peers*/, mono_ms now)
{
  is_fetching_ = false;
  failed_peers_.insert(event.node);
  next_fetch_at_ = now;
}

void
config_follower::on(const version_applied& event, const peer_table& /*peers*/, mono_ms /*now*/)
{
  version_ = event.version;
}

} // namespace shallotfield
