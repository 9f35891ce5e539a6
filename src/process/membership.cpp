// Merges member records and derives the view of live and former servers from them.
#include "membership_base.h"

#include <boost/container_hash/hash.hpp>
#include <tuple>

namespace shallotfield {

/**
 * How long a tombstone is retained. It has to outlive every older record of the node that may still
 * arrive, also after a network partition, or that record would bring the node back.
 */
static constexpr unix_ms TOMBSTONE_RETENTION_MS = 24LL * 3600 * 1000;

bool
is_newer(const member_record& candidate, const member_record& held)
{
  const auto rank = [](const member_record& record) {
    return std::tuple(record.incarnation, record.sequence, record.state == member_state::gone);
  };
  return rank(candidate) > rank(held);
}

bool
is_tombstone(const member_record& record)
{
  return record.state == member_state::gone || record.state == member_state::left;
}

/** Whether the node of a record has a server that accepts requests now. */
static bool
has_live_server(const member_record& record)
{
  return record.state == member_state::alive &&
         (record.server.state == server_state::ready || record.server.state == server_state::cold);
}

membership::membership(const member_record& own, instant now)
  : own_id_(own.id)
{
  store(own, now);
}

void
membership::store(const member_record& record, instant now)
{
  const auto held = records_.find(record.id);
  const bool was_live = held != records_.end() && has_live_server(held->second);
  const bool is_same_server = held != records_.end() &&
                              held->second.incarnation == record.incarnation &&
                              held->second.server.service == record.server.service;
  if (was_live && !(is_same_server && has_live_server(record))) {
    stopped_at_[held->second.server.service][record.id] = now.unix;
    live_since_.erase(record.id);
  }
  if (has_live_server(record)) {
    live_since_.try_emplace(record.id, now.unix);
    stopped_at_[record.server.service].erase(record.id);
  } else if (!record.server.service.empty()) {
    stopped_at_[record.server.service].try_emplace(record.id, now.unix);
  }
  if (is_tombstone(record)) {
    tombstone_since_[record.id] = now.unix;
  } else {
    tombstone_since_.erase(record.id);
  }
  records_.insert_or_assign(record.id, record);
}

std::optional<member_record>
membership::merge(const member_record& record, instant now)
{
  const auto held = records_.find(record.id);
  if (held != records_.end() && !is_newer(record, held->second)) {
    return std::nullopt;
  }
  if (record.id == own_id_) {
    if (record.incarnation > held->second.incarnation) {
      // A process that started later uses the id of this node; the id belongs to that process.
      return std::nullopt;
    }
    member_record refuted = held->second;
    refuted.sequence = record.sequence + 1;
    store(refuted, now);
    // While this node was considered dead, other servers may have run requests with the idempotency
    // keys of its server.
    reset_own_live_since(now);
    return refuted;
  }
  store(record, now);
  return record;
}

std::optional<member_record>
membership::mark_gone(const node_id& id, instant now)
{
  const auto held = records_.find(id);
  if (id == own_id_ || held == records_.end() || is_tombstone(held->second)) {
    return std::nullopt;
  }
  member_record tombstone = held->second;
  tombstone.state = member_state::gone;
  store(tombstone, now);
  return tombstone;
}

std::optional<member_record>
membership::update_own(member_state state, const server_info& server, instant now)
{
  member_record record = own();
  if (record.state == state && record.server == server) {
    return std::nullopt;
  }
  record.state = state;
  record.server = server;
  ++record.sequence;
  store(record, now);
  return record;
}

std::optional<member_record>
membership::republish_own(instant now)
{
  member_record record = own();
  ++record.sequence;
  store(record, now);
  return record;
}

std::optional<unix_ms>
membership::tombstone_since(const node_id& id) const
{
  const auto found = tombstone_since_.find(id);
  return found == tombstone_since_.end() ? std::nullopt : std::optional(found->second);
}

void
membership::reset_own_live_since(instant now)
{
  if (live_since_.contains(own_id_)) {
    live_since_[own_id_] = now.unix;
  }
}

void
membership::expire_tombstones(instant now)
{
  for (auto it = tombstone_since_.begin(); it != tombstone_since_.end();) {
    if (now.unix - it->second > TOMBSTONE_RETENTION_MS) {
      records_.erase(it->first);
      for (auto& [service, nodes] : stopped_at_) {
        nodes.erase(it->first);
      }
      it = tombstone_since_.erase(it);
    } else {
      ++it;
    }
  }
}

const member_record&
membership::own() const
{
  return records_.at(own_id_);
}

std::uint64_t
membership::digest() const
{
  std::uint64_t total = 0;
  for (const auto& [id, record] : records_) {
    std::size_t seed = 0;
    boost::hash_combine(seed, id);
    boost::hash_combine(seed, record.incarnation);
    boost::hash_combine(seed, record.sequence);
    boost::hash_combine(seed, static_cast<int>(record.state));
    total ^= seed;
  }
  return total;
}

member_view_ptr
membership::build_view(const partition_state& partition) const
{
  auto view = std::make_shared<member_view>();
  view->home_eligible_before =
    partition.is_partitioned ? partition.earliest_partition_start : INT64_MAX;
  view->earliest_partition_start = partition.earliest_partition_start;
  view->healed_at = partition.healed_at;
  view->members = records_;
  for (const auto& [id, record] : view->members) {
    if (has_live_server(record)) {
      service_members& members = view->services[record.server.service];
      members.servers.push_back(&record);
      members.live_since[id] = live_since_.at(id);
    }
  }
  for (const auto& [service, nodes] : stopped_at_) {
    if (!nodes.empty()) {
      view->services[service].stopped_at = nodes;
    }
  }
  return view;
}

} // namespace shallotfield
