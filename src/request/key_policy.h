// Decides which node is the home of an idempotency key, and whether the home may run a request with
// the key. All requests with one key go to its home, which makes sure that they run at most once.
// To run a key means to run a request with it.
#pragma once
#include "connection/connection.h"

#include <string>
#include <variant>
#include <vector>

namespace shallotfield {

/** Largest difference between the clocks of two machines under which a key is guaranteed to run at
 * most once. */
inline constexpr unix_ms CLOCK_SKEW_MAX_MS = 2000;

/**
 * Returns the creation time that an idempotency key contains, or nothing if the key is not valid.
 * @param key A UUID of version 7 (RFC 9562), as text.
 */
std::optional<unix_ms>
key_created_at(const std::string& key);

/**
 * Returns the rank of a node for a key, by rendezvous hashing. The eligible server with the highest
 * rank is the home of the key; see find_home. The result must be the same on all nodes, whatever
 * their build.
 */
std::uint64_t
key_rank(const std::string& key, const node_id& node);

/**
 * Returns whether operators took a server out of service. `blocked` are the blocked servers of the
 * configuration version, sorted.
 */
bool
is_blocked(const std::vector<node_id>& blocked, const node_id& node);

/**
 * Returns the servers that can be homes of keys. These are the live servers of a service, without
 * the blocked ones and, while a region is partitioned off, without those that the region may not
 * know of. `blocked` are the blocked servers of the configuration version, sorted.
 */
std::vector<const member_record*>
eligible_servers(const member_view& view,
                 const service_id& service,
                 const std::vector<node_id>& blocked);

/**
 * Returns those of the live servers of a service that are not blocked. `blocked` are the blocked
 * servers of the configuration version, sorted.
 */
std::vector<const member_record*>
without_blocked(const std::vector<const member_record*>& servers,
                const std::vector<node_id>& blocked);

/**
 * Returns the home of a key, or nullptr if there are no servers. `servers` are the servers that can
 * be homes; see eligible_servers.
 */
const member_record*
find_home(const std::string& key, const std::vector<const member_record*>& servers);

/**
 * Returns whether a process that started at `started` can rule out that its node has run a key. It
 * cannot do so for keys that are older than the process, because an earlier process of the node may
 * have run them.
 */
bool
can_rule_out_execution(const std::string& key, unix_ms started);

/** The key may run here: no other node can have run it. */
struct key_allowed
{
  bool operator==(const key_allowed&) const = default;
};

/** Possible former homes must confirm first that the key has not run there and never will. */
struct key_confirmation_needed
{
  std::vector<node_id> former; ///< The nodes to ask.
  bool operator==(const key_confirmation_needed&) const = default;
};

/** The key must not run here. */
struct key_denied
{
  failure_reason reason; ///< Why it must not run.
  bool operator==(const key_denied&) const = default;
};

using key_permission = std::variant<key_allowed, key_confirmation_needed, key_denied>;

/** Time limits for keys. */
struct key_limits
{
  std::int64_t window_ms; ///< How long keys are stored. Older keys are refused.
  std::int64_t settle_ms; ///< Time after which every node knows of a change of the members.
};

/**
 * Returns whether this node may run a key that it has not seen before, must have it confirmed by
 * others first, or must not run it. It may run the key if neither another node nor an earlier
 * process of this node can have run it:
 * - The node must hold a lease, and must be the home of the key in its own view of the members. A
 *   node that is partitioned off loses its lease, and stops running keys, before other nodes
 *   declare it gone.
 * - A key that is older than this process is refused, as an earlier process may have run it.
 * - Another server may have been the home in an older view of the members. This concerns servers
 *   that rank higher than this node but have left or are not eligible. It concerns all servers if
 *   the key was created before every node knew of this one. A server that left cannot have run the
 *   key if the key was created after every node knew of that. Every other of these servers, whether
 *   it left or is live, must confirm that it has not run the key. If it is gone, nobody can confirm
 *   this, and the key is refused.
 *
 * `blocked` are the blocked servers of the configuration version in force here, sorted. `has_lease`
 * says whether this node holds a lease, which it gets while it is connected to the fleet.
 */
key_permission
decide_key(const member_view& view,
           const node_id& self,
           const service_id& service,
           const std::string& key,
           const std::vector<node_id>& blocked,
           bool has_lease,
           unix_ms now,
           const key_limits& limits);

} // namespace shallotfield
