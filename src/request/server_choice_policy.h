// Which backend server a proxy sends a request to: near ones first, by what this proxy sees of them
// and by what their nodes report. Answers the patterns of a zone that is full while others have
// room, of servers of unequal speed, and of servers that fail a share of their requests.
#pragma once
#include "connection/connection.h"
#include "pick_policy.h"

#include <functional>
#include <optional>
#include <set>
#include <unordered_map>

namespace shallotfield {

/** What one proxy sees of a server. */
struct tracked_server
{
  std::uint32_t in_flight = 0;         ///< Requests of this proxy that are there.
  load_report load;                    ///< What the server's node reported last.
  std::uint32_t sent_since_report = 0; ///< Requests sent since that report.
  mono_ms load_received_at = 0;        ///< When the report arrived.
  std::uint64_t boot_id = 0;           ///< Process of the latest beacon.
  std::uint64_t sequence = 0;          ///< Number of the latest beacon.
  double failure_rate = 0;             ///< Recent share of requests that failed there.
  mono_ms last_failed_at = 0;          ///< When the latest failed.
  mono_ms unreachable_until = 0; ///< The node couldn't be reached; not to be tried until then.
  mono_ms full_until = 0;        ///< The node refused for want of room; not to be asked until then.
  std::int64_t full_priority = 0; ///< Rank of that request; more urgent ones may be asked for.
  std::int64_t wait_ms = 0;       ///< Time after which there may be room, as the node said.
};

/** What one proxy sees of all servers. */
class server_tracker
{
public:
  /** Notes that a request was sent. */
  void record_sent(const node_id& node);
  /** Notes that a request ended, in whatever way. */
  void record_ended(const node_id& node);
  /** Notes a report. */
  void record_load(const node_id& node, const load_report& load, mono_ms now);
  /** Notes the figures of a node's beacon, unless it was seen already or an answer brought later
   * ones. */
  void record_beacon(const node_beacon& node, mono_ms now);
  /** Notes whether the server answered properly. */
  void record_result(const node_id& node, bool is_failure, mono_ms now);
  /** Notes that the node has no room for requests of a rank and less urgent ones. @param priority
   * The rank. @param wait_ms Time after which there may be room. */
  void record_full(const node_id& node, std::int64_t priority, std::int64_t wait_ms, mono_ms now);
  /** Notes that the node can't be reached. */
  void record_unreachable(const node_id& node, mono_ms now);
  /** @return What is seen of a server. */
  const tracked_server& at(const node_id& node) const;
  /** Forgets nodes that are gone. */
  void remove_departed(const peer_view& view);

private:
  std::unordered_map<node_id, tracked_server> tracked_; ///< By node.
};

/** How far a server is from this proxy. */
enum class server_distance
{
  same_node,    ///< Beside this proxy.
  same_zone,    ///< In the same availability zone.
  same_region,  ///< In another zone of the region.
  other_region, ///< In another region.
};

inline constexpr enum_table<server_distance, 4> SERVER_DISTANCE_ROWS = { {
  { server_distance::same_node, "same_node" },
  { server_distance::same_zone, "same_zone" },
  { server_distance::same_region, "same_region" },
  { server_distance::other_region, "far" },
} };
static_assert(is_complete(SERVER_DISTANCE_ROWS, server_distance::other_region));

/** @return The name table of distances. */
constexpr const auto&
enum_rows(server_distance)
{
  return SERVER_DISTANCE_ROWS;
}

/** What a request asks of a server. */
struct choice_request
{
  service_id service;            ///< The service.
  std::set<node_id> excluded;    ///< Nodes that the request was at already.
  std::int64_t priority = 0;     ///< Its rank; 0 is the highest.
  double expected_bytes = 0;     ///< Request and answer together, as such ones had.
  double objective_fraction = 0; ///< Usual time on a slot, as a part of the time until the
                                 ///< objective; 0: not known.
  std::function<bool(const std::string&)>
    has_region_capacity; ///< Whether the way to another region has room; not set: it has.
};

/** No server has room for a request just now. */
struct no_capacity
{
  std::int64_t wait_ms = 0; ///< Shortest time after which one may, as its node said.
};

/** No server may take a request. */
struct no_candidate
{};

/** A chosen server. */
struct server_choice
{
  const node_beacon* node = nullptr;                     ///< Its node; lives as long as the view.
  server_distance distance = server_distance::same_zone; ///< How far it is.
  double score = 0;                                      ///< Its expected load; less is better.
};

using choice_result = std::variant<server_choice, no_capacity, no_candidate>;

/**
 * Chooses a server.
 * @param view The nodes that live, this one included.
 * @param self This node.
 * @param sights What this proxy sees of the servers.
 * @param request What is asked for.
 * @param now Current time.
 * @param random Random numbers.
 * @return The choice, or why there is none.
 */
choice_result
choose_server(const peer_view& view,
              const node_beacon& self,
              const server_tracker& tracker,
              const choice_request& request,
              mono_ms now,
              random_source& random);

} // namespace shallotfield
