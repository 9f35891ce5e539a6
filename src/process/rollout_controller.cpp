// Handles the events of roll-outs, and decides when a step, a roll-back or the completion is due.
#include "rollout_controller.h"

#include "enum_table.h"
#include "rollout_sums.h"

namespace shallotfield {

/** Interval at which a decider repeats the record of a running roll-out. Servers of the target
 * version stop taking requests when they have heard nothing for several of them. */
static constexpr mono_ms ANNOUNCEMENT_INTERVAL_MS = 500;

/** The same for a final state, which proxies that started later need. */
static constexpr mono_ms FINAL_ANNOUNCEMENT_INTERVAL_MS = 5000;

/** Number of times that a change is sent, since datagrams may be lost. */
static constexpr int CHANGE_REPETITIONS = 3;

/** Shortest time at step full, within which the evidence of all servers arrives. */
static constexpr mono_ms FULL_MIN_MS = 900;

/** Answers of the target version at step full without which the roll-out isn't completed. */
static constexpr std::uint64_t FULL_ANSWERS_MIN = 60;

/** Time that is kept before the deadline for the write of the state. */
static constexpr mono_ms STORE_RESERVE_MS = 1000;

/** Time for which the other servers must be idle before the roll-out is completed. */
static constexpr mono_ms IDLE_TIME_MS = 250;

/** Time after the deadline for which requests at other servers may still end. */
static constexpr mono_ms LATE_COMPLETION_MS = 3000;

/** Time before the deadline at which an undecided roll-out ends. */
static constexpr mono_ms DECISION_MARGIN_MS = 300;

/** Difference between the clocks of two VMs that is ignored. */
static constexpr mono_ms CLOCK_DIFFERENCE_MAX_MS = 3000;

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
  const auto found = progress_by_service_.find(record.order.service);
  const sample sums = found == progress_by_service_.end() || found->second.samples.empty()
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

rollout_controller::rollout_progress&
rollout_controller::progress_of(const rollout_record& record, mono_ms now)
{
  rollout_progress& progress = progress_by_service_[record.order.service];
  if (progress.order != record.order.number) {
    progress = {};
    progress.order = record.order.number;
    progress.step_since = now;
  }
  return progress;
}

void
rollout_controller::set_step(rollout_record& record, rollout_step step, mono_ms now)
{
  rollout_progress& progress = progress_of(record, now);
  record.step = step;
  progress.step_since = now;
  progress.at_step = progress.samples.back().target;
  progress.idle_since = 0;
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
  rollout_progress& progress = progress_of(record, now);
  collect(progress, record, fleet, now);
  const mono_ms age = now - record.began_at;
  const rollout_reason reason = judge(progress, fleet, now);
  if (progress.wants_completed) {
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
      progress.idle_since = 0;
    } else if (progress.idle_since == 0) {
      progress.idle_since = now;
    }
    const bool has_answers =
      since(progress.samples.back().target, progress.at_step).answered >= FULL_ANSWERS_MIN ||
      age >= record.order.duration_ms - STORE_RESERVE_MS;
    const bool is_over = progress.idle_since != 0 && now - progress.idle_since >= IDLE_TIME_MS &&
                         now - progress.step_since >= FULL_MIN_MS && !is_suspicious(progress) &&
                         !fleet.targets.empty() && has_answers;
    progress.wants_completed = is_over;
  } else if (may_advance(record, progress, fleet, now)) {
    set_step(record, static_cast<rollout_step>(static_cast<std::size_t>(record.step) + 1), now);
  }
  if (record.step == rollout_step::canary) {
    choose_canaries(record, progress, fleet, now);
  }
  set_share(record, progress, fleet);
}

void
rollout_controller::on(const rollout_tick& event, mono_ms now)
{
  if (!event.is_decider) {
    // Another node decides, and may not know what this one wanted.
    for (auto& [service, progress] : progress_by_service_) {
      progress.wants_completed = false;
      progress.stored.reset();
      progress.samples.clear();
    }
    return;
  }
  for (auto& [service, record] : view_) {
    rollout_progress& progress = progress_of(record, now);
    if (progress.stored && !progress.is_start_corrected && progress.began_unix_ms > 0) {
      // The order may have been read before all proxies were restarted. Done once, so that a later
      // jump of the wall clock doesn't make it an old one.
      progress.is_start_corrected = true;
      const mono_ms began_at = now - (event.unix_ms - progress.began_unix_ms);
      if (began_at + CLOCK_DIFFERENCE_MAX_MS < record.began_at) {
        const mono_ms earliest = now - record.order.duration_ms - LATE_COMPLETION_MS;
        const bool is_running = record.state == rollout_state::running;
        record.began_at = is_running ? std::max(began_at, earliest) : began_at;
      }
    }
    if (record.state == rollout_state::running && progress.stored) {
      record.heard_at = now;
      decide(record, survey(record, event.servers), now);
    } else if (record.state == rollout_state::running && record.step != rollout_step::hold) {
      // What the store holds is read before the version gets more, since another node may have
      // decided already. A bad version is stopped without it.
      const fleet_state fleet = survey(record, event.servers);
      collect(progress, record, fleet, now);
      const rollout_reason reason = judge(progress, fleet, now);
      if (reason != rollout_reason::none) {
        roll_back(record, reason, now);
      }
    }
    advance_status(record, event.unix_ms, now);
    if (now >= progress.next_announcement_at) {
      progress.next_announcement_at =
        now + (record.state == rollout_state::running ? ANNOUNCEMENT_INTERVAL_MS
                                                      : FINAL_ANNOUNCEMENT_INTERVAL_MS);
      effects_.emplace_back(publish_rollouts{});
      effects_.emplace_back(announce_rollouts{ 1 });
    }
  }
}

} // namespace shallotfield
