// The control state of a node: heartbeats, versions in force over the fleet, and network
// partitions.
#include "control_base.h"

namespace shallotfield {

/** Maximum number of versions, and of lagging nodes, that a summary lists. */
static constexpr std::size_t SUMMARY_ITEMS_MAX = 8;

/**
 * Successive heartbeats with different member digests after which all member records are requested.
 * A single difference is usual while an update is being propagated.
 */
static constexpr std::uint64_t MISMATCHED_HEARTBEATS_BEFORE_REPAIR = 3;

void
merge_summary(version_summary& into, const version_summary& from)
{
  for (const version_count& item : from.counts) {
    const auto found =
      std::find_if(into.counts.begin(), into.counts.end(), [&item](const version_count& held) {
        return held.version == item.version;
      });
    if (found == into.counts.end()) {
      into.counts.push_back(item);
    } else {
      found->nodes += item.nodes;
    }
  }
  std::sort(into.counts.begin(), into.counts.end(), [](const auto& a, const auto& b) {
    return a.version > b.version;
  });
  while (into.counts.size() > SUMMARY_ITEMS_MAX) {
    const std::uint64_t nodes = into.counts.back().nodes;
    into.counts.pop_back();
    // The oldest version is counted with the next newer one. Nodes with either one are far behind.
    into.counts.back().nodes += nodes;
  }
  for (const node_id& id : from.lagging) {
    if (into.lagging.size() < SUMMARY_ITEMS_MAX) {
      into.lagging.push_back(id);
    }
  }
}

std::uint64_t
count_nodes(const version_summary& summary)
{
  std::uint64_t total = 0;
  for (const version_count& item : summary.counts) {
    total += item.nodes;
  }
  return total;
}

bool
control::is_live_link(const peer_link& link) const
{
  return link.peer && link.is_open &&
         now_.mono - link.last_received_at <= 2 * options_.heartbeat_ms + options_.heartbeat_ms / 2;
}

version_summary
control::summarise_subtree() const
{
  const std::uint64_t own_version = config_.current()->number;
  version_summary total{ { { own_version, 1 } }, {} };
  for (const auto& [id, link] : links_) {
    const bool is_in_subtree =
      is_live_link(link) && is_child(id, link) && link.peer->region == members_.own().region;
    if (!is_in_subtree) {
      continue;
    }
    merge_summary(total, link.subtree_versions);
    // A child without a subtree of its own reports a single node with a single version.
    const bool is_lagging = link.subtree_versions.counts.size() == 1 &&
                            link.subtree_versions.counts.front().nodes == 1 &&
                            link.subtree_versions.counts.front().version < own_version;
    if (is_lagging) {
      merge_summary(total, { {}, { link.peer->id } });
    }
  }
  return total;
}

bool
control::is_child(link_id id, const peer_link& link) const
{
  return link.peer && link.is_open && link.is_subscribed && !is_parent(id);
}

heartbeat_message
control::make_heartbeat() const
{
  heartbeat_message message;
  message.offset = config_.offset();
  message.members_digest = members_.digest();
  return message;
}

void
control::send_heartbeats()
{
  heartbeat_message message = make_heartbeat();
  message.stamp = now_.mono;
  message.subtree_versions = summarise_subtree();
  for (const auto& [id, link] : links_) {
    if (link.peer && link.is_open && !is_child(id, link)) {
      send(id, message);
    }
  }
}

void
control::respond_to_heartbeat(link_id id, const heartbeat_message& message)
{
  heartbeat_message response = make_heartbeat();
  response.echo = message.stamp;
  response.lease_ms = std::max<mono_ms>(0, lease_until_ - now_.mono);
  response.is_partitioned = is_partitioned_;
  send(id, std::move(response));
}

void
control::on_message(link_id id, const heartbeat_message& message)
{
  peer_link& link = links_.at(id);
  if (is_child(id, link)) {
    respond_to_heartbeat(id, message);
  }
  link.subtree_versions = message.subtree_versions;
  const mono_ms lease_end = message.echo + message.lease_ms;
  if (is_parent(id) && message.lease_ms > 0) {
    extend_lease(lease_end);
  }
  if (is_parent(id)) {
    set_partitioned(message.is_partitioned);
  }
  const bool is_ahead = message.offset > config_.offset() && !is_halted_;
  link.consecutive_ahead_heartbeats = is_ahead ? link.consecutive_ahead_heartbeats + 1 : 0;
  // A single heartbeat may show the peer ahead while records are still on their way.
  if (link.consecutive_ahead_heartbeats >= 2) {
    link.consecutive_ahead_heartbeats = 0;
    subscribe_to(id, is_parent(id), false);
  }
  const bool differs = message.members_digest != members_.digest();
  link.consecutive_mismatched_heartbeats = differs ? link.consecutive_mismatched_heartbeats + 1 : 0;
  // Only one side of a link requests the records: the child, or the hub that opened the link.
  const bool repairs_members = is_parent(id) || (!link.is_subscribed && link.is_outgoing);
  if (repairs_members &&
      link.consecutive_mismatched_heartbeats >= MISMATCHED_HEARTBEATS_BEFORE_REPAIR) {
    link.consecutive_mismatched_heartbeats = 0;
    send(id, members_message{ {}, false, true });
  }
}

void
control::on_message(link_id id, const fleet_message& message)
{
  if (is_parent(id) && fleet_versions_ != message.fleet) {
    fleet_versions_ = message.fleet;
    update_fleet_versions();
  }
}

void
control::update_fleet_versions()
{
  if (plan_.role == node_role::hub) {
    version_summary total = summarise_subtree();
    for (const auto& [id, link] : links_) {
      if (is_live_link(link) && link.peer->region != members_.own().region) {
        merge_summary(total, link.subtree_versions);
      }
    }
    fleet_versions_ = std::move(total);
  }
  if (fleet_versions_ == sent_fleet_versions_) {
    return;
  }
  sent_fleet_versions_ = fleet_versions_;
  for (const auto& [id, link] : links_) {
    if (is_child(id, link)) {
      send(id, fleet_message{ fleet_versions_ });
    }
  }
}

void
control::set_partitioned(bool is_partitioned)
{
  if (is_partitioned == is_partitioned_) {
    return;
  }
  is_partitioned_ = is_partitioned;
  view_changed_ = true;
  emit_log_line(log_event::region_cut, { { "state", is_partitioned ? "cut" : "healed" } });
  if (is_partitioned) {
    // A region is found to be unreachable only some time after the partition began.
    earliest_partition_start_ = now_.unix - options_.gone_after_ms;
  } else {
    healed_at_ = now_.unix;
  }
}

std::set<std::string>
control::unreachable_regions() const
{
  std::set<std::string> regions;
  for (const auto& [id, record] : members_.records()) {
    if (!is_tombstone(record) && record.region != members_.own().region) {
      regions.insert(record.region);
    }
  }
  for (const auto& [id, link] : links_) {
    if (is_live_link(link)) {
      regions.erase(link.peer->region);
    }
  }
  return regions;
}

} // namespace shallotfield
