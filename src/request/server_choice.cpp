// Chooses a backend server by distance and load.
#include "server_choice.h"

#include <cmath>

namespace shallotfield {

/** Age at which a load report says nothing any more; beacons bring one about every half second. */
static constexpr double REPORT_LIFETIME_MS = 2000;

/** Age that the figures of a beacon may have on arrival. Those of an answer are fresh, so they hold
 * against beacons for as long. */
static constexpr mono_ms BEACON_DELAY_MS = 400;

/** Weight of the latest result in the share of failures: about the last eight count. */
static constexpr double FAILURE_WEIGHT = 0.12;

/** Half of the failures are forgotten in this time, so that a server is tried again. */
static constexpr double FAILURE_HALF_LIFE_MS = 2000;

/** How much a server that fails all requests counts as loaded: more than any queue allows. */
static constexpr double FAILURE_PENALTY = 4;

/** Time for which a node that refused for want of room isn't asked for the same: the requests that
 * wait there keep its slots busy meanwhile. */
static constexpr mono_ms FULL_MS = 40;

/** Time for which a node that can't be reached isn't tried. */
static constexpr mono_ms AVOID_MS = 1000;

/** How much a cold server counts as loaded: it works at about half of its speed. */
static constexpr double COLD_PENALTY = 0.4;

/** Least slowness that is believed: bounds what one server draws to itself. */
static constexpr double SLOWNESS_MIN = 0.4;

/** Part of the time until the objective that requests are taken to need until some were seen: they
 * are set so that most answers come well before it. */
static constexpr double UNKNOWN_PART = 0.25;

/** Random part of a score: spreads the choices of many proxies over servers that look alike. */
static constexpr double SCORE_JITTER = 0.01;

/** Servers of one distance that are compared for a request. With two the best one of few would be
 * left out too often; with all of them proxies would choose alike. */
static constexpr std::size_t COMPARED_SERVERS = 3;

/** What the distance counts, in units of a server's load. */
struct distance_cost
{
  server_distance distance; ///< The distance.
  double each;              ///< For each request: the time on the way.
  double each_kb;           ///< For each KB: links between zones and regions are narrow and paid.
};

static constexpr std::array<distance_cost, 4> DISTANCE_COSTS = { {
  { server_distance::same_node, 0, 0 },
  { server_distance::same_zone, 0, 0 },
  { server_distance::same_region, 0.05, 0.03 },
  { server_distance::far, 0.2, 0.06 },
} };

/** A request that costs more than this on the way goes there only if no nearer server takes work at
 * all: a full queue is no reason. */
static constexpr double WAY_COST_MAX = 3;

static constexpr double BYTES_PER_KB = 1000;

void
server_sights::note_sent(const node_id& node)
{
  server_sight& sight = sights_[node];
  ++sight.in_flight;
  ++sight.sent_since;
}

void
server_sights::note_ended(const node_id& node)
{
  server_sight& sight = sights_[node];
  if (sight.in_flight > 0) {
    --sight.in_flight;
  }
}

void
server_sights::note_load(const node_id& node, const load_report& load, mono_ms now)
{
  server_sight& sight = sights_[node];
  sight.load = load;
  sight.load_at = now;
  sight.sent_since = 0;
}

void
server_sights::note_beacon(const node_beacon& node, mono_ms now)
{
  server_sight& sight = sights_[node.id];
  const bool is_same_process = sight.boot == node.boot;
  const bool is_seen = is_same_process && sight.sequence == node.sequence;
  sight.boot = node.boot;
  sight.sequence = node.sequence;
  if (is_seen || (is_same_process && now - sight.load_at < BEACON_DELAY_MS)) {
    return;
  }
  note_load(
    node.id, { node.running, node.waiting, node.server.slots, node.slowness_permille }, now);
}

void
server_sights::note_result(const node_id& node, bool is_failure, mono_ms now)
{
  server_sight& sight = sights_[node];
  sight.failure_share += FAILURE_WEIGHT * ((is_failure ? 1.0 : 0.0) - sight.failure_share);
  if (is_failure) {
    sight.failed_at = now;
  }
}

void
server_sights::note_full(const node_id& node,
                         std::int64_t priority,
                         std::int64_t wait_ms,
                         mono_ms now)
{
  server_sight& sight = sights_[node];
  const bool is_known = now < sight.full_until;
  sight.full_priority = is_known ? std::min(sight.full_priority, priority) : priority;
  sight.full_until = now + FULL_MS;
  sight.wait_ms = wait_ms;
}

void
server_sights::note_unreachable(const node_id& node, mono_ms now)
{
  sights_[node].avoid_until = now + AVOID_MS;
}

const server_sight&
server_sights::at(const node_id& node) const
{
  static const server_sight nothing_seen;
  const auto found = sights_.find(node);
  return found == sights_.end() ? nothing_seen : found->second;
}

void
server_sights::forget_absent(const peer_view& view)
{
  std::erase_if(sights_, [&view](const auto& item) {
    return item.second.in_flight == 0 && !view.contains(item.first);
  });
}

/** How far a node is. */
static server_distance
distance_of(const node_beacon& node, const node_beacon& self)
{
  if (node.id == self.id) {
    return server_distance::same_node;
  }
  if (node.zone == self.zone) {
    return server_distance::same_zone;
  }
  return node.region == self.region ? server_distance::same_region : server_distance::far;
}

/** Expected load of a server, as a share of its slots. */
static double
expected_load(const node_beacon& node, const server_sight& sight, mono_ms now)
{
  const double slots = std::max(1U, node.server.slots);
  const double age = static_cast<double>(now - sight.load_at);
  const double trust = sight.load_at == 0 ? 0 : std::max(0.0, 1 - age / REPORT_LIFETIME_MS);
  const double reported = sight.load.running + sight.load.waiting + sight.sent_since;
  return std::max<double>(sight.in_flight, reported * trust) / slots;
}

/** What the way to a server costs. */
static double
way_cost(server_distance distance, double expected_bytes)
{
  const distance_cost& cost = DISTANCE_COSTS[static_cast<std::size_t>(distance)];
  return cost.each + cost.each_kb * expected_bytes / BYTES_PER_KB;
}

/** How much longer than usual requests take there. */
static double
slowness_of(const server_sight& sight)
{
  return std::max(SLOWNESS_MIN, static_cast<double>(sight.load.slowness_permille) / 1000);
}

/** The score of a server; less is better. */
static double
score_of(const node_beacon& node,
         double usual_part,
         double way,
         const server_sight& sight,
         mono_ms now)
{
  // The time that the request would take, as a part of the time until its objective. A server with
  // free slots answers about as fast as an idle one; a queue costs ever more. The risk of an answer
  // that is late grows faster than that time: work and servers vary.
  const double load = expected_load(node, sight, now);
  const double part = usual_part * slowness_of(sight) * (1 + load * load * load);
  double score = part * part + way;
  if (node.server.state == server_state::cold) {
    score += COLD_PENALTY;
  }
  const double age = static_cast<double>(now - sight.failed_at);
  score += FAILURE_PENALTY * sight.failure_share * std::exp2(-age / FAILURE_HALF_LIFE_MS);
  return score;
}

namespace {

/** The servers that may take a request. */
struct candidates
{
  /** The free ones, by distance; among these the choice is made. */
  std::array<std::vector<const node_beacon*>, SERVER_DISTANCE_ROWS.size()> by_distance;
  std::vector<const node_beacon*> doubtful;       ///< Leaving, or couldn't be reached lately.
  std::optional<no_room> full;                    ///< Set if some have no room.
  server_distance nearest = server_distance::far; ///< Of all that take work.
};

} // namespace

/** Finds the servers that may take a request. */
static candidates
find_candidates(const peer_view& view,
                const node_beacon& self,
                const server_sights& sights,
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
    const server_sight& sight = sights.at(id);
    const server_distance distance = distance_of(node, self);
    result.nearest = std::min(result.nearest, distance);
    const bool is_closed = distance == server_distance::far && request.is_open_path &&
                           !request.is_open_path(node.region);
    if (is_closed || request.excluded.contains(id)) {
      continue;
    }
    if (now < sight.full_until && request.priority >= sight.full_priority) {
      const std::int64_t wait = sight.wait_ms;
      result.full = no_room{ result.full ? std::min(result.full->wait_ms, wait) : wait };
    } else if (node.is_leaving || sight.avoid_until > now) {
      result.doubtful.push_back(&node);
    } else {
      result.by_distance[static_cast<std::size_t>(distance)].push_back(&node);
    }
  }
  return result;
}

/** Leaves some servers at random. Each proxy knows the load of a server as it was a while ago; if
 * all of them compared the same servers, they would all choose the same one. */
static void
draw_some(std::vector<const node_beacon*>& servers, random_source& random)
{
  for (std::size_t i = 0; i < std::min(COMPARED_SERVERS, servers.size()); ++i) {
    std::uniform_int_distribution<std::size_t> draw(i, servers.size() - 1);
    std::swap(servers[i], servers[draw(random)]);
  }
  servers.resize(std::min(COMPARED_SERVERS, servers.size()));
}

choice_result
choose_server(const peer_view& view,
              const node_beacon& self,
              const server_sights& sights,
              const choice_request& request,
              mono_ms now,
              random_source& random)
{
  candidates found = find_candidates(view, self, sights, request, now);
  std::optional<server_choice> best;
  std::uniform_real_distribution<double> jitter(0, SCORE_JITTER);
  const double usual_part = request.usual_part > 0 ? request.usual_part : UNKNOWN_PART;
  const auto compare = [&](const node_beacon* node) {
    const server_distance distance = distance_of(*node, self);
    const double way = way_cost(distance, request.expected_bytes);
    const server_sight& sight = sights.at(node->id);
    const double score = score_of(*node, usual_part, way, sight, now) + jitter(random);
    if (!best || score < best->score) {
      best = server_choice{ node, distance, score };
    }
  };
  for (auto& servers : found.by_distance) {
    draw_some(servers, random);
    std::for_each(servers.begin(), servers.end(), compare);
  }
  if (!best) {
    // A doubtful server is better than none.
    std::for_each(found.doubtful.begin(), found.doubtful.end(), compare);
  }
  const bool is_too_far = best && best->distance > found.nearest &&
                          way_cost(best->distance, request.expected_bytes) > WAY_COST_MAX;
  if (best && !is_too_far) {
    return *best;
  }
  return found.full ? choice_result(*found.full) : choice_result(no_candidate{});
}

} // namespace shallotfield
