// Server selection at an edge: decides which backend server a request is sent to, by distance, and
// by the load and failures that this traffic thread has seen. Edges belong to control_thread nodes;
// a proxy_node uses server_choice_policy.h.
#pragma once
#include "route_policy.h"

#include <map>
#include <set>

namespace shallotfield {

/** Statistics of one traffic thread about one server. */
struct server_stats
{
  std::uint32_t in_flight = 0; ///< Requests that this thread has in flight to the server.
  double latency_ms = 0;       ///< Moving average of the time to the head of a response; 0 if none.
  mono_ms latency_updated_at = 0; ///< When the average was updated.
  load_report load;               ///< Latest load report.
  mono_ms load_received_at = 0;   ///< When the load report arrived.
  std::uint32_t failures = 0;     ///< Consecutive failures.
  mono_ms ejected_until = 0;      ///< The server is ejected until this time.
};

/** Statistics of one traffic thread about all servers. */
class server_stats_table
{
public:
  /** Records that a request was sent to a server. */
  void record_sent(const node_id& node);

  /** Records that a request ended, successfully or not. */
  void record_ended(const node_id& node);

  /**
   * Records a response of a server, which ends its ejection. `latency_ms` is the time since the
   * request was sent, and `load` is the load report that came with the response.
   */
  void record_response(const node_id& node,
                       double latency_ms,
                       const load_report& load,
                       mono_ms now);

  /** Records a load report, without counting a response or a failure. */
  void record_load(const node_id& node, const load_report& load, mono_ms now);

  /** Records a failure of a server or of the connection to it. Returns whether this ejected the
   * server. */
  bool record_failure(const node_id& node, mono_ms now);

  /** Removes the servers that are no longer members and have no request in flight. */
  void remove_departed(const member_view& view);

  /** Returns the statistics of a server, with initial values if there are none. */
  const server_stats& stats(const node_id& node) const;

private:
  std::map<node_id, server_stats> servers_; ///< Statistics by node.
};

/** Why a server was picked. "Best of two" means the better one of two drawn at random. */
enum class pick_reason
{
  same_zone,    ///< Best of two in the zone of this node.
  same_region,  ///< The zone has no free server; best of two in the region.
  other_region, ///< The region has no free server; best of two in other regions.
  none_free,    ///< No server is free; best of two among the nearest.
  key_home,     ///< The server is the home of the idempotency key.
};

inline constexpr enum_table<pick_reason, 5> PICK_REASON_ROWS = { {
  { pick_reason::same_zone, "same_zone" },
  { pick_reason::same_region, "same_region" },
  { pick_reason::other_region, "across" },
  { pick_reason::none_free, "crowded" },
  { pick_reason::key_home, "key_home" },
} };
static_assert(is_complete(PICK_REASON_ROWS, pick_reason::key_home));

/** Returns the name table of pick reasons, as they appear in the log. */
constexpr const auto&
enum_rows(pick_reason)
{
  return PICK_REASON_ROWS;
}

/** The server that was picked. */
struct pick_decision
{
  const member_record* server = nullptr;       ///< Node of the server; owned by the view.
  pick_reason reason = pick_reason::none_free; ///< Why it was picked.
};

/** The request for which a server is picked. */
struct pick_request
{
  service_id service; ///< Service that the request is routed to.
  /** Class of the request. Bulk requests go to another region only if no server in their own can be
   * picked. */
  work_class kind = work_class::interactive;
  std::string key;            ///< Idempotency key; empty if there is none.
  std::set<node_id> excluded; ///< Nodes that the request was already sent to.
};

/**
 * Picks a server, or returns nothing if no server may run the request. The nearest servers that
 * have a free slot come first. Among servers at the same distance, two are drawn at random and the
 * one with the lower cost is picked (power of two choices). A request with an idempotency key
 * always goes to the home of the key. `version` is the configuration version with which the request
 * began, and `stats_table` holds the statistics of this thread about the servers.
 */
std::optional<pick_decision>
pick_server(const compiled_version& version,
            const member_view& view,
            const server_stats_table& stats_table,
            const node_id& self,
            const pick_request& request,
            mono_ms now,
            random_source& random);

} // namespace shallotfield
