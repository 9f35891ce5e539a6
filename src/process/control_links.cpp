// The control state of a node: links, the position in the distribution tree, and joining the fleet.
#include "control_base.h"

namespace shallotfield {

/** Interval between two attempts to reach the same seed. */
static constexpr mono_ms SEED_RETRY_MS = 500;

/** Time after which a node whose seeds don't respond stops trying to join and runs on its own. */
static constexpr mono_ms JOIN_TIMEOUT_MS = 2000;

/** Interval at which a hub checks a seed, to find nodes that started separately from it. */
static constexpr mono_ms SEED_PROBE_INTERVAL_MS = 5000;

/** Number of unreachable nodes at which a whole availability zone counts as unreachable. */
static constexpr std::size_t ZONE_LOST_AFTER_NODES = 2;

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
control::open_outgoing(const endpoint& to, const node_id& target, bool is_seed)
{
  const link_id id = next_link_;
  // Outgoing links have odd numbers; the control thread gives even ones to accepted links.
  next_link_ += 2;
  peer_link link;
  link.is_outgoing = true;
  link.is_seed = is_seed;
  link.target = target;
  link.last_received_at = now_.mono;
  links_[id] = std::move(link);
  add(open_link{ id, to });
}

void
control::on(const link_opened& event)
{
  peer_link& link = links_[event.link];
  link.is_outgoing = event.is_outgoing;
  link.is_open = true;
  link.last_received_at = now_.mono;
  if (event.is_outgoing) {
    send(event.link, hello_message{ PROTOCOL_VERSION, members_.own(), members_.digest() });
  }
}

void
control::on(const link_ended& event)
{
  on_link_lost(event.link, event.reason);
}

void
control::on_link_lost(link_id id, link_close_reason reason)
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
    emit_log_line(log_event::link_closed, { { "peer", peer }, { "reason", enum_name(reason) } });
    if (link.is_outgoing) {
      unreachable_until_[peer] = now_.mono + options_.gone_after_ms;
    }
    const auto record = members_.records().find(peer);
    const bool is_expected = record != members_.records().end() && !is_tombstone(record->second) &&
                             record->second.region == members_.own().region;
    if (is_expected && !find_link(peer)) {
      missing_since_.try_emplace(peer, now_.mono);
    }
  }
  replan();
}

void
control::drop_link(link_id id, bool sends_goodbye)
{
  if (sends_goodbye && links_.at(id).is_open) {
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
  link->second.last_received_at = now_.mono;
  const bool is_hello = std::holds_alternative<hello_message>(event.message);
  if (!is_hello && !link->second.peer) {
    count(counter_id::inputs_refused);
    emit_log_line(log_event::input_refused, { { "fault", "no_hello" } });
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
      drop_link(id, false); // The seed address belongs to this node itself.
    }
    return;
  }
  emit_log_line(log_event::link_opened,
                { { "peer", message.sender.id }, { "outgoing", link.is_outgoing ? "yes" : "no" } });
  missing_since_.erase(message.sender.id);
  unreachable_until_.erase(message.sender.id);
  if (!link.is_outgoing && is_first) {
    send(id, hello_message{ PROTOCOL_VERSION, members_.own(), members_.digest() });
  }
  if (census_ && census_->offset > 0) {
    send(id, census_message{ *census_ });
  }
  const bool differs = message.members_digest != members_.digest();
  propagate(members_.merge(message.sender, now_), id);
  link.are_members_known = !differs;
  is_joined_ = is_joined_ || !differs;
  // A node without children sends its parent only its own record, with the hello message. A node
  // with children sends all records.
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
    // Keeps replan() from opening the link again at once.
    unreachable_until_[link.peer->id] = now_.mono + options_.heartbeat_ms;
  }
  replan();
}

void
control::close_silent_links()
{
  std::vector<link_id> silent;
  for (const auto& [id, link] : links_) {
    if (link.is_open && now_.mono - link.last_received_at > options_.gone_after_ms) {
      silent.push_back(id);
    }
  }
  for (const link_id id : silent) {
    add(close_link{ id });
    on_link_lost(id, link_close_reason::closed);
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
  const endpoint& seed = options_.seeds[next_seed_index_ % options_.seeds.size()];
  ++next_seed_index_;
  next_seed_at_ = now_.mono + SEED_RETRY_MS / static_cast<mono_ms>(options_.seeds.size());
  if (seed != members_.own().control) {
    open_outgoing(seed, "", true);
  }
}

void
control::probe_seeds()
{
  if (options_.seeds.empty() || now_.mono < next_seed_at_) {
    return;
  }
  next_seed_at_ = now_.mono + SEED_PROBE_INTERVAL_MS;
  const endpoint& seed = options_.seeds[next_seed_index_ % options_.seeds.size()];
  ++next_seed_index_;
  const bool is_known =
    std::any_of(members_.records().begin(), members_.records().end(), [&seed](const auto& item) {
      return item.second.control == seed && !is_tombstone(item.second);
    });
  if (!is_known) {
    open_outgoing(seed, "", true);
  }
}

std::set<node_id>
control::unreachable_nodes() const
{
  std::set<node_id> nodes;
  for (const auto& [id, until] : unreachable_until_) {
    nodes.insert(id);
  }
  for (const auto& [id, since] : missing_since_) {
    nodes.insert(id);
  }
  // If several nodes of an availability zone are unreachable and this node has no link to the zone,
  // the other nodes of the zone are assumed to be unreachable too, instead of being tried one after
  // another.
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
control::has_incoming_duplicate(link_id id, const member_record& peer) const
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
  // Of two regions, the hub of the one whose name sorts last opens the link. If there is still
  // no link to any node of that region after a grace period, its hub may not know this region, and
  // this node opens one.
  const std::string& region = members_.records().at(id).region;
  const bool is_later = region > members_.own().region;
  const bool is_in_grace_period = now_.mono - role_since_ < options_.gone_after_ms;
  const bool has_link = std::any_of(links_.begin(), links_.end(), [&region](const auto& item) {
    return item.second.peer && item.second.peer->region == region;
  });
  return is_later && (has_link || is_in_grace_period);
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
    emit_log_line(log_event::role_changed,
                  { { "role", enum_name(plan.role) }, { "parent", plan.parent.value_or("-") } });
    role_since_ = now_.mono;
  }
  plan_ = std::move(plan);
  std::vector<node_id> wanted = plan_.remote_hubs;
  if (plan_.parent) {
    wanted.push_back(*plan_.parent);
  }
  for (const node_id& id : wanted) {
    if (!find_link(id) && !is_opened_by_peer(id)) {
      open_outgoing(members_.records().at(id).control, id, false);
    }
  }
  std::vector<link_id> unwanted;
  for (const auto& [id, link] : links_) {
    const node_id peer = link.peer ? link.peer->id : link.target;
    const bool is_wanted = std::find(wanted.begin(), wanted.end(), peer) != wanted.end();
    const bool may_close = link.peer && (!link.is_seed || link.are_members_known);
    const bool is_duplicate =
      link.peer && link.is_outgoing && has_incoming_duplicate(id, *link.peer);
    if (link.is_outgoing && (!is_wanted || is_duplicate) && may_close) {
      unwanted.push_back(id);
    }
  }
  update_parent();
  for (const link_id id : unwanted) {
    drop_link(id, true);
  }
  if (plan_.role == node_role::hub) {
    probe_seeds();
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
    // The former parent may propagate outdated records of this node, for example a tombstone. A
    // higher sequence supersedes them.
    if (had_parent_) {
      propagate(members_.republish_own(now_), std::nullopt);
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

} // namespace shallotfield
