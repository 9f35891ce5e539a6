// Implements the steps of a roll-out and the verdict on its version.
#include "rollout_controller.h"

#include "enum_table.h"
#include "rollout_sums.h"

#include <algorithm>
#include <cmath>

namespace shallotfield {

/** Age of a final state of which the time is not known. Servers of other versions that run by now
 * were started after it. */
static constexpr mono_ms PAST_FINAL_AGE_MS = 60'000;

/** Interval at which a decider repeats the record of a running roll-out. Servers of the target
 * version stop taking requests when they have heard nothing for several of them. */
static constexpr mono_ms ANNOUNCEMENT_INTERVAL_MS = 500;

/** The same for a final state, which proxies that started later need. */
static constexpr mono_ms FINAL_ANNOUNCEMENT_INTERVAL_MS = 5000;

/** Number of times that a change is sent, since datagrams may be lost. */
static constexpr int CHANGE_REPETITIONS = 3;

/** Delay before the next call to the store after one failed. */
static constexpr mono_ms STATUS_RETRY_DELAY_MS = 300;

/** Part of the duration for which the version gets the canary share only, and the longest time. A
 * version may turn bad some seconds after its start. */
static constexpr double CANARY_PART = 0.5;
static constexpr mono_ms CANARY_MAX_MS = 60'000;

/** Part of the duration after which a single server of the version is enough to begin. */
static constexpr double LONELY_CANARY_PART = 0.2;

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
static constexpr std::uint64_t FULL_ANSWERS_MIN = 60;

/** Time that is kept before the deadline for the write of the state. */
static constexpr mono_ms STORE_RESERVE_MS = 1000;

/** Part of the limit on exposure that is used at step canary. The rest is for the time that a
 * verdict at a later step takes. */
static constexpr double CANARY_EXPOSURE_PART = 0.6;

/** Part of the requests that a version may get besides, to be used at step canary. */
static constexpr double CANARY_SLACK_PART = 0.3;

/** Room that the servers of the target version need, as a multiple of the requests at work. */
static constexpr double ROOM_FACTOR = 1.3;

/** Time for which the other servers must be idle before the roll-out is completed. */
static constexpr mono_ms IDLE_TIME_MS = 250;

/** Time after the deadline for which requests at other servers may still end. */
static constexpr mono_ms LATE_COMPLETION_MS = 3000;

/** Time before the deadline at which an undecided roll-out ends. */
static constexpr mono_ms DECISION_MARGIN_MS = 300;

/** Failures, and their part of the answers as a divisor, from which on a canary is replaced. */
static constexpr std::uint64_t RELIEVED_FAILURES = 5;
static constexpr std::uint64_t RELIEVED_DIVISOR = 5;

/** Number of canaries. */
static constexpr std::size_t CANARIES = 2;

/** Difference between the clocks of two VMs that is ignored. */
static constexpr mono_ms CLOCK_DIFFERENCE_MAX_MS = 3000;

/** Interval at which the order of the canaries changes, so that each of them is busy at times. */
static constexpr mono_ms CANARY_TURN_MS = 1500;

/** Part by which the rates of all servers together exceed the share, since callers don't spread
 * their requests evenly. */
static constexpr double RATE_MARGIN = 1.5;

static constexpr double MS_PER_S = 1000;
static constexpr double PERMILLE = 1000;

std::vector<rollout_effect>
rollout_controller::handle(const rollout_event& event, mono_ms now)
{
  effects_.clear();
  std::visit([&](const auto& item) { on(item, now); }, event);
  return std::move(effects_);
}

void
rollout_controller::announce_change()
{
  effects_.emplace_back(publish_rollouts{});
  effects_.emplace_back(announce_rollouts{ CHANGE_REPETITIONS });
}

void
rollout_controller::log(const rollout_record& record, rollout_reason reason, mono_ms now)
{
  const auto found = deliberations_.find(record.order.service);
  const sample sums = found == deliberations_.end() || found->second.samples.empty()
                        ? sample{}
                        : found->second.samples.back();
  effects_.emplace_back(log_rollout{ { { "service", record.order.service },
                                       { "target", record.order.target_version },
                                       { "order", record.order.number },
                                       { "state", enum_name(record.state) },
                                       { "step", enum_name(record.step) },
                                       { "reason", enum_name(reason) },
                                       { "share", record.share_permille },
                                       { "stored", record.is_stored ? "yes" : "no" },
                                       { "age_ms", now - record.began_at },
                                       { "taken", sums.target.taken },
                                       { "answered", sums.target.answered },
                                       { "failed", sums.target.failed },
                                       { "others_taken", sums.others.taken },
                                       { "others_answered", sums.others.answered },
                                       { "others_failed", sums.others.failed } } });
}

void
rollout_controller::on(const rollout_order_read& event, mono_ms now)
{
  const auto known = view_.find(event.order.service);
  if (known != view_.end()) {
    if (known->second.order.number >= event.order.number) {
      return;
    }
    log(known->second, rollout_reason::superseded, now);
  }
  rollout_record record;
  record.order = event.order;
  record.began_at = now;
  record.heard_at = now;
  rollout_record& stored = view_[event.order.service] = record;
  log(stored, rollout_reason::none, now);
  announce_change();
}

void
rollout_controller::on(const rollout_news_received& event, mono_ms now)
{
  const auto [known, is_new] = view_.try_emplace(event.record.order.service, event.record);
  const rollout_state before = known->second.state;
  const mono_ms heard_before = known->second.heard_at;
  const bool has_changed = is_new || merge_rollout(known->second, event.record);
  if (is_new || before != known->second.state) {
    log(known->second, rollout_reason::none, now);
  }
  if (has_changed || heard_before != known->second.heard_at) {
    effects_.emplace_back(publish_rollouts{});
  }
}

rollout_controller::deliberation&
rollout_controller::deliberate(const rollout_record& record, mono_ms now)
{
  deliberation& with = deliberations_[record.order.service];
  if (with.order != record.order.number) {
    with = {};
    with.order = record.order.number;
    with.step_since = now;
  }
  return with;
}

void
rollout_controller::on(const rollout_status_read& event, mono_ms now)
{
  const auto found = view_.find(event.service);
  if (found == view_.end()) {
    return;
  }
  rollout_record& record = found->second;
  deliberation& with = deliberate(record, now);
  with.is_call_pending = false;
  if (event.status && event.status->order > record.order.number) {
    with.next_call_at = now + STATUS_RETRY_DELAY_MS;
    return; // The status of a later order, which this node has not heard of yet, stays.
  }
  const bool is_ours = event.status && event.status->order == record.order.number &&
                       event.status->target_version == record.order.target_version;
  if (is_ours) {
    with.stored = event.status->state;
    if (event.status->began_unix_ms > 0) {
      with.began_unix_ms = event.status->began_unix_ms;
    }
    if (event.status->state != rollout_state::running) {
      const bool has_changed = record.state != event.status->state || !record.is_stored;
      if (record.state != event.status->state) {
        // A state that was reached before this process knew of the order is past.
        const bool is_past = record.step == rollout_step::hold;
        record.final_at = is_past ? std::max<mono_ms>(now - PAST_FINAL_AGE_MS, 1) : now;
      }
      record.state = event.status->state;
      record.is_stored = true;
      if (has_changed) {
        log(record, rollout_reason::other_writer, now);
        announce_change();
      }
      return;
    }
  }
  const rollout_state wanted = with.wants_completed && record.state == rollout_state::running
                                 ? rollout_state::completed
                                 : record.state;
  if (with.stored == wanted) {
    return;
  }
  with.is_call_pending = true;
  effects_.emplace_back(write_rollout_status{
    event.service,
    { wanted, record.order.target_version, record.order.number, with.began_unix_ms },
    event.end });
}

void
rollout_controller::on(const rollout_status_failed& event, mono_ms now)
{
  const auto found = deliberations_.find(event.service);
  if (found != deliberations_.end()) {
    found->second.is_call_pending = false;
    found->second.next_call_at = now + STATUS_RETRY_DELAY_MS;
  }
}

void
rollout_controller::on(const rollout_status_written& event, mono_ms now)
{
  const auto found = view_.find(event.service);
  if (found == view_.end() || found->second.order.number != event.order) {
    return;
  }
  rollout_record& record = found->second;
  deliberation& with = deliberate(record, now);
  with.is_call_pending = false;
  with.stored = event.state;
  if (event.state == rollout_state::running) {
    return;
  }
  record.final_at = record.state == event.state ? record.final_at : now;
  record.state = event.state;
  record.is_stored = true;
  log(record, rollout_reason::none, now);
  announce_change();
}

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
                                const deliberation& with,
                                const fleet_state& fleet,
                                mono_ms now) const
{
  const mono_ms age = now - record.began_at;
  const mono_ms at_step = now - with.step_since;
  const rollout_sums& target = with.samples.back().target;
  if (is_suspicious(with)) {
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
                                         age > LONELY_CANARY_PART *
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
             since(target, with.at_step).answered >= step_answers_min(record) &&
             static_cast<double>(room) >= ROOM_FACTOR * fleet.active;
    case rollout_step::full:
      break;
  }
  return false;
}

void
rollout_controller::choose_canaries(rollout_record& record,
                                    deliberation& with,
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
    return node->rollout.failed >= RELIEVED_FAILURES &&
           node->rollout.failed * RELIEVED_DIVISOR >= node->rollout.answered;
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
  if (now - with.turned_at >= CANARY_TURN_MS && chosen.size() > 1) {
    with.turned_at = now;
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
rollout_controller::set_share(rollout_record& record, deliberation& with, const fleet_state& fleet)
{
  const sample& latest = with.samples.back();
  const sample& first = with.samples.front();
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
    with.is_resting = left <= 0 || (with.is_resting && left < share * rate);
    share = with.is_resting ? 0 : share;
  }
  const bool has_few = record.step == rollout_step::canary || fleet.targets.empty();
  const double servers = has_few ? 1 : static_cast<double>(fleet.targets.size());
  const double each = has_few ? rate * share : rate * share * RATE_MARGIN / servers;
  const auto share_permille = static_cast<std::uint32_t>(std::lround(share * PERMILLE));
  const auto server_rate =
    share_permille == 0 ? 0 : static_cast<std::uint32_t>(std::ceil(each)) + 1;
  const bool has_turned = (share_permille == 0) != (record.share_permille == 0);
  record.share_permille = share_permille;
  record.server_rate = server_rate;
  if (has_turned) {
    effects_.emplace_back(publish_rollouts{});
    effects_.emplace_back(announce_rollouts{ 1 });
  }
}

void
rollout_controller::set_step(rollout_record& record, rollout_step step, mono_ms now)
{
  deliberation& with = deliberate(record, now);
  record.step = step;
  with.step_since = now;
  with.at_step = with.samples.back().target;
  with.idle_since = 0;
  log(record, rollout_reason::none, now);
  announce_change();
}

void
rollout_controller::roll_back(rollout_record& record, rollout_reason reason, mono_ms now)
{
  record.state = rollout_state::rolled_back;
  record.final_at = now;
  log(record, reason, now);
  announce_change();
}

void
rollout_controller::decide(rollout_record& record, const fleet_state& fleet, mono_ms now)
{
  deliberation& with = deliberate(record, now);
  collect(with, record, fleet, now);
  const mono_ms age = now - record.began_at;
  const rollout_reason reason = judge(with, fleet, now);
  if (with.wants_completed) {
    return; // The store may hold it already, and then the other servers are gone.
  }
  if (reason != rollout_reason::none) {
    roll_back(record, reason, now);
    return;
  }
  const bool is_late = age >= record.order.duration_ms - DECISION_MARGIN_MS;
  const bool is_too_late = age >= record.order.duration_ms + LATE_COMPLETION_MS;
  if ((is_late && record.step != rollout_step::full) || is_too_late) {
    roll_back(record, rollout_reason::deadline, now);
    return;
  }
  if (record.step == rollout_step::full) {
    if (!fleet.are_others_idle) {
      with.idle_since = 0;
    } else if (with.idle_since == 0) {
      with.idle_since = now;
    }
    const bool has_answers =
      since(with.samples.back().target, with.at_step).answered >= FULL_ANSWERS_MIN ||
      age >= record.order.duration_ms - STORE_RESERVE_MS;
    const bool is_over = with.idle_since != 0 && now - with.idle_since >= IDLE_TIME_MS &&
                         now - with.step_since >= RAMP_STEP_MIN_MS && !is_suspicious(with) &&
                         !fleet.targets.empty() && has_answers;
    with.wants_completed = is_over;
  } else if (may_advance(record, with, fleet, now)) {
    set_step(record, static_cast<rollout_step>(static_cast<std::size_t>(record.step) + 1), now);
  }
  if (record.step == rollout_step::canary) {
    choose_canaries(record, with, fleet, now);
  }
  set_share(record, with, fleet);
}

void
rollout_controller::advance_status(const rollout_record& record, std::int64_t unix_ms, mono_ms now)
{
  deliberation& with = deliberate(record, now);
  if (with.began_unix_ms == 0) {
    with.began_unix_ms = unix_ms - (now - record.began_at);
  }
  const rollout_state wanted = with.wants_completed && record.state == rollout_state::running
                                 ? rollout_state::completed
                                 : record.state;
  if (with.is_call_pending || now < with.next_call_at || with.stored == wanted ||
      (record.is_stored && record.state != rollout_state::running)) {
    return;
  }
  with.is_call_pending = true;
  effects_.emplace_back(read_rollout_status{ record.order.service });
}

void
rollout_controller::on(const rollout_tick& event, mono_ms now)
{
  if (!event.is_decider) {
    // Another node decides, and may not know what this one wanted.
    for (auto& [service, with] : deliberations_) {
      with.wants_completed = false;
      with.stored.reset();
      with.samples.clear();
    }
    return;
  }
  for (auto& [service, record] : view_) {
    deliberation& with = deliberate(record, now);
    if (with.stored && with.began_unix_ms > 0) {
      // The order may have been read before all proxies were restarted.
      const mono_ms began_at = now - (event.unix_ms - with.began_unix_ms);
      if (began_at + CLOCK_DIFFERENCE_MAX_MS < record.began_at) {
        record.began_at = std::max(began_at, now - record.order.duration_ms - LATE_COMPLETION_MS);
      }
    }
    if (record.state == rollout_state::running && with.stored) {
      record.heard_at = now;
      decide(record, survey(record, event.servers), now);
    } else if (record.state == rollout_state::running && record.step != rollout_step::hold) {
      // What the store holds is read before the version gets more, since another node may have
      // decided already. A bad version is stopped without it.
      const fleet_state fleet = survey(record, event.servers);
      collect(with, record, fleet, now);
      const rollout_reason reason = judge(with, fleet, now);
      if (reason != rollout_reason::none) {
        roll_back(record, reason, now);
      }
    }
    advance_status(record, event.unix_ms, now);
    if (now >= with.next_announcement_at) {
      with.next_announcement_at =
        now + (record.state == rollout_state::running ? ANNOUNCEMENT_INTERVAL_MS
                                                      : FINAL_ANNOUNCEMENT_INTERVAL_MS);
      effects_.emplace_back(publish_rollouts{});
      effects_.emplace_back(announce_rollouts{ 1 });
    }
  }
}

} // namespace shallotfield
