// Which duties a node has, and which peers it links to: ranked from the members, so that every
// node works out the same. Two nodes with the same duty do no harm.
#pragma once
#include "control_type.h"

#include <set>

namespace shallotfield {

/** Duties and links of one node. */
struct role_plan
{
  node_role role = node_role::hub;  ///< Its duty.
  std::optional<node_id> parent;    ///< Peer to take configuration from; none for a hub.
  std::vector<node_id> remote_hubs; ///< For a hub: hubs of other regions to open links to.
  bool operator==(const role_plan&) const = default;
};

/**
 * Ranks the members of a region or zone for duties: the longest running first, leaving ones last.
 * @param members All members.
 * @param region The region.
 * @param zone The zone; empty: the whole region.
 * @param unreachable Nodes that this node can't reach now.
 * @return The node with the duty, or nullptr if there is none.
 */
const member_record*
find_leader(const std::map<node_id, member_record>& members,
            const std::string& region,
            const std::string& zone,
            const std::set<node_id>& unreachable);

/**
 * Works out duties and links.
 * @param members All members.
 * @param self This node.
 * @param unreachable Nodes that this node can't reach now.
 * @return The plan.
 */
role_plan
plan_role(const std::map<node_id, member_record>& members,
          const node_id& self,
          const std::set<node_id>& unreachable);

} // namespace shallotfield
