// Request keys: which node is the home of a key, and whether a home may run it.
#pragma once
#include "connection/connection.h"

#include <string>
#include <variant>
#include <vector>

namespace shallotfield {

/** Largest difference between two machines' clocks, in ms, under which the promise holds. */
inline constexpr unix_ms CLOCK_SKEW_MAX_MS = 2000;

/**
 * Reads the time in a request key.
 * @param key A UUID of version 7 (RFC 9562), as text.
 * @return When the key was made; or nothing if it is no such UUID.
 */
std::optional<unix_ms>
key_created_at(const std::string& key);

/**
 * Ranks a node for a key; the live server with the highest rank is the key's home. All builds rank
 * alike.
 * @param key The key.
 * @param node The node.
 * @return The rank.
 */
std::uint64_t
key_rank(const std::string& key, const node_id& node);

/**
 * Tells whether operators took a server out of service.
 * @param blocked The version's blocked servers, in order.
 * @param node The node beside the server.
 * @return Whether it is blocked.
 */
bool
is_blocked(const std::vector<node_id>& blocked, const node_id& node);

/**
 * Leaves out servers that are no homes of keys: blocked ones, and while a region is cut off, those
 * that it may not know of.
 * @param view The members.
 * @param service The service.
 * @param blocked The version's blocked servers, in order.
 * @return The servers among which the home is.
 */
std::vector<const member_record*>
eligible_servers(const member_view& view,
                 const service_id& service,
                 const std::vector<node_id>& blocked);

/**
 * Leaves out blocked servers.
 * @param servers The live servers of a service.
 * @param blocked The version's blocked servers, in order.
 * @return The servers that may take work.
 */
std::vector<const member_record*>
without_blocked(const std::vector<const member_record*>& servers,
                const std::vector<node_id>& blocked);

/**
 * Finds the home of a key.
 * @param key The key.
 * @param servers The live servers of the service that are not blocked.
 * @return The home, or nullptr if there is no live server.
 */
const member_record*
find_home(const std::string& key, const std::vector<const member_record*>& servers);

/**
 * Tells whether a process can promise that it did not run a key: it can't for keys from before it
 * started, which an earlier process of its node may have run.
 * @param key The key.
 * @param started When the process started, Unix ms.
 * @return Whether it can.
 */
bool
can_rule_out_execution(const std::string& key, unix_ms started);

/** The key can run here as far as the members tell. */
struct key_allowed
{
  bool operator==(const key_allowed&) const = default;
};

/** Former homes have to promise first that it did not run there and never will. */
struct key_confirmation_needed
{
  std::vector<node_id> former; ///< Whom to ask.
  bool operator==(const key_confirmation_needed&) const = default;
};

/** The key must not run here. */
struct key_denied
{
  failure_reason reason; ///< Why.
  bool operator==(const key_denied&) const = default;
};

using key_permission = std::variant<key_allowed, key_confirmation_needed, key_denied>;

/** How long keys count. */
struct key_limits
{
  std::int64_t window_ms; ///< How long keys are remembered.
  std::int64_t settle_ms; ///< Time in which every node learns of a change of members.
};

/**
 * Decides whether this node may run a key that it has not seen before. It may if no other node, and
 * no earlier process of its own, can have run it:
 * - The node has to be in touch with the fleet, and be the home by its own view.
 * - A key made before this process started may have been with an earlier process.
 * - Former servers that rank higher, and others if this one is new, may have been the home under an
 *   older view, unless the key is younger than the time in which every node has learned of the
 *   change. Those that still run are asked; where one is gone, nobody can show that it has not run
 *   the key. A node that is cut off stops to run keys before others call it gone.
 * @param view The members.
 * @param self This node.
 * @param service The service.
 * @param key The key.
 * @param blocked The blocked servers of the version in force here, in order.
 * @param has_lease Whether the node holds a lease that says it is in touch with the fleet.
 * @param now Current Unix time.
 * @param limits How long keys count.
 * @return The permission.
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
