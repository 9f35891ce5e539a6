// Assigns roles in the distribution tree.
#include "role_policy.h"

#include <tuple>

namespace shallotfield {

const member_record*
find_leader(const std::map<node_id, member_record>& members,
            const std::string& region,
            const std::string& zone,
            const std::set<node_id>& unreachable)
{
  const auto rank = [](const member_record& record) {
    return std::tuple(
      record.state != member_state::alive, record.incarnation, std::string_view(record.id));
  };
  const member_record* leader = nullptr;
  for (const auto& [id, record] : members) {
    const bool is_candidate = record.region == region && (zone.empty() || record.zone == zone) &&
                              !is_tombstone(record) && !unreachable.contains(id);
    if (is_candidate && (leader == nullptr || rank(record) < rank(*leader))) {
      leader = &record;
    }
  }
  return leader;
}

role_plan
plan_role(const std::map<node_id, member_record>& members,
          const node_id& self,
          const std::set<node_id>& unreachable)
{
  const member_record& own = members.at(self);
  const member_record* hub = find_leader(members, own.region, "", unreachable);
  const member_record* zone_leader = find_leader(members, own.region, own.zone, unreachable);
  if (hub != nullptr && hub->id != self) {
    if (zone_leader != nullptr && zone_leader->id != self) {
      return { node_role::member, zone_leader->id, {} };
    }
    return { node_role::relay, hub->id, {} };
  }
  role_plan plan{ node_role::hub, std::nullopt, {} };
  std::set<std::string> regions;
  for (const auto& [id, record] : members) {
    if (record.region != own.region && !is_tombstone(record)) {
      regions.insert(record.region);
    }
  }
  for (const std::string& region : regions) {
    if (const member_record* leader = find_leader(members, region, "", unreachable)) {
      plan.remote_hubs.push_back(leader->id);
    }
  }
  return plan;
}

} // namespace shallotfield
