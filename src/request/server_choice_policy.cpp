// Implements the server selection at a proxy.
#include "server_choice_policy.h"

#include <cmath>

namespace shallotfield {

/** Age from which a load report is ignored. Its weight decreases linearly until then. Beacons bring
 * a new report about every half second. */
static constexpr double REPORT_LIFETIME_MS = 2000;

/** Age that the load report of a beacon may have on arrival. A report that came with a response is
 * up to date, so for this long it is not replaced by those of beacons. */
static constexpr mono_ms BEACON_AGE_MAX_MS = 400;

/** Weight of the latest request in the failure rate, which thereby covers about the last eight
 * requests. */
static constexpr double FAILURE_EWMA_WEIGHT = 0.12;

/** Time after which the failure rate counts only half, so that the server is tried again. */
static constexpr double FAILURE_HALF_LIFE_MS = 2000;

/** Added to the score of a server that fails all requests. It is meant to exceed what a queue adds,
 * so that a server with a queue is preferred to one that fails. */
static constexpr double FAILURE_SCORE_PENALTY = 4;

/** Time for which a node that had no capacity gets no requests of the same or a lower priority. The
 * requests in its queue keep its slots busy meanwhile. */
static constexpr mono_ms FULL_BACKOFF_MS = 40;

/** Time for which a node that could not be reached is used only as a last resort. */
static constexpr mono_ms UNREACHABLE_BACKOFF_MS = 1000;

/** Added to the score of a cold server, which runs at about half of its speed. */
static constexpr double COLD_SCORE_PENALTY = 0.4;

/** Lower bound of the slowness in a score, which limits how many requests one server attracts. */
static constexpr double SLOWNESS_MIN = 0.4;

/** Service time, as a fraction of the latency objective, that is assumed until the first request of
 * a rule was answered. Objectives are set so that most responses come well before them. */
static constexpr double DEFAULT_OBJECTIVE_FRACTION = 0.25;

/** Largest random addition to a score. It spreads the choices of many proxies over servers with
 * about the same score. */
static constexpr double SCORE_JITTER = 0.01;

/** Number of servers at the same distance that are compared for a request. With two, the best of a
 * small number of servers would be missed too often. With all of them, all proxies would choose the
 * same server. */
static constexpr std::size_t SAMPLED_SERVERS_MAX = 3;

/** Network cost of a request to a server at some distance, in units of the score. */
struct network_cost_row
{
  server_distance distance; ///< The distance.
  double per_request;       ///< Cost of each request, for the network latency.
  double per_kb;            ///< Cost of each KB, as links between zones and regions are narrow and
                            ///< traffic on them is charged for.
};

static constexpr std::array<network_cost_row, 4> NETWORK_COST_ROWS = { {
  { server_distance::same_node, 0, 0 },
  { server_distance::same_zone, 0, 0 },
  { server_distance::same_region, 0.05, 0.03 },
  { server_distance::other_region, 0.2, 0.06 },
} };

/** A request with a higher network cost than this goes to a server only if no nearer server accepts
 * work at all. It does not go there just because the nearer servers are full. */
static constexpr double NETWORK_COST_MAX = 3;

static constexpr double BYTES_PER_KB = 1000;

void
server_tracker::record_sent(const node_id& node)
{
  tracked_server& tracked = tracked_[node];
  ++tracked.in_flight;
  ++tracked.sent_since_report;
}

void
server_tracker::record_ended(const node_id& node)
{
  tracked_server& tracked = tracked_[node];
  if (tracked.in_flight > 0) {
    --tracked.in_flight;
  }
}

void
server_tracker::record_load(const node_id& node, const load_report& load, mono_ms now)
{
  tracked_server& tracked = tracked_[node];
  tracked.load = load;
  tracked.load_received_at = now;
  tracked.sent_since_report = 0;
}

void
server_tracker::record_beacon(const node_beacon& node, mono_ms now)
{
  tracked_server& tracked = tracked_[node.id];
  const bool is_same_process = tracked.boot_id == node.boot_id;
  const bool is_repeated = is_same_process && tracked.sequence == node.sequence;
  tracked.boot_id = node.boot_id;
  tracked.sequence = node.sequence;
  if (is_repeated || (is_same_process && now - tracked.load_received_at < BEACON_AGE_MAX_MS)) {
    return;
  }
  record_load(
    node.id, { node.running, node.waiting, node.server.slots, node.slowness_permille }, now);
}

void
server_tracker::record_result(const node_id& node, bool is_failure, mono_ms now)
{
  tracked_server& tracked = tracked_[node];
  tracked.failure_rate += FAILURE_EWMA_WEIGHT * ((is_failure ? 1.0 : 0.0) - tracked.failure_rate);
  if (is_failure) {
    tracked.last_failed_at = now;
  }
}

void
server_tracker::record_full(const node_id& node,
                            std::int64_t priority,
                            std::int64_t wait_ms,
                            mono_ms now)
{
  tracked_server& tracked = tracked_[node];
  const bool is_backing_off = now < tracked.full_until;
  tracked.full_priority = is_backing_off ? std::min(tracked.full_priority, priority) : priority;
  tracked.full_until = now + FULL_BACKOFF_MS;
  tracked.wait_ms = wait_ms;
}

void
server_tracker::record_unreachable(const node_id& node, mono_ms now)
{
  tracked_[node].unreachable_until = now + UNREACHABLE_BACKOFF_MS;
}

const tracked_server&
server_tracker::at(const node_id& node) const
{
  static const tracked_server untracked;
  const auto found = tracked_.find(node);
  return found == tracked_.end() ? untracked : found->second;
}

void
server_tracker::remove_departed(const peer_view& view)
{
  std::erase_if(tracked_, [&view](const auto& item) {
    return item.second.in_flight == 0 && !view.contains(item.first);
  });
}

/** Returns the distance of a node from this one. */
static server_distance
distance_of(const node_beacon& node, const node_beacon& self)
{
  if (node.id == self.id) {
    return server_distance::same_node;
  }
  if (node.zone == self.zone) {
    return server_distance::same_zone;
  }
  return node.region == self.region ? server_distance::same_region : server_distance::other_region;
}

/** Estimates the number of requests at a server, as a fraction of its slots. */
static double
expected_utilization(const node_beacon& node, const tracked_server& tracked, mono_ms now)
{
  const double slots = std::max(1U, node.server.slots);
  const double age = static_cast<double>(now - tracked.load_received_at);
  const double weight =
    tracked.load_received_at == 0 ? 0 : std::max(0.0, 1 - age / REPORT_LIFETIME_MS);
  const double reported = tracked.load.running + tracked.load.waiting + tracked.sent_since_report;
  return std::max<double>(tracked.in_flight, reported * weight) / slots;
}

/** Returns the network cost of a request. */
static double
network_cost_of(server_distance distance, double expected_bytes)
{
  const network_cost_row& cost = NETWORK_COST_ROWS[static_cast<std::size_t>(distance)];
  return cost.per_request + cost.per_kb * expected_bytes / BYTES_PER_KB;
}

/** Returns the service time at a server, as a multiple of the average in the fleet. */
static double
slowness_of(const tracked_server& tracked)
{
  return std::max(SLOWNESS_MIN, static_cast<double>(tracked.load.slowness_permille) / 1000);
}

/**
 * Returns the score of a server. Lower is better. `node` is the latest beacon of the server's node.
 * `objective_fraction` is the average service time in the fleet, as a fraction of the latency
 * objective.
 */
static double
score_of(const node_beacon& node,
         double objective_fraction,
         double network_cost,
         const tracked_server& tracked,
         mono_ms now)
{
  // The expected response time as a fraction of the latency objective. A server with free slots
  // responds about as fast as an idle one, while a queue adds more and more time, hence the third
  // power of the load. The score uses the square of the fraction because the risk of missing the
  // objective grows faster than the response time: requests and servers vary.
  const double load = expected_utilization(node, tracked, now);
  const double response_fraction =
    objective_fraction * slowness_of(tracked) * (1 + load * load * load);
  double score = response_fraction * response_fraction + network_cost;
  if (node.server.state == server_state::cold) {
    score += COLD_SCORE_PENALTY;
  }
  const double age = static_cast<double>(now - tracked.last_failed_at);
  score += FAILURE_SCORE_PENALTY * tracked.failure_rate * std::exp2(-age / FAILURE_HALF_LIFE_MS);
  return score;
}

namespace {

/** The servers that may run a request. */
struct candidates
{
  /** The regular candidates, by distance. */
  std::array<std::vector<const node_beacon*>, SERVER_DISTANCE_ROWS.size()> by_distance;
  /** Servers whose node is shutting down or was recently unreachable. */
  std::vector<const node_beacon*> last_resort;
  std::optional<no_capacity> full; ///< Set if some servers were skipped because they are full.
  /** Distance of the nearest server that accepts work, whether it is a candidate or not. */
  server_distance nearest = server_distance::other_region;
};

} // namespace

/** Finds the servers that may run a request. */
static candidates
find_candidates(const peer_view& view,
                const node_beacon& self,
                const server_tracker& tracker,
                const choice_request& request,
                mono_ms now)
{
  candidates result;
  for (const auto& [id, node] : view) {
    const bool takes_work =
      node.server.state == server_state::ready || node.server.state == server_state::cold;
    if (!takes_work || node.server.service != request.service) {
      continue;
    }
    const tracked_server& tracked = tracker.at(id);
    const server_distance distance = distance_of(node, self);
    result.nearest = std::min(result.nearest, distance);
    const bool is_region_congested = distance == server_distance::other_region &&
                                     request.has_region_capacity &&
                                     !request.has_region_capacity(node.region);
    if (is_region_congested || request.excluded.contains(id)) {
      continue;
    }
    if (now < tracked.full_until && request.priority >= tracked.full_priority) {
      const std::int64_t wait = tracked.wait_ms;
      result.full = no_capacity{ result.full ? std::min(result.full->wait_ms, wait) : wait };
    } else if (node.is_leaving || tracked.unreachable_until > now) {
      result.last_resort.push_back(&node);
    } else {
      result.by_distance[static_cast<std::size_t>(distance)].push_back(&node);
    }
  }
  return result;
}

/** Reduces a list of servers to a random sample. Each proxy knows the load of the servers as it was
 * some time ago. If all proxies compared the same servers, they would all choose the same one. */
static void
sample_servers(std::vector<const node_beacon*>& servers, random_source& random)
{
  for (std::size_t i = 0; i < std::min(SAMPLED_SERVERS_MAX, servers.size()); ++i) {
    std::uniform_int_distribution<std::size_t> draw(i, servers.size() - 1);
    std::swap(servers[i], servers[draw(random)]);
  }
  servers.resize(std::min(SAMPLED_SERVERS_MAX, servers.size()));
}

choice_result
choose_server(const peer_view& view,
              const node_beacon& self,
              const server_tracker& tracker,
              const choice_request& request,
              mono_ms now,
              random_source& random)
{
  candidates found = find_candidates(view, self, tracker, request, now);
  std::optional<server_choice> best;
  std::uniform_real_distribution<double> jitter(0, SCORE_JITTER);
  const double objective_fraction =
    request.objective_fraction > 0 ? request.objective_fraction : DEFAULT_OBJECTIVE_FRACTION;
  const auto compare = [&](const node_beacon* node) {
    const server_distance distance = distance_of(*node, self);
    const double network_cost = network_cost_of(distance, request.expected_bytes);
    const tracked_server& tracked = tracker.at(node->id);
    const double score =
      score_of(*node, objective_fraction, network_cost, tracked, now) + jitter(random);
    if (!best || score < best->score) {
      best = server_choice{ node, distance, score };
    }
  };
  for (auto& servers : found.by_distance) {
    sample_servers(servers, random);
    std::for_each(servers.begin(), servers.end(), compare);
  }
  if (!best) {
    // A server that may fail is better than none.
    std::for_each(found.last_resort.begin(), found.last_resort.end(), compare);
  }
  const bool is_too_far =
    best && best->distance > found.nearest &&
    network_cost_of(best->distance, request.expected_bytes) > NETWORK_COST_MAX;
  if (best && !is_too_far) {
    return *best;
  }
  return found.full ? choice_result(*found.full) : choice_result(no_candidate{});
}

} // namespace shallotfield
