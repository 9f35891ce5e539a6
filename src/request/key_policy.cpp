// Implements the placement of idempotency keys and the decision whether a home may run them.
#include "key_policy.h"

#include <QCryptographicHash>
#include <QUuid>
#include <QtEndian>

namespace shallotfield {

/** Version of UUIDs that begin with a Unix time in ms. */
static constexpr unsigned UUID_TIME_ORDERED_VERSION = 7;

std::optional<unix_ms>
key_created_at(const std::string& key)
{
  const QUuid uuid = QUuid::fromString(QString::fromStdString(key));
  if (uuid.isNull() || (uuid.data3 >> 12U) != UUID_TIME_ORDERED_VERSION) {
    return std::nullopt;
  }
  return (static_cast<unix_ms>(uuid.data1) << 16U) | uuid.data2;
}

std::uint64_t
key_rank(const std::string& key, const node_id& node)
{
  const QByteArray text = QByteArray::fromStdString(key + "/" + node);
  const QByteArray hash = QCryptographicHash::hash(text, QCryptographicHash::Sha1);
  return qFromBigEndian<quint64>(hash.constData());
}

bool
is_blocked(const std::vector<node_id>& blocked, const node_id& node)
{
  return std::binary_search(blocked.begin(), blocked.end(), node);
}

std::vector<const member_record*>
without_blocked(const std::vector<const member_record*>& servers,
                const std::vector<node_id>& blocked)
{
  std::vector<const member_record*> usable;
  for (const member_record* server : servers) {
    if (!is_blocked(blocked, server->id)) {
      usable.push_back(server);
    }
  }
  return usable;
}

std::vector<const member_record*>
eligible_servers(const member_view& view,
                 const service_id& service,
                 const std::vector<node_id>& blocked)
{
  const auto members = view.services.find(service);
  if (members == view.services.end()) {
    return {};
  }
  std::vector<const member_record*> servers = without_blocked(members->second.servers, blocked);
  std::erase_if(servers, [&](const member_record* server) {
    return members->second.live_since.at(server->id) >= view.home_eligible_before;
  });
  return servers;
}

const member_record*
find_home(const std::string& key, const std::vector<const member_record*>& servers)
{
  const member_record* home = nullptr;
  std::uint64_t best_rank = 0;
  for (const member_record* server : servers) {
    const std::uint64_t rank = key_rank(key, server->id);
    if (home == nullptr || rank > best_rank) {
      home = server;
      best_rank = rank;
    }
  }
  return home;
}

bool
can_rule_out_execution(const std::string& key, unix_ms started)
{
  const std::optional<unix_ms> created_at = key_created_at(key);
  return created_at && *created_at > started + CLOCK_SKEW_MAX_MS;
}

/** Whether a former server may have run a key. */
enum class former_home_state
{
  ruled_out,    ///< It cannot have run the key.
  must_confirm, ///< It may have run the key; it still runs and must be asked.
  unresolved,   ///< It may have run the key and is gone, so it cannot be asked.
};

/** Determines whether a server that left the service at a given time may have run a key. */
static former_home_state
classify_former_home(const member_view& view,
                     const node_id& id,
                     unix_ms stopped_at,
                     unix_ms created_at,
                     const key_limits& limits)
{
  const auto record = view.members.find(id);
  if (created_at > stopped_at + limits.settle_ms) {
    return former_home_state::ruled_out;
  }
  const bool is_gone = record == view.members.end() || is_tombstone(record->second);
  return is_gone ? former_home_state::unresolved : former_home_state::must_confirm;
}

key_permission
decide_key(const member_view& view,
           const node_id& self,
           const service_id& service,
           const std::string& key,
           const std::vector<node_id>& blocked,
           bool has_lease,
           unix_ms now,
           const key_limits& limits)
{
  const std::optional<unix_ms> created_at = key_created_at(key);
  if (!created_at || *created_at > now + CLOCK_SKEW_MAX_MS) {
    return key_denied{ failure_reason::key_malformed };
  }
  // A key must be refused before its entry is dropped from the table, also if the clock of the
  // caller that created it is ahead.
  if (*created_at < now - limits.window_ms + CLOCK_SKEW_MAX_MS) {
    return key_denied{ failure_reason::key_expired };
  }
  if (!has_lease) {
    return key_denied{ failure_reason::stale };
  }
  const auto members = view.services.find(service);
  if (members == view.services.end() || !members->second.live_since.contains(self)) {
    return key_denied{ failure_reason::key_moved };
  }
  if (is_blocked(blocked, self)) {
    return key_denied{ failure_reason::blocked };
  }
  const member_record* home = find_home(key, eligible_servers(view, service, blocked));
  if (home == nullptr || home->id != self) {
    return key_denied{ failure_reason::key_moved };
  }
  unix_ms own_live_since = members->second.live_since.at(self);
  if (own_live_since >= view.earliest_partition_start) {
    // This server may have gone live during the latest partition, which is over, since the server
    // would not be eligible otherwise. The partitioned region heard of it only after the end.
    own_live_since = std::max(own_live_since, view.healed_at);
  }
  const auto process_start = static_cast<unix_ms>(view.members.at(self).incarnation);
  if (!can_rule_out_execution(key, process_start)) {
    return key_denied{ failure_reason::key_unresolved };
  }
  const bool may_predate_self = *created_at <= own_live_since + limits.settle_ms;
  const std::uint64_t own_rank = key_rank(key, self);
  key_confirmation_needed confirmation;
  for (const auto& [id, stopped_at] : members->second.stopped_at) {
    // A server with a lower rank can have been the home only in the view of a node that did not
    // know of this node yet.
    if (id == self || (!may_predate_self && key_rank(key, id) < own_rank)) {
      continue;
    }
    switch (classify_former_home(view, id, stopped_at, *created_at, limits)) {
      case former_home_state::ruled_out:
        break;
      case former_home_state::must_confirm:
        confirmation.former.push_back(id);
        break;
      case former_home_state::unresolved:
        return key_denied{ failure_reason::key_unresolved };
    }
  }
  for (const member_record* server : members->second.servers) {
    // A server with a higher rank is not eligible, or else it would be the home.
    const bool ranks_higher = key_rank(key, server->id) > own_rank;
    if (server->id != self && (may_predate_self || ranks_higher)) {
      confirmation.former.push_back(server->id);
    }
  }
  if (confirmation.former.empty()) {
    return key_allowed{};
  }
  return confirmation;
}

} // namespace shallotfield
