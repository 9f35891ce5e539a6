// Assigns roles in the distribution tree. Every node ranks the members by the same rule, so that
// nodes with the same member records come to the same result without an election. While records
// differ, two nodes may hold the same role, which is harmless.
#pragma once
#include "control_type.h"

#include <set>

namespace shallotfield {

/** Role of a node and the peers that it should have links to. */
struct role_plan
{
  node_role role = node_role::hub;  ///< Role of this node.
  std::optional<node_id> parent;    ///< Peer that it receives configuration from; none for a hub.
  std::vector<node_id> remote_hubs; ///< For a hub: the hubs of the other regions.
  bool operator==(const role_plan&) const = default;
};

/**
 * Selects the leader of an availability zone, or of the whole region if `zone` is empty: the node
 * that has been running longest, with draining nodes ranked last. Tombstones and the nodes in
 * `unreachable` are skipped. Returns nullptr if no node is left; the pointer refers into `members`.
 */
const member_record*
find_leader(const std::map<node_id, member_record>& members,
            const std::string& region,
            const std::string& zone,
            const std::set<node_id>& unreachable);

/**
 * Determines role and links of the node `self`. The leader of a region is its hub; the leader of
 * each zone other than the hub's is a relay. Nodes in `unreachable` are not considered for any
 * role.
 */
role_plan
plan_role(const std::map<node_id, member_record>& members,
          const node_id& self,
          const std::set<node_id>& unreachable);

} // namespace shallotfield
