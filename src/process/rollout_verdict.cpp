// The evidence of a roll-out and the verdict on its version.
#include "enum_table.h"
#include "rollout_controller.h"
#include "rollout_sums.h"

#include <algorithm>
#include <cmath>

namespace shallotfield {

/** Length of the recent past that is judged besides the whole. */
static constexpr mono_ms WINDOW_MS = 4000;

/** Failure rate that any version may have, and number of requests by which the rate of the other
 * versions is smoothed. */
static constexpr double FAILURE_RATE_MIN = 0.003;
static constexpr double SMOOTHING_REQUESTS = 50;

/** Failures without which a version is not condemned. */
static constexpr double FAILURES_MIN = 4;

/** Failures in the rate of other versions, as a multiple, that a version may have. */
static constexpr double FAILURES_FACTOR = 3;

/** Standard deviations beyond it that count as chance. */
static constexpr double DEVIATIONS = 3;

/** The same for a single rule. Several rules are compared at once, so that chance is likelier. */
static constexpr double RULE_DEVIATIONS = 4;

/** Answers of the other versions without which nothing is said about single rules. */
static constexpr std::uint64_t OTHERS_ANSWERS_MIN = 200;

/** Failures at which a version is condemned even if all come from one server. Two thirds of the
 * number from which on its time is limited. */
static constexpr std::uint64_t FAILURES_OF_ONE_MAX = 32;

/** Slowness as a multiple of that of the other versions from which on a version is condemned, and
 * time for which it must last. */
static constexpr double SLOWNESS_FACTOR = 2;
static constexpr mono_ms SLOWNESS_TIME_MS = 800;

/** Servers of which a single one that fails says nothing about the version. */
static constexpr std::size_t MANY_SERVERS = 4;

/** Answers of a server without which it isn't counted among those that fail or don't. */
static constexpr std::uint64_t SERVER_ANSWERS_MIN = 5;

/** Answers of a server without which its slowness says nothing. */
static constexpr std::uint64_t SLOWNESS_ANSWERS_MIN = 6;

static constexpr double PERMILLE = 1000;

rollout_controller::fleet_state
rollout_controller::survey(const rollout_record& record, const std::vector<node_beacon>& servers)
{
  fleet_state fleet;
  for (const node_beacon& node : servers) {
    if (node.server.service != record.order.service || node.server.instance.empty()) {
      continue;
    }
    const bool knows_order = node.rollout.order == record.order.number;
    const bool takes_work =
      node.server.state == server_state::ready || node.server.state == server_state::cold;
    if (node.server.version == record.order.target_version) {
      if (knows_order) {
        fleet.targets.push_back(&node);
      }
      fleet.active += node.running + node.waiting;
      continue;
    }
    fleet.active += node.running + node.waiting;
    fleet.others.push_back(&node);
    const bool is_idle = node.running + node.waiting == 0;
    const bool has_closed = knows_order && node.rollout.step == rollout_step::full;
    fleet.are_others_idle = fleet.are_others_idle && is_idle && (has_closed || !takes_work);
  }
  return fleet;
}

void
rollout_controller::collect(rollout_progress& progress,
                            const rollout_record& record,
                            const fleet_state& fleet,
                            mono_ms now)
{
  const auto add = [&](const node_beacon* node, bool is_target) {
    if (node->rollout.order == record.order.number) {
      participant& item = progress.participants[{ node->id, node->server.instance }];
      item.evidence = node->rollout;
      item.is_target = is_target;
      record_rule_reports(item.rules, node->rollout);
    }
  };
  for (const node_beacon* node : fleet.targets) {
    add(node, true);
  }
  for (const node_beacon* node : fleet.others) {
    add(node, false);
  }
  sample sums;
  sums.at = now;
  for (const auto& [key, item] : progress.participants) {
    rollout_sums& side = item.is_target ? sums.target : sums.others;
    side.taken += item.evidence.taken;
    side.answered += item.evidence.answered;
    side.failed += item.evidence.failed;
  }
  progress.samples.push_back(sums);
  while (progress.samples.size() > 2 && now - progress.samples[1].at >= WINDOW_MS) {
    progress.samples.pop_front();
  }
}

/** Returns the failure rate of the servers of other versions. */
static double
rate_of_failures(const rollout_sums& others)
{
  return static_cast<double>(others.failed) /
         (static_cast<double>(others.answered) + SMOOTHING_REQUESTS);
}

/** Returns how many failures the rate of the other versions explains, be it that of the recent past
 * or that of the whole. */
static double
expected_failures(std::uint64_t answered, const rollout_sums& recent, const rollout_sums& all)
{
  const double rate = std::max(rate_of_failures(recent), rate_of_failures(all));
  return static_cast<double>(answered) * std::max(rate, FAILURE_RATE_MIN);
}

/** Returns whether failures are more than chance explains. */
static bool
exceeds(double failed, double expected, double deviations)
{
  return failed >= FAILURES_MIN &&
         failed > FAILURES_FACTOR * expected + deviations * std::sqrt(expected) + 1;
}

/** Returns whether a version fails more often than the other versions, beyond chance. */
static bool
is_failing(const rollout_sums& target, const rollout_sums& recent, const rollout_sums& all)
{
  return exceeds(static_cast<double>(target.failed),
                 expected_failures(target.answered, recent, all),
                 DEVIATIONS);
}

/** Counts the servers of the target version that have answered enough to be judged, and those of
 * them that fail. */
template<typename T>
static std::pair<std::size_t, std::size_t>
count_failing(const T& participants)
{
  std::size_t judged = 0;
  std::size_t failing = 0;
  for (const auto& [key, item] : participants) {
    if (item.is_target && item.evidence.answered >= SERVER_ANSWERS_MIN) {
      ++judged;
      failing += item.evidence.failed >= 2 ? 1 : 0;
    }
  }
  return { judged, failing };
}

/** Returns whether the trouble is that of a single server, whatever its version. */
static bool
is_one_of_many(std::size_t judged, std::size_t failing)
{
  return failing <= 1 && judged >= MANY_SERVERS;
}

bool
rollout_controller::is_failing_on_rule(const rollout_progress& progress, const fleet_state& fleet)
{
  struct rule_sums
  {
    rollout_sums target;
    rollout_sums others;
    std::size_t failing = 0; ///< Servers of the target version that fail on the rule.
  };
  std::map<std::uint32_t, rule_sums> rules;
  std::size_t targets = 0;
  for (const auto& [key, item] : progress.participants) {
    // An earlier build doesn't report by rule, so nothing is known of what fails at both versions.
    if (!item.is_target && item.evidence.failed > 0 && item.rules.empty()) {
      return false;
    }
    targets += item.is_target && item.evidence.answered > 0 ? 1 : 0;
    for (const auto& [id, report] : item.rules) {
      rule_sums& rule = rules[id];
      rollout_sums& side = item.is_target ? rule.target : rule.others;
      side.answered += report.answered;
      side.failed += report.failed;
      rule.failing += item.is_target && report.failed >= 2 ? 1 : 0;
    }
  }
  const rollout_sums& all_others = progress.samples.back().others;
  return std::any_of(rules.begin(), rules.end(), [&](const auto& item) {
    const rule_sums& rule = item.second;
    const double expected = expected_failures(rule.target.answered, rule.others, all_others);
    const auto failed = static_cast<double>(rule.target.failed);
    const bool is_spread = fleet.targets.size() < 2 || rule.failing >= 3 ||
                           (rule.failing >= 2 && rule.failing * 2 > targets);
    return is_spread && all_others.answered >= OTHERS_ANSWERS_MIN &&
           exceeds(failed, expected, RULE_DEVIATIONS);
  });
}

bool
rollout_controller::is_suspicious(const rollout_progress& progress)
{
  const sample& latest = progress.samples.back();
  const sample& first = progress.samples.front();
  const rollout_sums recent = since(latest.target, first.target);
  const rollout_sums others = since(latest.others, first.others);
  const double expected = expected_failures(recent.answered, others, latest.others);
  const auto [judged, failing] = count_failing(progress.participants);
  return progress.slow_since != 0 ||
         (!is_one_of_many(judged, failing) && recent.failed >= 3 &&
          static_cast<double>(recent.failed) > 2 * (expected + std::sqrt(expected)) + 1);
}

rollout_reason
rollout_controller::judge(rollout_progress& progress, const fleet_state& fleet, mono_ms now)
{
  const sample& latest = progress.samples.back();
  const sample& first = progress.samples.front();
  const rollout_sums recent_others = since(latest.others, first.others);
  const bool fails = is_failing(since(latest.target, first.target), recent_others, latest.others) ||
                     is_failing(latest.target, recent_others, latest.others);
  const auto [judged, failing] = count_failing(progress.participants);
  const bool is_spread =
    fleet.targets.size() < 2 || (failing >= 2 && failing * 2 > judged) || failing >= 3;
  const bool is_conclusive =
    latest.target.failed >= FAILURES_OF_ONE_MAX && !is_one_of_many(judged, failing);
  if (fails && (is_spread || is_conclusive)) {
    return rollout_reason::failures;
  }
  if (is_failing_on_rule(progress, fleet)) {
    return rollout_reason::rule_failures;
  }
  std::vector<double> slowness_of_others;
  for (const node_beacon* node : fleet.others) {
    if (node->server.state == server_state::ready) {
      slowness_of_others.push_back(node->slowness_permille);
    }
  }
  double reference = PERMILLE;
  if (!slowness_of_others.empty()) {
    const auto middle =
      slowness_of_others.begin() + static_cast<std::ptrdiff_t>(slowness_of_others.size() / 2);
    std::nth_element(slowness_of_others.begin(), middle, slowness_of_others.end());
    reference = std::max(*middle, PERMILLE / 2);
  }
  std::size_t compared = 0;
  std::size_t slow = 0;
  for (const node_beacon* node : fleet.targets) {
    if (node->server.state == server_state::ready &&
        node->rollout.answered >= SLOWNESS_ANSWERS_MIN) {
      ++compared;
      slow += node->slowness_permille > SLOWNESS_FACTOR * reference ? 1 : 0;
    }
  }
  const std::size_t needed = std::min<std::size_t>(fleet.targets.size(), 2);
  if (compared == 0 || compared < needed || slow * 2 <= compared) {
    progress.slow_since = 0;
  } else if (progress.slow_since == 0) {
    progress.slow_since = now;
  }
  return progress.slow_since != 0 && now - progress.slow_since >= SLOWNESS_TIME_MS
           ? rollout_reason::slowness
           : rollout_reason::none;
}

} // namespace shallotfield
