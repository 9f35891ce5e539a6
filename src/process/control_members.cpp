// The control state of a node: propagation of member records, and detection of dead members.
#include "control_base.h"

namespace shallotfield {

void
control::propagate(const std::optional<member_record>& record, std::optional<link_id> source)
{
  if (!record) {
    return;
  }
  view_changed_ = true;
  missing_since_.erase(record->id);
  if (record->id != self_) {
    emit_log_line(log_event::member_changed,
                  { { "member", record->id },
                    { "state", enum_name(record->state) },
                    { "service", record->server.service },
                    { "server", enum_name(record->server.state) } });
  }
  for (auto& [id, link] : links_) {
    if (id != source) {
      link.unsent_members.insert(record->id);
    }
  }
}

void
control::on_message(link_id id, const members_message& message)
{
  for (const member_record& record : message.records) {
    propagate(members_.merge(record, now_), id);
  }
  peer_link& link = links_.at(id);
  link.needs_members = link.needs_members || message.wants_full_set;
  if (message.is_full_set) {
    // The peer gets the records that are missing or older in its list.
    std::map<node_id, const member_record*> theirs;
    for (const member_record& record : message.records) {
      theirs[record.id] = &record;
    }
    for (const auto& [held_id, held] : members_.records()) {
      const auto found = theirs.find(held_id);
      if (found == theirs.end() || is_newer(held, *found->second)) {
        link.unsent_members.insert(held_id);
      }
    }
  }
  link.are_members_known = link.are_members_known || message.is_full_set;
  is_joined_ = is_joined_ || message.is_full_set;
  replan();
}

void
control::send_all_members(link_id id, peer_link& link)
{
  link.needs_members = false;
  link.unsent_members.clear();
  members_message message;
  message.is_full_set = true;
  for (const auto& [held_id, record] : members_.records()) {
    message.records.push_back(record);
  }
  send(id, std::move(message));
}

void
control::send_member_updates()
{
  std::size_t transfers = 0;
  for (auto& [id, link] : links_) {
    if (!link.peer || !link.is_open) {
      continue;
    }
    if (link.needs_members && transfers < FULL_TRANSFERS_PER_TICK) {
      ++transfers;
      send_all_members(id, link);
    }
    if (!link.unsent_members.empty()) {
      members_message message;
      for (const node_id& changed : link.unsent_members) {
        const auto record = members_.records().find(changed);
        if (record != members_.records().end()) {
          message.records.push_back(record->second);
        }
      }
      link.unsent_members.clear();
      send(id, std::move(message));
    }
  }
  if (view_changed_) {
    view_changed_ = false;
    add(apply_members{
      members_.build_view({ is_partitioned_, earliest_partition_start_, healed_at_ }) });
  }
}

void
control::expire_missing_members()
{
  std::vector<node_id> expired;
  for (const auto& [id, since] : missing_since_) {
    if (now_.mono - since > options_.gone_after_ms) {
      expired.push_back(id);
    }
  }
  for (const node_id& id : expired) {
    missing_since_.erase(id);
    const std::optional<link_id> link = find_link(id);
    const bool is_back = link && links_.at(*link).peer;
    if (!is_back) {
      propagate(members_.mark_gone(id, now_), std::nullopt);
    }
  }
}

void
control::start_missing_timer(const node_id& id)
{
  const std::optional<link_id> link = find_link(id);
  if (!link || !links_.at(*link).peer) {
    missing_since_.try_emplace(id, now_.mono);
  }
}

void
control::check_expected_links()
{
  // After a change of role the peers need some time to open their links.
  const bool has_settled = is_joined_ && now_.mono - role_since_ > options_.gone_after_ms / 2;
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
    const bool is_unlinked_zone =
      plan_.role == node_role::hub && !linked_zones.contains(record.zone);
    if (is_own_zone || is_relay_of_zone || is_unlinked_zone) {
      start_missing_timer(id);
    }
  }
}

} // namespace shallotfield
