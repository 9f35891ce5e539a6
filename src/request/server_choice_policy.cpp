// Implements the server selection at a proxy.
#include "server_choice_policy.h"

#include <algorithm>
#include <cmath>
#include <limits>

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

/** Longest time for which a server that is closed gets no requests without news from its node. */
static constexpr mono_ms CLOSED_BACKOFF_MAX_MS = 500;

/** Wait that is assumed for a closed server if its node named none. */
static constexpr std::int64_t CLOSED_WAIT_MS = 200;

/** Time for which a node that could not be reached is used only as a last resort. */
static constexpr mono_ms UNREACHABLE_BACKOFF_MS = 1000;

/** Added to the score of a cold server, which runs at about half of its speed. */
static constexpr double COLD_SCORE_PENALTY = 0.4;

/** Added to the score of a server for a download that would be late there because of the backlog of
 * its link. Each further download delays all that follow, so those that the link can't carry in
 * time have to leave the zone before the others are late too. It exceeds the network cost of a
 * download of 100 KB to another zone of the region, but not to another region. */
static constexpr double BULK_LATE_PENALTY = 3;

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
static constexpr double BYTES_PER_MB = 1e6;

/** Size from which requests count as large, and leave the zone by a share of their own. */
static constexpr double LARGE_REQUEST_BYTES_MIN = 16'000;

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
    node.id,
    { node.running, node.waiting, node.server.slots, node.slowness_permille, node.bulk_wait_ms },
    now);
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
server_tracker::record_closed(const node_id& node, std::int64_t wait_ms, mono_ms now)
{
  tracked_server& tracked = tracked_[node];
  tracked.full_priority = std::numeric_limits<std::int64_t>::min();
  tracked.full_until = now + std::min(wait_ms, CLOSED_BACKOFF_MAX_MS);
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

/** Returns whether a server is in another availability zone. */
static bool
is_away(server_distance distance)
{
  return distance == server_distance::same_region || distance == server_distance::other_region;
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
network_cost_of(server_distance distance, const choice_request& request)
{
  const network_cost_row& cost = NETWORK_COST_ROWS[static_cast<std::size_t>(distance)];
  if (request.spill == nullptr || request.objective_ms <= 0) {
    return cost.per_request + cost.per_kb * request.expected_bytes / BYTES_PER_KB;
  }
  const double ms_per_mb = distance == server_distance::same_region ? request.prices.zone_ms_per_mb
                           : distance == server_distance::other_region
                             ? request.prices.region_ms_per_mb
                             : 0;
  return cost.per_request +
         ms_per_mb * request.expected_bytes / BYTES_PER_MB / request.objective_ms;
}

/** Returns the service time at a server, as a multiple of the average in the fleet. */
static double
slowness_of(const tracked_server& tracked)
{
  return std::max(SLOWNESS_MIN, static_cast<double>(tracked.load.slowness_permille) / 1000);
}

/** Returns the time that the response to a download waits for the link of the server's VM, as a
 * fraction of the latency objective; 0 for other requests. */
static double
bulk_wait_fraction(const choice_request& request, const tracked_server& tracked, mono_ms now)
{
  if (request.bulk_objective_ms <= 0) {
    return 0;
  }
  // The backlog that was reported shrinks with time.
  const mono_ms age = now - tracked.load_received_at;
  const mono_ms wait = static_cast<mono_ms>(tracked.load.bulk_wait_ms) - age;
  return static_cast<double>(std::max<mono_ms>(wait, 0)) / request.bulk_objective_ms;
}

/** Returns the score of a server. Lower is better. `node` is the latest beacon of the server's
 * node.
 */
static double
score_of(const node_beacon& node,
         const choice_request& request,
         double network_cost,
         const tracked_server& tracked,
         mono_ms now)
{
  // The expected response time as a fraction of the latency objective. A server with free slots
  // responds about as fast as an idle one, while a queue adds more and more time, hence the third
  // power of the load. The score uses the square of the fraction because the risk of missing the
  // objective grows faster than the response time: requests and servers vary.
  const double load = expected_utilization(node, tracked, now);
  const double objective_fraction =
    request.objective_fraction > 0 ? request.objective_fraction : DEFAULT_OBJECTIVE_FRACTION;
  const double response_fraction =
    objective_fraction * slowness_of(tracked) * (1 + load * load * load) +
    bulk_wait_fraction(request, tracked, now);
  double score = response_fraction * response_fraction + network_cost;
  if (request.bulk_objective_ms > 0 && response_fraction > 1) {
    score += BULK_LATE_PENALTY;
  }
  if (node.server.state == server_state::cold) {
    score += COLD_SCORE_PENALTY;
  }
  const double age = static_cast<double>(now - tracked.last_failed_at);
  score += FAILURE_SCORE_PENALTY * tracked.failure_rate * std::exp2(-age / FAILURE_HALF_LIFE_MS);
  return score;
}

server_index::server_index(const peer_view& view,
                           const node_beacon& self,
                           const std::function<bool(const node_beacon&)>& is_included)
{
  for (const auto& [id, node] : view) {
    const bool takes_work =
      node.server.state == server_state::ready || node.server.state == server_state::cold;
    if (takes_work && is_included(node)) {
      const auto distance = static_cast<std::size_t>(distance_of(node, self));
      by_service_[node.server.service][distance].push_back(&node);
    }
  }
}

server_index::distance_lists*
server_index::find(const service_id& service)
{
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? nullptr : &found->second;
}

namespace {

/** Chooses a server for one request. */
class server_chooser
{
public:
  server_chooser(const server_tracker& tracker,
                 const choice_request& request,
                 mono_ms now,
                 random_source& random)
    : tracker_(tracker)
    , request_(request)
    , now_(now)
    , random_(random)
  {
  }

  /** Chooses among all servers of the service. */
  choice_result choose(server_index::distance_lists& servers);

private:
  /** Draws servers at one distance until enough of them are candidates, and compares these. Each
   * proxy knows the load of the servers as it was some time ago. If all proxies compared the same
   * servers, they would all choose the same one. */
  void compare_sample(std::vector<const node_beacon*>& servers, server_distance distance);
  /** Returns whether a server is a candidate. Remembers those that are full or a last resort. */
  bool is_candidate(const node_beacon& node, server_distance distance);
  /** Keeps a server if it is the best one so far. */
  void compare(const node_beacon& node, server_distance distance);

  const server_tracker& tracker_;
  const choice_request& request_;
  mono_ms now_;
  random_source& random_;
  /** Returns the best server. Work leaves the zone only as far as the spill policy allows. */
  std::optional<server_choice> select_best();

  /** Records the comparison of home with each other zone, and returns the server that the request
   * leaves for, if it does. */
  std::optional<server_choice> select_away(const server_choice& home);

  /** The best server so far at each distance. */
  std::array<std::optional<server_choice>, SERVER_DISTANCE_ROWS.size()> best_at_;
  /** The best server so far in each other zone; filled if the spill policy decides. */
  std::vector<server_choice> best_in_zone_;
  std::optional<no_capacity> full_; ///< Set if some servers were skipped because they are full.
  /** Servers whose node is shutting down or was recently unreachable. */
  std::vector<std::pair<const node_beacon*, server_distance>> last_resort_;
};

bool
server_chooser::is_candidate(const node_beacon& node, server_distance distance)
{
  const bool is_region_congested = distance == server_distance::other_region &&
                                   request_.has_region_capacity &&
                                   !request_.has_region_capacity(node.region);
  if (is_region_congested || request_.excluded.contains(node.id)) {
    return false;
  }
  const tracked_server& tracked = tracker_.at(node.id);
  // A node announces no slots while its server rejects all requests.
  if (node.server.slots == 0) {
    full_ = no_capacity{ full_ ? std::min(full_->wait_ms, CLOSED_WAIT_MS) : CLOSED_WAIT_MS };
    return false;
  }
  if (now_ < tracked.full_until && request_.priority >= tracked.full_priority) {
    full_ = no_capacity{ full_ ? std::min(full_->wait_ms, tracked.wait_ms) : tracked.wait_ms };
    return false;
  }
  if (node.is_leaving || tracked.unreachable_until > now_) {
    last_resort_.emplace_back(&node, distance);
    return false;
  }
  return true;
}

void
server_chooser::compare(const node_beacon& node, server_distance distance)
{
  std::uniform_real_distribution<double> jitter(0, SCORE_JITTER);
  const double network_cost = network_cost_of(distance, request_);
  const double score =
    score_of(node, request_, network_cost, tracker_.at(node.id), now_) + jitter(random_);
  std::optional<server_choice>& best = best_at_[static_cast<std::size_t>(distance)];
  if (!best || score < best->score) {
    best = server_choice{ &node, distance, score };
  }
  if (request_.spill == nullptr || !is_away(distance)) {
    return;
  }
  const auto of_zone =
    std::find_if(best_in_zone_.begin(), best_in_zone_.end(), [&node](const server_choice& item) {
      return item.node->zone == node.zone && item.node->region == node.region;
    });
  if (of_zone == best_in_zone_.end()) {
    best_in_zone_.push_back({ &node, distance, score });
  } else if (score < of_zone->score) {
    *of_zone = { &node, distance, score };
  }
}

void
server_chooser::compare_sample(std::vector<const node_beacon*>& servers, server_distance distance)
{
  std::size_t compared = 0;
  for (std::size_t i = 0; i < servers.size() && compared < SAMPLED_SERVERS_MAX; ++i) {
    std::uniform_int_distribution<std::size_t> draw(i, servers.size() - 1);
    std::swap(servers[i], servers[draw(random_)]);
    if (is_candidate(*servers[i], distance)) {
      compare(*servers[i], distance);
      ++compared;
    }
  }
}

std::optional<server_choice>
server_chooser::select_best()
{
  std::optional<server_choice> best;
  const auto take_if_better = [&best](const std::optional<server_choice>& other) {
    if (other && (!best || other->score < best->score)) {
      best = other;
    }
  };
  take_if_better(best_at_[static_cast<std::size_t>(server_distance::same_node)]);
  take_if_better(best_at_[static_cast<std::size_t>(server_distance::same_zone)]);
  if (best && request_.spill != nullptr) {
    const std::optional<server_choice> away = select_away(*best);
    return away ? away : best;
  }
  take_if_better(best_at_[static_cast<std::size_t>(server_distance::same_region)]);
  take_if_better(best_at_[static_cast<std::size_t>(server_distance::other_region)]);
  if (best && request_.spill != nullptr) {
    best->reason = leave_reason::no_home_server;
  }
  return best;
}

std::optional<server_choice>
server_chooser::select_away(const server_choice& home)
{
  std::vector<spill_option> options;
  for (const server_choice& item : best_in_zone_) {
    options.push_back({ item.node->zone, item.score });
  }
  const std::optional<std::size_t> chosen =
    request_.spill->choose({ request_.service, request_.expected_bytes >= LARGE_REQUEST_BYTES_MIN },
                           home.score,
                           options,
                           now_,
                           random_);
  return chosen ? std::optional(best_in_zone_[*chosen]) : std::nullopt;
}

choice_result
server_chooser::choose(server_index::distance_lists& servers)
{
  std::optional<server_distance> nearest; // Of a server that accepts work, candidate or not.
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const auto distance = static_cast<server_distance>(i);
    if (!servers[i].empty() && !nearest) {
      nearest = distance;
    }
    compare_sample(servers[i], distance);
  }
  std::optional<server_choice> best = select_best();
  if (!best) {
    // A server that may fail is better than none.
    for (const auto& [node, distance] : last_resort_) {
      compare(*node, distance);
    }
    best = select_best();
  }
  const bool is_too_far = best && best->distance > *nearest &&
                          network_cost_of(best->distance, request_) > NETWORK_COST_MAX;
  if (best && !is_too_far) {
    return *best;
  }
  return full_ ? choice_result(*full_) : choice_result(no_candidate{});
}

} // namespace

choice_result
choose_server(server_index& servers,
              const server_tracker& tracker,
              const choice_request& request,
              mono_ms now,
              random_source& random)
{
  server_index::distance_lists* of_service = servers.find(request.service);
  if (of_service == nullptr) {
    return no_candidate{};
  }
  return server_chooser(tracker, request, now, random).choose(*of_service);
}

/** Returns a number that depends on all bits of the given one (the finalizer of SplitMix64). */
static std::uint64_t
mix_bits(std::uint64_t value)
{
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

std::optional<server_choice>
choose_trial_server(server_index& servers,
                    const service_id& service,
                    const request_digest& request,
                    std::uint64_t latest_trial)
{
  const server_index::distance_lists* lists = servers.find(service);
  if (lists == nullptr) {
    return std::nullopt;
  }
  // Rendezvous hashing: a server that leaves changes the choice only if it was the one chosen.
  std::optional<server_choice> best;
  std::uint64_t best_rank = 0;
  for (const enum_row<server_distance>& row : SERVER_DISTANCE_ROWS) {
    for (const node_beacon* node : lists->at(static_cast<std::size_t>(row.value))) {
      std::uint64_t rank = mix_bits(request.low ^ latest_trial);
      for (const char byte : node->id) {
        rank = mix_bits(rank ^ static_cast<unsigned char>(byte));
      }
      if (!best || rank > best_rank || (rank == best_rank && node->id < best->node->id)) {
        best = server_choice{ node, row.value, 0 };
        best_rank = rank;
      }
    }
  }
  return best;
}

} // namespace shallotfield
