// The state of a roll-out in the store: when it is read and written, and what a state that was read
// means.
#include "enum_table.h"
#include "rollout_controller.h"

namespace shallotfield {

/** Age of a final state of which the time is not known. Servers of other versions that run by now
 * were started after it. */
static constexpr mono_ms PAST_FINAL_AGE_MS = 60'000;

/** Delay before the next call to the store after one failed. */
static constexpr mono_ms STATUS_RETRY_DELAY_MS = 300;

void
rollout_controller::on(const rollout_status_read& event, mono_ms now)
{
  const auto found = view_.find(event.service);
  if (found == view_.end()) {
    return;
  }
  rollout_record& record = found->second;
  rollout_progress& progress = progress_of(record, now);
  progress.is_call_pending = false;
  if (event.status && event.status->order > record.order.number) {
    progress.next_call_at = now + STATUS_RETRY_DELAY_MS;
    return; // The status of a later order, which this node has not heard of yet, stays.
  }
  const bool is_ours = event.status && event.status->order == record.order.number &&
                       event.status->target_version == record.order.target_version;
  if (is_ours) {
    progress.stored = event.status->state;
    if (event.status->began_unix_ms > 0) {
      progress.began_unix_ms = event.status->began_unix_ms;
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
  const rollout_state wanted = progress.wants_completed && record.state == rollout_state::running
                                 ? rollout_state::completed
                                 : record.state;
  if (progress.stored == wanted) {
    return;
  }
  progress.is_call_pending = true;
  effects_.emplace_back(write_rollout_status{
    event.service,
    { wanted, record.order.target_version, record.order.number, progress.began_unix_ms },
    event.end });
}

void
rollout_controller::on(const rollout_status_failed& event, mono_ms now)
{
  const auto found = progress_by_service_.find(event.service);
  if (found != progress_by_service_.end()) {
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
  rollout_progress& progress = progress_of(record, now);
  progress.is_call_pending = false;
  progress.stored = event.state;
  if (event.state == rollout_state::running) {
    return;
  }
  record.final_at = record.state == event.state ? record.final_at : now;
  record.state = event.state;
  record.is_stored = true;
  log(record, rollout_reason::none, now);
  announce_change();
}

void
rollout_controller::advance_status(const rollout_record& record, std::int64_t unix_ms, mono_ms now)
{
  rollout_progress& progress = progress_of(record, now);
  if (progress.began_unix_ms == 0) {
    progress.began_unix_ms = unix_ms - (now - record.began_at);
  }
  const rollout_state wanted = progress.wants_completed && record.state == rollout_state::running
                                 ? rollout_state::completed
                                 : record.state;
  if (progress.is_call_pending || now < progress.next_call_at || progress.stored == wanted ||
      (record.is_stored && record.state != rollout_state::running)) {
    return;
  }
  progress.is_call_pending = true;
  effects_.emplace_back(read_rollout_status{ record.order.service });
}

} // namespace shallotfield
