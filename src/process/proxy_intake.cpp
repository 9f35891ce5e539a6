// The traffic thread of a proxy: bodies of uploads that other proxies offer, and the log of refused
// requests to the local server.
#include "proxy_traffic_base.h"

namespace shallotfield {

/** Interval at which transfers are checked while one is under way. */
static constexpr std::int64_t INTAKE_CHECK_INTERVAL_MS = 100;

void
proxy_traffic::handle_offer(session_id id, const call_credit& offer)
{
  const mono_ms now = read_clocks().mono;
  apply_server_limit(); // The time of the next probe may have come.
  if (slots_.report().slots == 0) {
    send_to_session(
      id,
      call_failed{ offer.id, failure_reason::draining, outcome::not_run, 0, current_load(), 0 });
    return;
  }
  // The request has to wait for the link first, and then for a slot.
  const double at_server_ms = slots_.backlog_ms(now) + slots_.expected_ms(offer.work);
  raise_intake_event(
    intake_offered{ { id, offer.id },
                    std::max<std::int64_t>(offer.bytes, 1),
                    now + offer.objective_ms - static_cast<mono_ms>(at_server_ms) });
}

void
proxy_traffic::raise_intake_event(const intake_event& event)
{
  const mono_ms now = read_clocks().mono;
  for (const intake_effect& effect : upload_intake_.handle(event, now)) {
    std::visit(
      overloaded{
        [&](const intake_grant& item) {
          send_to_session(item.key.session, call_credit{ item.key.call, item.bytes, {}, 0 });
        },
        [&](const intake_defer& item) {
          send_to_session(item.key.session, call_credit{ item.key.call, 0, {}, 0 });
        },
        [&](const intake_refuse& item) {
          count(counter_id::uploads_refused);
          if (log_rate_limiter_.try_acquire(false, now)) {
            const load_report load = slots_.report();
            write_log(log_event::admission,
                      { { "verdict", "refused" },
                        { "reason", "link_full" },
                        { "wait_ms", item.retry_after_ms },
                        { "running", load.running },
                        { "waiting", load.waiting } });
          }
          send_to_session(item.key.session,
                          call_failed{ item.key.call,
                                       failure_reason::queue_full,
                                       outcome::not_run,
                                       item.retry_after_ms,
                                       current_load(),
                                       0 });
        },
      },
      effect);
  }
  if (upload_intake_.is_busy() && !is_intake_check_scheduled_) {
    is_intake_check_scheduled_ = true;
    timers_.schedule(INTAKE_CHECK_INTERVAL_MS, [this] {
      is_intake_check_scheduled_ = false;
      raise_intake_event(intake_tick{});
    });
  }
}

void
proxy_traffic::log_slot_refusal(const slot_refuse& refusal)
{
  const auto found = server_requests_.find(refusal.id);
  const mono_ms now = read_clocks().mono;
  if (refusal.share_band > 0) {
    count(counter_id::refused_over_share);
  }
  if (found == server_requests_.end() || !log_rate_limiter_.try_acquire(false, now)) {
    return;
  }
  const server_request& request = found->second;
  const load_report load = slots_.report();
  write_log(log_event::admission,
            { { "request", request.request_id },
              { "verdict", "refused" },
              { "reason", enum_name(refusal.reason) },
              { "rule", request.call.work },
              { "account", request.call.customer },
              { "priority", request.call.priority },
              { "share_band", refusal.share_band },
              { "waited_ms", now - request.arrived_at },
              { "left_ms", request.deadline - now },
              { "retry_after_ms", refusal.retry_after_ms },
              { "running", load.running },
              { "waiting", load.waiting } });
}

} // namespace shallotfield
