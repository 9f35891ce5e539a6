// Implements the server selection at an edge.
#include "pick_policy.h"
#include "key_policy.h"

#include <cmath>

namespace shallotfield {

/** Weight of the latest response in the moving average of latencies. */
static constexpr double LATENCY_EWMA_WEIGHT = 0.2;

/** Time after which a latency that was not updated counts only half. */
static constexpr double LATENCY_HALF_LIFE_MS = 5000;

/** Lower bound of a latency, which is also assumed for servers without a response yet. It is small,
 * so that new servers are tried. */
static constexpr double DEFAULT_LATENCY_MS = 1.0;

/** Age after which a load report is ignored. */
static constexpr mono_ms LOAD_REPORT_VALID_MS = 1000;

/** Number of consecutive failures that eject a server. */
static constexpr std::uint32_t EJECTION_FAILURES = 3;

/** Duration of an ejection. The server is tried again afterwards, and a single further failure
 * ejects it again. */
static constexpr mono_ms EJECTION_MS = 2000;

/** Largest percentage of the servers of a service that may be ejected at the same time. If more of
 * them are, ejections are ignored. */
static constexpr std::size_t EJECTED_SERVERS_PERCENT_MAX = 50;

void
server_stats_table::record_sent(const node_id& node)
{
  ++servers_[node].in_flight;
}

void
server_stats_table::record_ended(const node_id& node)
{
  server_stats& stats = servers_[node];
  if (stats.in_flight > 0) {
    --stats.in_flight;
  }
}

void
server_stats_table::record_response(const node_id& node,
                                    double latency_ms,
                                    const load_report& load,
                                    mono_ms now)
{
  server_stats& stats = servers_[node];
  stats.latency_ms = stats.latency_ms == 0 ? latency_ms
                                           : (1 - LATENCY_EWMA_WEIGHT) * stats.latency_ms +
                                               LATENCY_EWMA_WEIGHT * latency_ms;
  stats.latency_updated_at = now;
  stats.failures = 0;
  stats.ejected_until = 0;
  record_load(node, load, now);
}

void
server_stats_table::record_load(const node_id& node, const load_report& load, mono_ms now)
{
  server_stats& stats = servers_[node];
  stats.load = load;
  stats.load_received_at = now;
}

bool
server_stats_table::record_failure(const node_id& node, mono_ms now)
{
  server_stats& stats = servers_[node];
  ++stats.failures;
  if (stats.failures < EJECTION_FAILURES) {
    return false;
  }
  stats.ejected_until = now + EJECTION_MS;
  return true;
}

void
server_stats_table::remove_departed(const member_view& view)
{
  std::erase_if(servers_, [&view](const auto& item) {
    return item.second.in_flight == 0 && !view.members.contains(item.first);
  });
}

const server_stats&
server_stats_table::stats(const node_id& node) const
{
  static const server_stats empty_stats;
  const auto found = servers_.find(node);
  return found == servers_.end() ? empty_stats : found->second;
}

/** Estimates the number of requests at a server: the larger of the number in its latest load
 * report, if that is recent, and the number that this thread has in flight to it. */
static std::uint32_t
estimate_load(const server_stats& stats, mono_ms now)
{
  const bool is_recent =
    stats.load_received_at != 0 && now - stats.load_received_at < LOAD_REPORT_VALID_MS;
  const std::uint32_t reported = is_recent ? stats.load.running + stats.load.waiting : 0;
  return std::max(reported, stats.in_flight);
}

/** Returns whether a server is estimated to have a free slot. */
static bool
has_capacity(const member_record& server, const server_stats& stats, mono_ms now)
{
  const std::uint32_t slots = stats.load.slots > 0 ? stats.load.slots : server.server.slots;
  return estimate_load(stats, now) < slots;
}

/** Returns the expected cost of one more request to a server. Lower is better. */
static double
cost(const member_record& server, const server_stats& stats, mono_ms now)
{
  const double slots = std::max<std::uint32_t>(1, server.server.slots);
  // Old latencies lose their weight, so that a server that was slow is tried again.
  const auto age = static_cast<double>(now - stats.latency_updated_at);
  const double decayed = stats.latency_ms * std::exp2(-age / LATENCY_HALF_LIFE_MS);
  const double latency = std::max(decayed, DEFAULT_LATENCY_MS);
  return latency * (1.0 + estimate_load(stats, now) / slots);
}

using candidates = std::vector<const member_record*>;

/** Draws two servers at random and returns the one with the lower cost. */
static const member_record*
better_of_two(const candidates& from,
              const server_stats_table& stats_table,
              mono_ms now,
              random_source& random)
{
  if (from.size() == 1) {
    return from.front();
  }
  // The two must differ, since a slow server that is drawn twice would always be picked.
  const std::size_t one = std::uniform_int_distribution<std::size_t>(0, from.size() - 1)(random);
  std::size_t two = std::uniform_int_distribution<std::size_t>(0, from.size() - 2)(random);
  two += two >= one ? 1 : 0;
  const member_record* first = from[one];
  const member_record* second = from[two];
  return cost(*first, stats_table.stats(first->id), now) <=
             cost(*second, stats_table.stats(second->id), now)
           ? first
           : second;
}

/** Returns those servers of `from` that are not ejected. If more than EJECTED_SERVERS_PERCENT_MAX
 * percent of the servers in `from` are ejected, returns all of `from`, because excluding so many
 * would not help. */
static candidates
without_ejected(const candidates& from, const server_stats_table& stats_table, mono_ms now)
{
  candidates kept;
  for (const member_record* server : from) {
    if (stats_table.stats(server->id).ejected_until <= now) {
      kept.push_back(server);
    }
  }
  const std::size_t ejected = from.size() - kept.size();
  return ejected * 100 > from.size() * EJECTED_SERVERS_PERCENT_MAX ? from : kept;
}

/** Servers grouped by their distance from this node, nearest first. */
struct distance_groups
{
  std::array<candidates, 3> groups; ///< Same zone, same region, other regions.
};

/** Groups servers by distance. Servers in other regions are left out for bulk requests, unless
 * there are no others. */
static distance_groups
group_by_distance(const candidates& from, const member_record& self, work_class kind)
{
  distance_groups result;
  for (const member_record* server : from) {
    if (server->zone == self.zone) {
      result.groups[0].push_back(server);
    } else if (server->region == self.region) {
      result.groups[1].push_back(server);
    } else if (kind == work_class::interactive) {
      result.groups[2].push_back(server);
    }
  }
  // Ejected servers and those that were already tried are not in `from`, so a bulk request may
  // leave its region although the region has servers of the service.
  if (kind == work_class::bulk && result.groups[0].empty() && result.groups[1].empty()) {
    result.groups[2] = from;
  }
  return result;
}

/** Picks a server by distance, free slots and cost. */
static std::optional<pick_decision>
pick_by_distance(const candidates& from,
                 const member_record& self,
                 work_class kind,
                 const server_stats_table& stats_table,
                 mono_ms now,
                 random_source& random)
{
  static constexpr std::array<pick_reason, 3> REASONS = { pick_reason::same_zone,
                                                          pick_reason::same_region,
                                                          pick_reason::other_region };
  const distance_groups by_distance = group_by_distance(from, self, kind);
  const candidates* nearest = nullptr;
  for (std::size_t i = 0; i < REASONS.size(); ++i) {
    const candidates& group = by_distance.groups[i];
    if (group.empty()) {
      continue;
    }
    nearest = nearest == nullptr ? &group : nearest;
    candidates with_capacity;
    for (const member_record* server : group) {
      if (has_capacity(*server, stats_table.stats(server->id), now)) {
        with_capacity.push_back(server);
      }
    }
    if (!with_capacity.empty()) {
      return pick_decision{ better_of_two(with_capacity, stats_table, now, random), REASONS[i] };
    }
  }
  if (nearest == nullptr) {
    return std::nullopt;
  }
  return pick_decision{ better_of_two(*nearest, stats_table, now, random), pick_reason::none_free };
}

std::optional<pick_decision>
pick_server(const compiled_version& version,
            const member_view& view,
            const server_stats_table& stats_table,
            const node_id& self,
            const pick_request& request,
            mono_ms now,
            random_source& random)
{
  const auto members = view.services.find(request.service);
  if (members == view.services.end()) {
    return std::nullopt;
  }
  candidates usable = without_blocked(members->second.servers, version.content.blocked_servers);
  if (!request.key.empty()) {
    // Servers that the request was already sent to are not excluded here, since the home of a key
    // must be the same for every request.
    const member_record* home = find_home(
      request.key, eligible_servers(view, request.service, version.content.blocked_servers));
    return home == nullptr ? std::nullopt
                           : std::optional(pick_decision{ home, pick_reason::key_home });
  }
  std::erase_if(usable, [&request](const member_record* server) {
    return request.excluded.contains(server->id);
  });
  return pick_by_distance(without_ejected(usable, stats_table, now),
                          view.members.at(self),
                          request.kind,
                          stats_table,
                          now,
                          random);
}

} // namespace shallotfield
