// The steps of a roll-out: when the next one is due, which servers are canaries, and which share of
// the requests the target version gets.
#include "enum_table.h"
#include "rollout_controller.h"
#include "rollout_sums.h"

#include <algorithm>
#include <cmath>

namespace shallotfield {

/** Part of the duration for which the version gets the canary share only, and the longest time. A
 * version may turn bad some seconds after its start. */
static constexpr double CANARY_PART = 0.5;
static constexpr mono_ms CANARY_MAX_MS = 60'000;

/** Part of the duration after which a single server of the version is enough to begin. */
static constexpr double SINGLE_CANARY_PART = 0.2;

/** Requests that one server is to have at step canary, as a multiple of its slots, and the largest
 * share of the service's requests that this may take. */
static constexpr double CANARY_LOAD = 1.1;
static constexpr double CANARY_SHARE_MAX = 0.5;

/** Shortest time at step canary. */
static constexpr mono_ms CANARY_MIN_MS = 2000;

/** Time that is kept for the steps after canary. */
static constexpr mono_ms RAMP_RESERVE_MS = 5500;

/** Part of the duration that each step after canary takes, and its limits. The evidence of all
 * servers arrives within the shorter one. */
static constexpr double RAMP_PART = 0.06;
static constexpr mono_ms RAMP_STEP_MIN_MS = 900;
static constexpr mono_ms RAMP_STEP_MAX_MS = 10'000;

/** Answers of the target version without which it doesn't go forward. */
static constexpr std::uint64_t CANARY_ANSWERS_MIN = 20;
static constexpr std::uint64_t STEP_ANSWERS_MIN = 15;

/** Part of the limit on exposure that is used at step canary. The rest is for the time that a
 * verdict at a later step takes. */
static constexpr double CANARY_EXPOSURE_PART = 0.6;

/** Part of the requests that a version may get besides, to be used at step canary. */
static constexpr double CANARY_SLACK_PART = 0.3;

/** Room that the servers of the target version need, as a multiple of the requests at work. */
static constexpr double ROOM_FACTOR = 1.3;

/** Failures, and their part of the answers as a divisor, from which on a canary is replaced. */
static constexpr std::uint64_t CANARY_FAILURES_MAX = 5;
static constexpr std::uint64_t CANARY_FAILURES_DIVISOR = 5;

/** Number of canaries. */
static constexpr std::size_t CANARIES = 2;

/** Interval at which the order of the canaries changes, so that each of them is busy at times. */
static constexpr mono_ms CANARY_ROTATION_MS = 1500;

/** Part by which the rates of all servers together exceed the share, since callers don't spread
 * their requests evenly. */
static constexpr double RATE_MARGIN = 1.5;

static constexpr double MS_PER_S = 1000;
static constexpr double PERMILLE = 1000;

/** Returns the time that a step after canary takes. */
static mono_ms
ramp_step_ms(const rollout_record& record)
{
  return std::clamp(static_cast<mono_ms>(RAMP_PART * static_cast<double>(record.order.duration_ms)),
                    RAMP_STEP_MIN_MS,
                    RAMP_STEP_MAX_MS);
}

/** Returns the number of answers of the target version that a step after canary needs. In a small
 * service it is what the step brings, since the deadline holds there as well. */
static std::uint64_t
step_answers_min(const rollout_record& record)
{
  const double expected =
    static_cast<double>(record.server_rate) * static_cast<double>(ramp_step_ms(record)) / MS_PER_S;
  return std::min(STEP_ANSWERS_MIN, static_cast<std::uint64_t>(expected / 3));
}

bool
rollout_controller::may_advance(const rollout_record& record,
                                const rollout_progress& progress,
                                const fleet_state& fleet,
                                mono_ms now) const
{
  const mono_ms age = now - record.began_at;
  const mono_ms at_step = now - progress.step_since;
  const rollout_sums& target = progress.samples.back().target;
  if (is_suspicious(progress)) {
    return false;
  }
  std::uint32_t room = 0;
  std::size_t warm = 0;
  for (const node_beacon* node : fleet.targets) {
    if (node->server.state == server_state::ready && !node->is_leaving) {
      room += node->server.slots;
      ++warm;
    }
  }
  switch (record.step) {
    case rollout_step::hold:
      // A single server tells little, so a second one is waited for at first.
      return warm >= 2 || (warm == 1 && (fleet.others.size() <= 1 ||
                                         age > SINGLE_CANARY_PART *
                                                 static_cast<double>(record.order.duration_ms)));
    case rollout_step::canary: {
      const auto planned =
        std::min(static_cast<mono_ms>(CANARY_PART * static_cast<double>(record.order.duration_ms)),
                 CANARY_MAX_MS);
      const mono_ms latest = record.order.duration_ms - RAMP_RESERVE_MS;
      const bool is_due = at_step >= CANARY_MIN_MS && age >= std::min(planned, latest);
      const bool has_room = static_cast<double>(room) >= ROOM_FACTOR * fleet.active;
      return is_due && has_room && target.answered >= CANARY_ANSWERS_MIN;
    }
    case rollout_step::part:
    case rollout_step::most:
      return at_step >= ramp_step_ms(record) &&
             since(target, progress.at_step).answered >= step_answers_min(record) &&
             static_cast<double>(room) >= ROOM_FACTOR * fleet.active;
    case rollout_step::full:
      break;
  }
  return false;
}

void
rollout_controller::choose_canaries(rollout_record& record,
                                    rollout_progress& progress,
                                    const fleet_state& fleet,
                                    mono_ms now)
{
  std::vector<const node_beacon*> warm;
  for (const node_beacon* node : fleet.targets) {
    if (node->server.state == server_state::ready && !node->is_leaving) {
      warm.push_back(node);
    }
  }
  // A server that fails is relieved, so that the next one tells whether the version is the cause.
  const auto is_failing = [](const node_beacon* node) {
    return node->rollout.failed >= CANARY_FAILURES_MAX &&
           node->rollout.failed * CANARY_FAILURES_DIVISOR >= node->rollout.answered;
  };
  if (!std::all_of(warm.begin(), warm.end(), is_failing)) {
    std::erase_if(warm, is_failing);
  }
  if (warm.empty()) {
    return;
  }
  const auto is_warm = [&warm](const node_id& id) {
    return std::any_of(
      warm.begin(), warm.end(), [&id](const node_beacon* node) { return node->id == id; });
  };
  // Two, so that the trouble of one server is told from that of the version. They take turns.
  const auto count = std::min<std::size_t>(warm.size(), CANARIES);
  std::vector<node_id> chosen;
  std::copy_if(record.canaries.begin(), record.canaries.end(), std::back_inserter(chosen), is_warm);
  for (const node_beacon* node : warm) {
    if (chosen.size() < count &&
        std::find(chosen.begin(), chosen.end(), node->id) == chosen.end()) {
      chosen.push_back(node->id);
    }
  }
  if (now - progress.rotated_at >= CANARY_ROTATION_MS && chosen.size() > 1) {
    progress.rotated_at = now;
    std::rotate(chosen.begin(), chosen.begin() + 1, chosen.end());
  }
  if (chosen != record.canaries) {
    record.canaries = chosen;
    ++record.canary_turn;
    announce_change();
  }
}

/** Returns the share of requests at step canary: what keeps one server busy, so that a version
 * which is bad under load shows it, but in a large service not less than the usual share. */
static double
canary_share(std::uint32_t slots, std::uint32_t active)
{
  const double usual =
    ROLLOUT_SHARES_PERMILLE.at(static_cast<std::size_t>(rollout_step::canary)) / PERMILLE;
  const double busy = active == 0 ? usual : CANARY_LOAD * slots / active;
  return std::clamp(busy, usual, CANARY_SHARE_MAX);
}

void
rollout_controller::set_share(rollout_record& record,
                              rollout_progress& progress,
                              const fleet_state& fleet)
{
  const sample& latest = progress.samples.back();
  const sample& first = progress.samples.front();
  const double time_s = static_cast<double>(latest.at - first.at) / MS_PER_S;
  const auto taken = static_cast<double>(since(latest.target, first.target).taken +
                                         since(latest.others, first.others).taken);
  const double rate = time_s > 0 ? taken / time_s : 0;
  double share = ROLLOUT_SHARES_PERMILLE.at(static_cast<std::size_t>(record.step)) / PERMILLE;
  if (record.step == rollout_step::canary) {
    const std::uint32_t slots = fleet.targets.empty() ? 0 : fleet.targets.front()->server.slots;
    share = canary_share(slots, fleet.active);
    const double limit = CANARY_EXPOSURE_PART * limits_.exposure_share *
                           static_cast<double>(latest.target.taken + latest.others.taken) +
                         CANARY_SLACK_PART * limits_.exposure_slack;
    const double left = limit - static_cast<double>(latest.target.taken);
    progress.is_canary_paused = left <= 0 || (progress.is_canary_paused && left < share * rate);
    share = progress.is_canary_paused ? 0 : share;
  }
  const bool has_few = record.step == rollout_step::canary || fleet.targets.empty();
  const double servers = has_few ? 1 : static_cast<double>(fleet.targets.size());
  const double each = has_few ? rate * share : rate * share * RATE_MARGIN / servers;
  const auto share_permille = static_cast<std::uint32_t>(std::lround(share * PERMILLE));
  const auto server_rate =
    share_permille == 0 ? 0 : static_cast<std::uint32_t>(std::ceil(each)) + 1;
  const bool has_paused_or_resumed = (share_permille == 0) != (record.share_permille == 0);
  record.share_permille = share_permille;
  record.server_rate = server_rate;
  if (has_paused_or_resumed) {
    effects_.emplace_back(publish_rollouts{});
    effects_.emplace_back(announce_rollouts{ 1 });
  }
}

} // namespace shallotfield
