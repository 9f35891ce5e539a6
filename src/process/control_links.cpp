// The control state of a node: links, members, heartbeats and summaries.
#include "control_base.h"

namespace shallotfield {

/** Pause between two tries to reach a seed. */
static constexpr mono_ms SEED_RETRY_MS = 500;

/** Time after which a node whose seeds don't answer acts as if it were alone. */
static constexpr mono_ms JOIN_TIMEOUT_MS = 2000;

/** Pause between two looks of a hub at its seeds, to find others that started apart. */
static constexpr mono_ms SEED_WATCH_MS = 5000;

/** Versions and lagging nodes that a summary names. */
static constexpr std::size_t SUMMARY_ITEMS = 8;

/** Heartbeats in a row that show a difference before it is repaired. */
static constexpr std::uint64_t DIFFERING_HEARTBEATS = 3;

/** Nodes of a zone that can't be reached before the whole zone counts as such. */
static constexpr std::size_t ZONE_LOST_AFTER_NODES = 2;

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
  while (into.counts.size() > SUMMARY_ITEMS) {
    const std::uint64_t nodes = into.counts.back().nodes;
    into.counts.pop_back();
    into.counts.back().nodes += nodes; // Counted with the next newer one: both are far behind.
  }
  for (const node_id& id : from.lagging) {
    if (into.lagging.size() < SUMMARY_ITEMS) {
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

std::optional<link_id>
control::find_link(const node_id& peer) const
{
  for (const auto& [id, link] : links_) {
    if ((link.peer && link.peer->id == peer) || (!link.peer && link.target == peer)) {
      return id;
    }
  }
  return std::nullopt;
}

void
control::open_to(const endpoint& to, const node_id& target, bool is_seed)
{
  const link_id id = next_link_;
  next_link_ += 2; // Odd numbers; the shell numbers accepted links with even ones.
  peer_link link;
  link.is_outgoing = true;
  link.is_seed = is_seed;
  link.target = target;
  link.last_heard = now_.mono;
  links_[id] = std::move(link);
  add(open_link{ id, to });
}

void
control::on(const link_opened& event)
{
  peer_link& link = links_[event.link];
  link.is_outgoing = event.is_outgoing;
  link.is_open = true;
  link.last_heard = now_.mono;
  if (event.is_outgoing) {
    send(event.link, hello_message{ PROTOCOL_VERSION, members_.own(), members_.digest() });
  }
}

void
control::on(const link_ended& event)
{
  lose_link(event.link, event.why);
}

void
control::lose_link(link_id id, link_end why)
{
  const auto found = links_.find(id);
  if (found == links_.end()) {
    return;
  }
  const peer_link link = std::move(found->second);
  links_.erase(found);
  const node_id peer = link.peer ? link.peer->id : link.target;
  if (parent_link_ == id) {
    parent_link_.reset();
  }
  if (!peer.empty()) {
    log(log_event::link_closed, { { "peer", peer }, { "reason", enum_name(why) } });
    if (link.is_outgoing) {
      unreachable_[peer] = now_.mono + options_.gone_after_ms;
    }
    const auto record = members_.records().find(peer);
    const bool is_watched = record != members_.records().end() && !is_tombstone(record->second) &&
                            record->second.region == members_.own().region;
    if (is_watched && !find_link(peer)) {
      missing_since_.try_emplace(peer, now_.mono);
    }
  }
  replan();
}

void
control::drop_link(link_id id, bool says_goodbye)
{
  if (says_goodbye && links_.at(id).is_open) {
    send(id, goodbye_message{});
  }
  add(close_link{ id });
  links_.erase(id);
  if (parent_link_ == id) {
    parent_link_.reset();
  }
}

void
control::on(const message_arrived& event)
{
  const auto link = links_.find(event.link);
  if (link == links_.end()) {
    return;
  }
  link->second.last_heard = now_.mono;
  const bool is_hello = std::holds_alternative<hello_message>(event.message);
  if (!is_hello && !link->second.peer) {
    count(counter_id::inputs_refused);
    log(log_event::input_refused, { { "fault", "no_hello" } });
    drop_link(event.link, false);
    return;
  }
  std::visit([&](const auto& message) { on_message(event.link, message); }, event.message);
}

void
control::on_message(link_id id, const hello_message& message)
{
  peer_link& link = links_.at(id);
  const bool is_first = !link.peer;
  link.peer = message.sender;
  if (message.sender.id == self_) {
    if (link.is_outgoing) {
      drop_link(id, false); // A seed that is this node itself.
    }
    return;
  }
  log(log_event::link_opened,
      { { "peer", message.sender.id }, { "outgoing", link.is_outgoing ? "yes" : "no" } });
  missing_since_.erase(message.sender.id);
  unreachable_.erase(message.sender.id);
  if (!link.is_outgoing && is_first) {
    send(id, hello_message{ PROTOCOL_VERSION, members_.own(), members_.digest() });
  }
  if (census_ && census_->offset > 0) {
    send(id, census_message{ *census_ });
  }
  const bool differs = message.members_digest != members_.digest();
  spread(members_.merge(message.sender, now_), id);
  link.has_all_members = !differs;
  is_joined_ = is_joined_ || !differs;
  // A member tells its parent only of itself; whoever has others below tells of all.
  const bool is_from_parent = plan_.parent == message.sender.id;
  if (differs && (!is_from_parent || plan_.role != node_role::member)) {
    link.needs_members = true;
  }
  replan();
}

void
control::on_message(link_id id, const goodbye_message& /*message*/)
{
  const peer_link link = links_.at(id);
  drop_link(id, false);
  if (link.peer && link.is_outgoing) {
    unreachable_[link.peer->id] = now_.mono + options_.heartbeat_ms;
  }
  replan();
}

void
control::spread(const std::optional<member_record>& record, std::optional<link_id> source)
{
  if (!record) {
    return;
  }
  view_changed_ = true;
  missing_since_.erase(record->id);
  if (record->id != self_) {
    log(log_event::member_changed,
        { { "member", record->id },
          { "state", enum_name(record->state) },
          { "service", record->server.service },
          { "server", enum_name(record->server.state) } });
  }
  for (auto& [id, link] : links_) {
    if (id != source) {
      link.dirty.insert(record->id);
    }
  }
}

void
control::on_message(link_id id, const members_message& message)
{
  for (const member_record& record : message.records) {
    spread(members_.merge(record, now_), id);
  }
  peer_link& link = links_.at(id);
  link.needs_members = link.needs_members || message.wants_all;
  if (message.is_all) {
    // What this node holds beyond that goes back.
    std::map<node_id, const member_record*> theirs;
    for (const member_record& record : message.records) {
      theirs[record.id] = &record;
    }
    for (const auto& [held_id, held] : members_.records()) {
      const auto found = theirs.find(held_id);
      if (found == theirs.end() || is_newer(held, *found->second)) {
        link.dirty.insert(held_id);
      }
    }
  }
  link.has_all_members = link.has_all_members || message.is_all;
  is_joined_ = is_joined_ || message.is_all;
  replan();
}

void
control::send_all_members(link_id id, peer_link& link)
{
  link.needs_members = false;
  link.dirty.clear();
  members_message message;
  message.is_all = true;
  for (const auto& [held_id, record] : members_.records()) {
    message.records.push_back(record);
  }
  send(id, std::move(message));
}

void
control::send_members()
{
  std::size_t transfers = 0;
  for (auto& [id, link] : links_) {
    if (!link.peer || !link.is_open) {
      continue;
    }
    if (link.needs_members && transfers < TRANSFERS_PER_TICK) {
      ++transfers;
      send_all_members(id, link);
    }
    if (!link.dirty.empty()) {
      members_message message;
      for (const node_id& changed : link.dirty) {
        const auto record = members_.records().find(changed);
        if (record != members_.records().end()) {
          message.records.push_back(record->second);
        }
      }
      link.dirty.clear();
      send(id, std::move(message));
    }
  }
  if (view_changed_) {
    view_changed_ = false;
    add(apply_members{ members_.build_view({ is_cut_, cut_before_, healed_at_ }) });
  }
}

bool
control::is_in_touch_link(const peer_link& link) const
{
  return link.peer && link.is_open &&
         now_.mono - link.last_heard <= 2 * options_.heartbeat_ms + options_.heartbeat_ms / 2;
}

version_summary
control::summarise_below() const
{
  const std::uint64_t own_version = ledger_.current()->number;
  version_summary total{ { { own_version, 1 } }, {} };
  for (const auto& [id, link] : links_) {
    const bool is_below =
      is_in_touch_link(link) && is_child(id, link) && link.peer->region == members_.own().region;
    if (!is_below) {
      continue;
    }
    merge_summary(total, link.below);
    const bool is_lagging = link.below.counts.size() == 1 && link.below.counts.front().nodes == 1 &&
                            link.below.counts.front().version < own_version;
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
  message.offset = ledger_.offset();
  message.members_digest = members_.digest();
  return message;
}

void
control::send_heartbeats()
{
  heartbeat_message message = make_heartbeat();
  message.stamp = now_.mono;
  message.below = summarise_below();
  for (const auto& [id, link] : links_) {
    if (link.peer && link.is_open && !is_child(id, link)) {
      send(id, message);
    }
  }
}

void
control::answer_heartbeat(link_id id, const heartbeat_message& message)
{
  heartbeat_message answer = make_heartbeat();
  answer.echo = message.stamp;
  answer.lease_ms = std::max<mono_ms>(0, lease_until_ - now_.mono);
  answer.is_cut = is_cut_;
  send(id, std::move(answer));
}

void
control::on_message(link_id id, const heartbeat_message& message)
{
  peer_link& link = links_.at(id);
  if (is_child(id, link)) {
    answer_heartbeat(id, message);
  }
  link.below = message.below;
  const mono_ms lease = message.echo + message.lease_ms;
  if (is_parent(id) && message.lease_ms > 0) {
    extend_lease(lease);
  }
  if (is_parent(id)) {
    note_cut(message.is_cut);
  }
  const bool is_ahead = message.offset > ledger_.offset() && !is_halted_;
  link.ahead_heartbeats = is_ahead ? link.ahead_heartbeats + 1 : 0;
  if (link.ahead_heartbeats >= 2) {
    link.ahead_heartbeats = 0;
    subscribe_to(id, is_parent(id), false);
  }
  const bool differs = message.members_digest != members_.digest();
  link.differing_heartbeats = differs ? link.differing_heartbeats + 1 : 0;
  const bool repairs = is_parent(id) || (!link.is_subscribed && link.is_outgoing);
  if (repairs && link.differing_heartbeats >= DIFFERING_HEARTBEATS) {
    link.differing_heartbeats = 0;
    send(id, members_message{ {}, false, true });
  }
}

void
control::on_message(link_id id, const fleet_message& message)
{
  if (is_parent(id) && fleet_ != message.fleet) {
    fleet_ = message.fleet;
    update_fleet();
  }
}

void
control::update_fleet()
{
  if (plan_.role == node_role::hub) {
    version_summary total = summarise_below();
    for (const auto& [id, link] : links_) {
      if (is_in_touch_link(link) && link.peer->region != members_.own().region) {
        merge_summary(total, link.below);
      }
    }
    fleet_ = std::move(total);
  }
  if (fleet_ == sent_fleet_) {
    return;
  }
  sent_fleet_ = fleet_;
  for (const auto& [id, link] : links_) {
    if (is_child(id, link)) {
      send(id, fleet_message{ fleet_ });
    }
  }
}

void
control::check_silence()
{
  std::vector<link_id> silent;
  for (const auto& [id, link] : links_) {
    if (link.is_open && now_.mono - link.last_heard > options_.gone_after_ms) {
      silent.push_back(id);
    }
  }
  for (const link_id id : silent) {
    add(close_link{ id });
    lose_link(id, link_end::closed);
  }
}

void
control::check_missing()
{
  std::vector<node_id> gone;
  for (const auto& [id, since] : missing_since_) {
    if (now_.mono - since > options_.gone_after_ms) {
      gone.push_back(id);
    }
  }
  for (const node_id& id : gone) {
    missing_since_.erase(id);
    const std::optional<link_id> link = find_link(id);
    const bool is_back = link && links_.at(*link).peer;
    if (!is_back) {
      spread(members_.mark_gone(id, now_), std::nullopt);
    }
  }
}

void
control::expect_link(const node_id& id)
{
  const std::optional<link_id> link = find_link(id);
  if (!link || !links_.at(*link).peer) {
    missing_since_.try_emplace(id, now_.mono);
  }
}

void
control::check_duties()
{
  const bool has_settled = is_joined_ && now_.mono - duty_since_ > options_.gone_after_ms / 2;
  if (plan_.role == node_role::member || !has_settled) {
    return;
  }
  const member_record& own = members_.own();
  std::set<std::string> linked_zones;
  for (const auto& [id, link] : links_) {
    if (link.peer) {
      linked_zones.insert(link.peer->zone);
    }
  }
  for (const auto& [id, record] : members_.records()) {
    if (id == self_ || is_tombstone(record) || record.region != own.region) {
      continue;
    }
    const bool is_own_zone = record.zone == own.zone;
    const bool is_relay_of_zone =
      plan_.role == node_role::hub &&
      find_leader(members_.records(), own.region, record.zone, {}) == &record;
    const bool is_lost_zone = plan_.role == node_role::hub && !linked_zones.contains(record.zone);
    if (is_own_zone || is_relay_of_zone || is_lost_zone) {
      expect_link(id);
    }
  }
}

void
control::join()
{
  if (now_.mono - started_.mono > JOIN_TIMEOUT_MS) {
    is_joined_ = true;
    return;
  }
  if (options_.seeds.empty()) {
    is_joined_ = true;
    return;
  }
  const bool is_trying =
    std::any_of(links_.begin(), links_.end(), [](const auto& item) { return item.second.is_seed; });
  if (is_trying || now_.mono < next_seed_at_) {
    return;
  }
  const endpoint& seed = options_.seeds[next_seed_ % options_.seeds.size()];
  ++next_seed_;
  next_seed_at_ = now_.mono + SEED_RETRY_MS / static_cast<mono_ms>(options_.seeds.size());
  if (seed != members_.own().control) {
    open_to(seed, "", true);
  }
}

void
control::watch_seeds()
{
  if (options_.seeds.empty() || now_.mono < next_seed_at_) {
    return;
  }
  next_seed_at_ = now_.mono + SEED_WATCH_MS;
  const endpoint& seed = options_.seeds[next_seed_ % options_.seeds.size()];
  ++next_seed_;
  const bool is_known =
    std::any_of(members_.records().begin(), members_.records().end(), [&seed](const auto& item) {
      return item.second.control == seed && !is_tombstone(item.second);
    });
  if (!is_known) {
    open_to(seed, "", true);
  }
}

std::set<node_id>
control::unreachable_nodes() const
{
  std::set<node_id> nodes;
  for (const auto& [id, until] : unreachable_) {
    nodes.insert(id);
  }
  for (const auto& [id, since] : missing_since_) {
    nodes.insert(id);
  }
  // Where several nodes of a zone can't be reached and none can, the others aren't tried in turn.
  std::map<std::string, std::size_t> failures;
  for (const node_id& id : nodes) {
    const auto record = members_.records().find(id);
    if (record != members_.records().end() && !is_tombstone(record->second)) {
      ++failures[record->second.zone];
    }
  }
  for (const auto& [id, link] : links_) {
    if (link.peer) {
      failures.erase(link.peer->zone);
    }
  }
  failures.erase(members_.own().zone);
  for (const auto& [id, record] : members_.records()) {
    const auto found = failures.find(record.zone);
    if (found != failures.end() && found->second >= ZONE_LOST_AFTER_NODES) {
      nodes.insert(id);
    }
  }
  return nodes;
}

bool
control::is_linked_twice(link_id id, const member_record& peer) const
{
  return peer.region > members_.own().region &&
         std::any_of(links_.begin(), links_.end(), [&](const auto& item) {
           return item.first != id && !item.second.is_outgoing && item.second.peer &&
                  item.second.peer->id == peer.id;
         });
}

bool
control::is_opened_by_peer(const node_id& id) const
{
  // Between two regions the hub of the later one opens the link, unless it doesn't know the other.
  const std::string& region = members_.records().at(id).region;
  const bool is_later = region > members_.own().region;
  const bool has_time = now_.mono - duty_since_ < options_.gone_after_ms;
  const bool has_link = std::any_of(links_.begin(), links_.end(), [&region](const auto& item) {
    return item.second.peer && item.second.peer->region == region;
  });
  return is_later && (has_link || has_time);
}

void
control::replan()
{
  if (!is_joined_) {
    join();
    if (!is_joined_) {
      return;
    }
  }
  role_plan plan = plan_role(members_.records(), self_, unreachable_nodes());
  if (plan.role != plan_.role || plan.parent != plan_.parent) {
    log(log_event::role_changed,
        { { "role", enum_name(plan.role) }, { "parent", plan.parent.value_or("-") } });
    duty_since_ = now_.mono;
  }
  plan_ = std::move(plan);
  std::vector<node_id> wanted = plan_.hubs;
  if (plan_.parent) {
    wanted.push_back(*plan_.parent);
  }
  for (const node_id& id : wanted) {
    if (!find_link(id) && !is_opened_by_peer(id)) {
      open_to(members_.records().at(id).control, id, false);
    }
  }
  std::vector<link_id> unwanted;
  for (const auto& [id, link] : links_) {
    const node_id peer = link.peer ? link.peer->id : link.target;
    const bool is_wanted = std::find(wanted.begin(), wanted.end(), peer) != wanted.end();
    const bool is_used_up = link.peer && (!link.is_seed || link.has_all_members);
    const bool is_double = link.peer && link.is_outgoing && is_linked_twice(id, *link.peer);
    if (link.is_outgoing && (!is_wanted || is_double) && is_used_up) {
      unwanted.push_back(id);
    }
  }
  update_parent();
  for (const link_id id : unwanted) {
    drop_link(id, true);
  }
  if (plan_.role == node_role::hub) {
    watch_seeds();
  }
}

void
control::update_parent()
{
  std::optional<link_id> parent;
  for (const auto& [id, link] : links_) {
    if (plan_.parent && link.peer && link.is_open && link.peer->id == *plan_.parent) {
      parent = id;
      break;
    }
  }
  if (parent && parent != parent_link_) {
    parent_link_ = parent;
    // A higher sequence overtakes whatever the former parent says of this node.
    if (had_parent_) {
      spread(members_.renew_own(now_), std::nullopt);
    }
    had_parent_ = true;
    subscribe_to(*parent, true, false);
  }
  parent_link_ = parent;
  const bool lacks_parent = plan_.parent && !parent;
  if (!lacks_parent) {
    parentless_since_ = 0;
  } else if (parentless_since_ == 0) {
    parentless_since_ = now_.mono;
  }
}

void
control::note_cut(bool is_cut)
{
  if (is_cut == is_cut_) {
    return;
  }
  is_cut_ = is_cut;
  view_changed_ = true;
  log(log_event::region_cut, { { "state", is_cut ? "cut" : "healed" } });
  if (is_cut) {
    // The cut began before it was noticed.
    cut_before_ = now_.unix - options_.gone_after_ms;
  } else {
    healed_at_ = now_.unix;
  }
}

std::set<std::string>
control::cut_regions() const
{
  std::set<std::string> cut;
  for (const auto& [id, record] : members_.records()) {
    if (!is_tombstone(record) && record.region != members_.own().region) {
      cut.insert(record.region);
    }
  }
  for (const auto& [id, link] : links_) {
    if (is_in_touch_link(link)) {
      cut.erase(link.peer->region);
    }
  }
  return cut;
}

} // namespace shallotfield
