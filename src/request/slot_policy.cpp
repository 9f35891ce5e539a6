// Decides about the slots of a backend server.
#include "slot_policy.h"

namespace shallotfield {

/** Time on a slot that is assumed before any request was seen to its end. */
static constexpr double UNKNOWN_SERVICE_MS = 60;

/** Weight of the latest request in the average times: about the last ten count. */
static constexpr double AVERAGE_WEIGHT = 0.1;

/** Kinds of work whose times are kept apart; more are taken as average work. */
static constexpr std::size_t WORK_KINDS_MAX = 1000;

/** Requests over which the time on a slot is compared with the usual one. Fewer would show the
 * spread of the work rather than the server. */
static constexpr double COMPARED_REQUESTS = 20;

/** Bounds of one such comparison: a single long request says little about the server. */
static constexpr double RATIO_MIN = 0.2;
static constexpr double RATIO_MAX = 4;

static constexpr double PERMILLE = 1000;

/** Share of its expected time that a running request is taken to need at least. */
static constexpr double LEAST_REMAINING = 0.2;

/** Shortest time after which a refused caller is asked to come again. */
static constexpr double RETRY_AFTER_MIN_MS = 50;

std::vector<slot_effect>
slot_queue::handle(const slot_event& event, mono_ms now)
{
  effects_.clear();
  std::visit([&](const auto& item) { on(item, now); }, event);
  advance(now);
  return std::move(effects_);
}

double
slot_queue::expected_ms(const std::string& work) const
{
  const auto found = service_ms_.find(work);
  if (found != service_ms_.end()) {
    return found->second;
  }
  return average_ms_ > 0 ? average_ms_ : UNKNOWN_SERVICE_MS;
}

double
slot_queue::expected_wait_ms(const rank& place, mono_ms now) const
{
  if (slots_ == 0) {
    return 0;
  }
  double work_ms = 0;
  for (const auto& [id, request] : running_) {
    const double expected = expected_ms(request.work);
    const double elapsed = static_cast<double>(now - request.started_at);
    work_ms += std::max(expected - elapsed, expected * LEAST_REMAINING);
  }
  for (const rank& ahead : queue_) {
    if (ahead >= place) {
      break;
    }
    work_ms += expected_ms(waiting_.at(std::get<slot_ticket>(ahead)).work);
  }
  return work_ms / slots_;
}

void
slot_queue::refuse(slot_ticket id, refusal reason, double retry_after_ms)
{
  effects_.emplace_back(slot_refuse{
    id, reason, static_cast<std::int64_t>(std::max(retry_after_ms, RETRY_AFTER_MIN_MS)) });
}

void
slot_queue::on(const slot_arrival& event, mono_ms now)
{
  if (!takes_work_) {
    refuse(event.id, refusal::draining, 0);
    return;
  }
  const rank place = rank_of(event);
  const bool has_slot = running_.size() < slots_ && queue_.empty();
  const double wait = has_slot ? 0 : expected_wait_ms(place, now);
  const double done_at = static_cast<double>(now) + wait + expected_ms(event.work);
  if (!has_slot && done_at > static_cast<double>(std::min(event.objective_at, event.deadline))) {
    refuse(event.id, refusal::queue_full, wait);
    return;
  }
  waiting_.emplace(event.id, event);
  queue_.insert(place);
}

void
slot_queue::on(const slot_finished& event, mono_ms now)
{
  const auto found = running_.find(event.id);
  if (found == running_.end()) {
    return;
  }
  if (event.was_whole) {
    note_time(found->second, static_cast<double>(now - found->second.started_at));
  }
  running_.erase(found);
}

void
slot_queue::note_time(const running_request& request, double taken_ms)
{
  average_ms_ =
    average_ms_ == 0 ? taken_ms : average_ms_ + AVERAGE_WEIGHT * (taken_ms - average_ms_);
  const auto known = service_ms_.find(request.work);
  if (known != service_ms_.end()) {
    known->second += AVERAGE_WEIGHT * (taken_ms - known->second);
  } else if (service_ms_.size() < WORK_KINDS_MAX) {
    service_ms_.emplace(request.work, taken_ms);
  }
  if (request.usual_ms > 0) {
    const double ratio =
      std::clamp(taken_ms / static_cast<double>(request.usual_ms), RATIO_MIN, RATIO_MAX);
    ++compared_;
    slowness_ +=
      (ratio - slowness_) / std::min(COMPARED_REQUESTS, static_cast<double>(compared_) + 1);
  }
}

void
slot_queue::on(const slot_overdue& event, mono_ms now)
{
  const auto found = running_.find(event.id);
  if (found == running_.end()) {
    return;
  }
  // It would have taken longer still. What is short of the usual time says nothing: the request had
  // little time left.
  const double taken = static_cast<double>(now - found->second.started_at);
  const double usual = found->second.usual_ms > 0 ? static_cast<double>(found->second.usual_ms)
                                                  : expected_ms(found->second.work);
  if (taken >= usual) {
    note_time(found->second, taken);
  }
  running_.erase(found);
}

void
slot_queue::on(const slot_cancelled& event, mono_ms /*now*/)
{
  const auto found = waiting_.find(event.id);
  if (found != waiting_.end()) {
    queue_.erase(rank_of(found->second));
    waiting_.erase(found);
  }
  running_.erase(event.id);
}

void
slot_queue::on(const slot_server& event, mono_ms /*now*/)
{
  if (event.is_new) {
    slowness_ = 1;
    compared_ = 0;
    service_ms_.clear();
    average_ms_ = 0;
  }
  slots_ = event.slots;
  takes_work_ = event.takes_work;
  if (!takes_work_) {
    for (const rank& place : queue_) {
      refuse(std::get<slot_ticket>(place), refusal::draining, 0);
    }
    queue_.clear();
    waiting_.clear();
  }
}

void
slot_queue::on(const slot_timer& /*event*/, mono_ms /*now*/)
{
}

void
slot_queue::advance(mono_ms now)
{
  // What would end after its deadline even if it started now has waited in vain.
  for (auto place = queue_.begin(); place != queue_.end();) {
    const slot_ticket id = std::get<slot_ticket>(*place);
    const slot_arrival& request = waiting_.at(id);
    if (static_cast<double>(now) + expected_ms(request.work) / 2 >
        static_cast<double>(request.deadline)) {
      refuse(id, refusal::too_late, expected_wait_ms(*place, now));
      waiting_.erase(id);
      place = queue_.erase(place);
    } else {
      ++place;
    }
  }
  while (running_.size() < slots_ && !queue_.empty()) {
    const slot_ticket id = std::get<slot_ticket>(*queue_.begin());
    running_.emplace(id, running_request{ waiting_.at(id).work, now, waiting_.at(id).usual_ms });
    waiting_.erase(id);
    queue_.erase(queue_.begin());
    effects_.emplace_back(slot_start{ id });
  }
}

load_report
slot_queue::report() const
{
  return { static_cast<std::uint32_t>(running_.size()),
           static_cast<std::uint32_t>(waiting_.size()),
           takes_work_ ? slots_ : 0,
           static_cast<std::uint32_t>(slowness_ * PERMILLE) };
}

} // namespace shallotfield
