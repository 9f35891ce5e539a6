// Implements the admission control in front of a backend server.
#include "admission_policy.h"

namespace shallotfield {

/** Weight of the latest request in the moving average of service times. */
static constexpr double SERVICE_TIME_EWMA_WEIGHT = 0.1;

/** Duration of the slow start: after this time a cold server may use all of its slots. */
static constexpr mono_ms COLD_RAMP_MS = 5000;

/** Percentage of its slots that a cold server may use at first. */
static constexpr std::uint32_t COLD_START_PERCENT = 20;

std::vector<admission_effect>
admission::handle(const admission_event& event, mono_ms now)
{
  std::visit(overloaded{
               [&](const admission_arrival& arrival) { handle_arrival(arrival, now); },
               [&](const admission_finish& finished) { finish(finished.id, now); },
               [&](const admission_cancel& cancelled) { cancel(cancelled.id); },
               [&](const admission_tick&) { refuse_expired(now); },
               [&](const admission_server_changed& server) { set_server(server.info, now); },
               [&](const admission_close&) {
                 is_closed_ = true;
                 refuse_all_waiting(failure_reason::draining, now);
               },
             },
             event);
  dispatch(now);
  return std::exchange(effects_, {});
}

std::uint32_t
admission::usable_slots(mono_ms now) const
{
  switch (server_.state) {
    case server_state::none:
    case server_state::draining:
      return 0;
    case server_state::ready:
      return server_.slots;
    case server_state::cold:
      break;
  }
  const mono_ms warm_ms = std::clamp<mono_ms>(now - cold_since_, 0, COLD_RAMP_MS);
  const auto percent = COLD_START_PERCENT + (100 - COLD_START_PERCENT) * warm_ms / COLD_RAMP_MS;
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(server_.slots * percent / 100));
}

load_report
admission::report(mono_ms now) const
{
  return { static_cast<std::uint32_t>(running_.size()),
           static_cast<std::uint32_t>(waiting_count()),
           usable_slots(now) };
}

std::size_t
admission::waiting_count() const
{
  std::size_t total = 0;
  for (const class_queue& item : class_queues_) {
    total += item.size;
  }
  return total;
}

bool
admission::has_slot(work_class kind, mono_ms now) const
{
  const std::uint32_t slots = usable_slots(now);
  if (running_.size() >= slots) {
    return false;
  }
  if (kind == work_class::interactive) {
    return true;
  }
  const auto running_bulk = std::count_if(running_.begin(), running_.end(), [](const auto& item) {
    return item.second.kind == work_class::bulk;
  });
  const auto bulk_slots_max = std::max<std::int64_t>(1, slots * limits_.bulk_slots_percent / 100);
  return running_bulk < bulk_slots_max;
}

mono_ms
admission::expected_ms(work_class kind, mono_ms now) const
{
  const auto index = static_cast<std::size_t>(kind);
  std::size_t ahead = 0;
  for (std::size_t i = 0; i <= index; ++i) {
    ahead += class_queues_[i].size;
  }
  // The requests ahead take one service time for each group of `slots` requests. If no slot is
  // free, the first one becomes free after half a service time on average. The last summand is the
  // request itself.
  const std::uint32_t slots = std::max<std::uint32_t>(1, usable_slots(now));
  const double rounds = static_cast<double>(ahead) / slots;
  const double rounds_until_free = has_slot(kind, now) ? 0.0 : 0.5;
  return static_cast<mono_ms>((rounds + rounds_until_free + 1.0) * service_ms_[index]);
}

void
admission::refuse(ticket id, failure_reason reason, mono_ms now)
{
  const mono_ms wait = expected_ms(work_class::interactive, now);
  effects_.emplace_back(admission_refuse{ id, reason, std::max<mono_ms>(1, wait) });
}

void
admission::start(const admission_arrival& request, mono_ms now)
{
  running_[request.id] = { request.kind, now };
  effects_.emplace_back(admission_start{ request.id });
}

void
admission::handle_arrival(const admission_arrival& event, mono_ms now)
{
  if (is_closed_ || server_.state == server_state::draining) {
    refuse(event.id, failure_reason::draining, now);
    return;
  }
  if (server_.state == server_state::none) {
    refuse(event.id, failure_reason::no_server, now);
    return;
  }
  if (waiting_count() == 0 && has_slot(event.kind, now) && event.deadline > now) {
    start(event, now);
    return;
  }
  if (now + expected_ms(event.kind, now) > event.deadline || event.deadline <= now) {
    refuse(event.id, failure_reason::too_late, now);
    return;
  }
  class_queue& target = class_queue_of(event.kind);
  if (static_cast<std::int64_t>(target.size) >= limits_.queue_limit) {
    refuse(event.id, failure_reason::queue_full, now);
    return;
  }
  std::deque<admission_arrival>& queue = target.queues[event.customer];
  if (queue.empty()) {
    target.rotation.push_back(event.customer);
  }
  queue.push_back(event);
  ++target.size;
}

void
admission::finish(ticket id, mono_ms now)
{
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return;
  }
  double& average = service_ms_[static_cast<std::size_t>(found->second.kind)];
  const auto taken_ms = static_cast<double>(now - found->second.started_at);
  average = average == 0
              ? taken_ms
              : (1 - SERVICE_TIME_EWMA_WEIGHT) * average + SERVICE_TIME_EWMA_WEIGHT * taken_ms;
  running_.erase(found);
}

void
admission::remove_waiting(const std::function<bool(const admission_arrival&)>& should_remove)
{
  for (class_queue& item : class_queues_) {
    for (auto& [customer, queue] : item.queues) {
      item.size -= std::erase_if(queue, should_remove);
      if (queue.empty()) {
        item.rotation.remove(customer);
      }
    }
    std::erase_if(item.queues, [](const auto& entry) { return entry.second.empty(); });
  }
}

void
admission::cancel(ticket id)
{
  remove_waiting([id](const admission_arrival& waiting) { return waiting.id == id; });
}

void
admission::refuse_expired(mono_ms now)
{
  remove_waiting([this, now](const admission_arrival& waiting) {
    const double needed = service_ms_[static_cast<std::size_t>(waiting.kind)];
    const bool has_expired = static_cast<double>(waiting.deadline - now) <= needed;
    if (has_expired) {
      refuse(waiting.id, failure_reason::too_late, now);
    }
    return has_expired;
  });
}

void
admission::set_server(const server_info& info, mono_ms now)
{
  const bool becomes_cold = info.state == server_state::cold && server_.state != server_state::cold;
  if (becomes_cold) {
    cold_since_ = now;
  }
  server_ = info;
  if (info.state == server_state::draining) {
    refuse_all_waiting(failure_reason::draining, now);
  } else if (info.state == server_state::none) {
    refuse_all_waiting(failure_reason::no_server, now);
  }
}

void
admission::refuse_all_waiting(failure_reason reason, mono_ms now)
{
  for (const work_class kind : { work_class::interactive, work_class::bulk }) {
    while (const std::optional<admission_arrival> next = take_next(kind)) {
      refuse(next->id, reason, now);
    }
  }
}

std::optional<admission_arrival>
admission::take_next(work_class kind)
{
  class_queue& from = class_queue_of(kind);
  if (from.rotation.empty()) {
    return std::nullopt;
  }
  const std::string customer = from.rotation.front();
  from.rotation.pop_front();
  const auto queue = from.queues.find(customer);
  admission_arrival next = std::move(queue->second.front());
  queue->second.pop_front();
  --from.size;
  if (queue->second.empty()) {
    from.queues.erase(queue);
  } else {
    from.rotation.push_back(customer);
  }
  return next;
}

void
admission::dispatch(mono_ms now)
{
  for (const work_class kind : { work_class::interactive, work_class::bulk }) {
    while (class_queue_of(kind).size > 0 && has_slot(kind, now)) {
      const std::optional<admission_arrival> next = take_next(kind);
      const auto needed = service_ms_[static_cast<std::size_t>(kind)];
      if (static_cast<double>(next->deadline - now) < needed || next->deadline <= now) {
        refuse(next->id, failure_reason::too_late, now);
      } else {
        start(*next, now);
      }
    }
  }
}

} // namespace shallotfield
