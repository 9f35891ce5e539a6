// Server selection at a proxy: decides which backend server a request is sent to, by distance, and
// by the load and failures that the proxy has seen or that the servers' nodes report. It handles
// zones that are full while others have capacity, servers of unequal speed, and servers that fail a
// part of their requests. A proxy_node uses this choice; the edges of control_thread nodes use
// pick_policy.h.
#pragma once
#include "connection/connection.h"
#include "pick_policy.h"
#include "zone_spill_policy.h"

#include <array>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>

namespace shallotfield {

/** Load and health of one server, as one proxy knows them. */
struct tracked_server
{
  std::uint32_t in_flight = 0;         ///< Requests that this proxy has in flight to the server.
  load_report load;                    ///< Latest load report of the server's node.
  std::uint32_t sent_since_report = 0; ///< Requests sent by this proxy since that report.
  mono_ms load_received_at = 0;        ///< When the load report arrived.
  std::uint64_t boot_id = 0;           ///< Process that sent the latest beacon.
  std::uint64_t sequence = 0;          ///< Sequence number of the latest beacon.
  double failure_rate = 0;             ///< Moving average of the fraction of requests that failed.
  mono_ms last_failed_at = 0;          ///< When the latest request failed.
  mono_ms unreachable_until = 0; ///< The node was unreachable; it is a last resort until this time.
  mono_ms full_until = 0;        ///< The node had no capacity; it is not asked until this time.
  std::int64_t full_priority = 0; ///< Highest priority that was refused; requests with a higher one
                                  ///< are still sent.
  std::int64_t wait_ms = 0;       ///< Time after which there may be capacity, as the node said.
};

/** Tracks load and health of all servers for one proxy. */
class server_tracker
{
public:
  /** Records that a request was sent to a server. */
  void record_sent(const node_id& node);
  /** Records that a request ended, successfully or not. */
  void record_ended(const node_id& node);
  /** Records a load report. */
  void record_load(const node_id& node, const load_report& load, mono_ms now);
  /** Records the load report in a beacon, unless the beacon was seen before or a response brought a
   * newer report. */
  void record_beacon(const node_beacon& node, mono_ms now);
  /** Records whether a request to a server failed. */
  void record_result(const node_id& node, bool is_failure, mono_ms now);
  /**
   * Records that a server has no capacity for requests of a priority, and of lower ones. `priority`
   * is that of the request that was refused, and `wait_ms` is the time after which there may be
   * capacity.
   */
  void record_full(const node_id& node, std::int64_t priority, std::int64_t wait_ms, mono_ms now);
  /** Records that a server gets no requests for `wait_ms`, because it rejected the latest ones. */
  void record_closed(const node_id& node, std::int64_t wait_ms, mono_ms now);
  /** Records that a node could not be reached. */
  void record_unreachable(const node_id& node, mono_ms now);
  /** Returns what is known of a server, which is the initial state if it is not tracked. */
  const tracked_server& at(const node_id& node) const;
  /** Removes the nodes that are no longer live and have no request in flight. */
  void remove_departed(const peer_view& view);

private:
  std::unordered_map<node_id, tracked_server> tracked_; ///< Servers by node.
};

/** Distance of a server from this proxy, nearest first. */
enum class server_distance
{
  same_node,    ///< The server of this node.
  same_zone,    ///< Another node in the same availability zone.
  same_region,  ///< Another availability zone of the same region.
  other_region, ///< Another region.
};

inline constexpr enum_table<server_distance, 4> SERVER_DISTANCE_ROWS = { {
  { server_distance::same_node, "same_node" },
  { server_distance::same_zone, "same_zone" },
  { server_distance::same_region, "same_region" },
  { server_distance::other_region, "far" },
} };
static_assert(is_complete(SERVER_DISTANCE_ROWS, server_distance::other_region));

/** Returns the name table of server distances. */
constexpr const auto&
enum_rows(server_distance)
{
  return SERVER_DISTANCE_ROWS;
}

/**
 * The servers that take work, by service and distance. Built whenever the view changes, so that the
 * choice for a request doesn't depend on the size of the fleet.
 */
class server_index
{
public:
  /** The servers of one service, by distance. */
  using distance_lists = std::array<std::vector<const node_beacon*>, SERVER_DISTANCE_ROWS.size()>;

  server_index() = default;

  /** `view` holds the live nodes, including this one, which is `self`. The index refers to the
   * nodes of the view, which must live as long. */
  server_index(const peer_view& view, const node_beacon& self)
    : server_index(view, self, [](const node_beacon&) { return true; })
  {
  }

  /** The same with those servers only that `is_included` accepts. */
  server_index(const peer_view& view,
               const node_beacon& self,
               const std::function<bool(const node_beacon&)>& is_included);

  /** Returns the servers of a service, or nullptr if there are none. The order within a list has no
   * meaning, so that a draw may change it. */
  distance_lists* find(const service_id& service);

private:
  std::unordered_map<service_id, distance_lists> by_service_;
};

/** The request for which a server is chosen. */
struct choice_request
{
  service_id service;         ///< Service that the request is routed to.
  std::set<node_id> excluded; ///< Nodes that the request was already sent to.
  std::int64_t priority = 0;  ///< Priority; 0 is the highest.
  double expected_bytes = 0;  ///< Expected size of the request and its response together.
  /** Average service time in the fleet, as a fraction of the latency objective; 0 if unknown. */
  double objective_fraction = 0;
  /** Latency objective of a download; 0 for other requests, or if there is none. Only responses to
   * downloads wait for the link of a server's VM. */
  double bulk_objective_ms = 0;
  /** Returns whether the link to another region has capacity. If unset, all links have. */
  std::function<bool(const std::string&)> has_region_capacity;
  double objective_ms = 0;     ///< Latency objective; 0 if there is none.
  zone_spill* spill = nullptr; ///< Limits what leaves the zone; null: each request goes to the
                               ///< server with the lowest score.
  traffic_prices prices = {};  ///< Prices of the bytes if `spill` is set.
};

/** No server was chosen, because those that could run the request are full at present. */
struct no_capacity
{
  std::int64_t wait_ms = 0; ///< Shortest time after which a server may have capacity.
};

/** No server was chosen, because none may run the request. */
struct no_candidate
{};

/** The server that was chosen. */
struct server_choice
{
  const node_beacon* node = nullptr;                     ///< Node of the server; owned by the view.
  server_distance distance = server_distance::same_zone; ///< Distance of the server.
  double score = 0;                                      ///< Score of the server; lower is better.
  leave_reason reason = leave_reason::sooner;            ///< Why it is elsewhere, if it is.
};

using choice_result = std::variant<server_choice, no_capacity, no_candidate>;

/**
 * Chooses the server with the lowest score among a random sample of the candidates, or returns the
 * reason why there is none.
 */
choice_result
choose_server(server_index& servers,
              const server_tracker& tracker,
              const choice_request& request,
              mono_ms now,
              random_source& random);

/**
 * Chooses the server for the next trial of a request that is rejected, or returns nothing if no
 * server takes work. All proxies that see the same servers choose the same one. `latest_trial` is
 * the id of the trial before, so that each trial is likely to have another server.
 */
std::optional<server_choice>
choose_trial_server(server_index& servers,
                    const service_id& service,
                    const request_digest& request,
                    std::uint64_t latest_trial);

} // namespace shallotfield
