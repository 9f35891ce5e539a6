// Implements the queue in front of a backend server's slots.
#include "slot_policy.h"

#include <limits>

namespace shallotfield {

/** Service time that is assumed until the first request has finished. */
static constexpr double DEFAULT_SERVICE_MS = 60;

/** Weight of the latest request in the moving averages of service times, which thereby cover about
 * the last ten requests. */
static constexpr double SERVICE_TIME_EWMA_WEIGHT = 0.1;

/** Number of kinds of work with an average of their own. Further kinds use the overall average. */
static constexpr std::size_t WORK_KINDS_MAX = 1000;

/** Number of requests over which the slowness is averaged. With fewer requests it would reflect the
 * variation between requests rather than the speed of the server. */
static constexpr double SLOWNESS_WINDOW_REQUESTS = 20;

/** Bounds of the ratio that one request contributes to the slowness, since a single long request
 * says little about the server. */
static constexpr double SLOWNESS_SAMPLE_MIN = 0.2;
static constexpr double SLOWNESS_SAMPLE_MAX = 4;

static constexpr double PERMILLE = 1000;

/** Smallest fraction of its expected service time that a running request is assumed to need until
 * its end, however long it has run. */
static constexpr double REMAINING_FRACTION_MIN = 0.2;

/** A request counts as able to meet its latency objective if the time left is at least this
 * multiple of its expected service time. Service times vary, so with less time left many requests
 * would miss the objective. */
static constexpr double TIMELY_SERVICE_FACTOR = 1.5;

/** Longest wait for a slot, as a multiple of the time until the latency objective. A request that
 * would wait longer has better prospects at another server, or after the overload. */
static constexpr double WAIT_FACTOR_MAX = 1.5;

/** Lower bound of the retry-after time that is given with a refused request. */
static constexpr double RETRY_AFTER_MIN_MS = 50;

std::vector<slot_effect>
slot_queue::handle(const slot_event& event, mono_ms now)
{
  effects_.clear();
  std::visit([&](const auto& item) { on(item, now); }, event);
  dispatch(now);
  return std::move(effects_);
}

double
slot_queue::expected_ms(const std::string& work) const
{
  const auto found = service_ms_.find(work);
  if (found != service_ms_.end()) {
    return found->second;
  }
  return average_ms_ > 0 ? average_ms_ : DEFAULT_SERVICE_MS;
}

bool
slot_queue::can_meet_objective(const slot_arrival& request, mono_ms start_at) const
{
  return static_cast<double>(start_at) + TIMELY_SERVICE_FACTOR * expected_ms(request.work) <=
         static_cast<double>(request.objective_at);
}

slot_queue::queue_key
slot_queue::queue_key_of(const slot_arrival& request, mono_ms now) const
{
  const std::size_t band =
    request.account.empty()
      ? 0
      : shares_.band_of(
          request.account, request.account_weight, expected_ms(request.work), slots_, now);
  return { !request.is_call, request.priority, band, request.objective_at, request.id };
}

double
slot_queue::expected_wait_ms(const queue_key& position, bool counts_as_timely, mono_ms now) const
{
  if (slots_ == 0) {
    return 0;
  }
  double work_ms = 0;
  for (const auto& [id, other] : running_) {
    const double expected = expected_ms(other.work);
    const double elapsed = static_cast<double>(now - other.started_at);
    work_ms += std::max(expected - elapsed, expected * REMAINING_FRACTION_MIN);
  }
  for (const queue_key& item : queue_) {
    if (position.outranks(item)) {
      break;
    }
    // Requests of a higher rank start first. Within a rank, a request that can meet its objective
    // waits for the earlier ones that can. Any other request waits for all that can, earlier or
    // later, and for the earlier ones that cannot.
    const slot_arrival& other = waiting_.at(item.id);
    const bool is_ahead =
      item.outranks(position) ||
      (counts_as_timely ? item < position && can_meet_objective(other, now)
                        : item < position || (item != position && can_meet_objective(other, now)));
    work_ms += is_ahead ? expected_ms(other.work) : 0;
  }
  return work_ms / slots_;
}

double
slot_queue::backlog_ms(mono_ms now) const
{
  if (running_.size() < slots_ && queue_.empty()) {
    return 0;
  }
  return expected_wait_ms({ true,
                            std::numeric_limits<std::int64_t>::max(),
                            SHARE_BANDS,
                            std::numeric_limits<mono_ms>::max(),
                            std::numeric_limits<slot_ticket>::max() },
                          false,
                          now);
}

std::optional<double>
slot_queue::acceptable_wait_ms(const slot_arrival& request,
                               const queue_key& position,
                               mono_ms now) const
{
  const double expected = expected_ms(request.work);
  const auto start = static_cast<double>(now);
  const double wait = expected_wait_ms(position, true, now);
  if (start + wait + expected <=
      static_cast<double>(std::min(request.objective_at, request.deadline))) {
    return wait;
  }
  // The request would miss its objective or deadline. Check whether it can still run behind the
  // requests that will meet theirs.
  const double late_wait = expected_wait_ms(position, false, now);
  return start + late_wait <= static_cast<double>(latest_start_of(request, now))
           ? std::optional<double>(late_wait)
           : std::nullopt;
}

void
slot_queue::refuse(const queue_key& request, failure_reason reason, double retry_after_ms)
{
  effects_.emplace_back(
    slot_refuse{ request.id,
                 reason,
                 static_cast<std::int64_t>(std::max(retry_after_ms, RETRY_AFTER_MIN_MS)),
                 request.band });
}

void
slot_queue::on(const slot_arrival& event, mono_ms now)
{
  const queue_key position = queue_key_of(event, now);
  if (!takes_work_) {
    refuse(position, failure_reason::draining, 0);
    return;
  }
  const bool has_slot = running_.size() < slots_ && queue_.empty();
  if (!has_slot && !acceptable_wait_ms(event, position, now)) {
    refuse(position, failure_reason::queue_full, expected_wait_ms(position, false, now));
    return;
  }
  const double expected = expected_ms(event.work);
  const bool has_share =
    !event.account.empty() && shares_.open(event.account, event.account_weight, expected, now);
  waiting_.emplace(
    event.id,
    waiting_request{ event, latest_start_of(event, now), position, has_share ? expected : 0 });
  queue_.insert(position);
  if (!has_slot) {
    refuse_displaced(now);
  }
}

void
slot_queue::refuse_displaced(mono_ms now)
{
  while (!queue_.empty()) {
    const queue_key last = *queue_.rbegin();
    const auto request = waiting_.find(last.id);
    if (last.band == 0 || acceptable_wait_ms(request->second, last, now)) {
      return;
    }
    refuse(last, failure_reason::queue_full, expected_wait_ms(last, false, now));
    remove_waiting(request, now);
  }
}

void
slot_queue::remove_waiting(std::map<slot_ticket, waiting_request>::iterator request, mono_ms now)
{
  const waiting_request& removed = request->second;
  if (removed.share_ms > 0) {
    shares_.close(removed.account, removed.share_ms, 0, now);
  }
  queue_.erase(removed.key);
  waiting_.erase(request);
}

void
slot_queue::remove_running(std::map<slot_ticket, running_request>::iterator request, mono_ms now)
{
  const running_request& removed = request->second;
  if (removed.share_ms > 0) {
    shares_.close(
      removed.account, removed.share_ms, static_cast<double>(now - removed.started_at), now);
  }
  running_.erase(request);
}

mono_ms
slot_queue::latest_start_of(const slot_arrival& request, mono_ms now) const
{
  // Service times vary, so a request may still finish if half of its expected service time is left.
  const double last = static_cast<double>(request.deadline) - expected_ms(request.work) / 2;
  const auto objective = static_cast<double>(std::max<mono_ms>(request.objective_at - now, 0));
  const double patience = static_cast<double>(now) + WAIT_FACTOR_MAX * objective;
  const bool came_late = !request.account.empty() && !can_meet_objective(request, now);
  return static_cast<mono_ms>(request.is_call || came_late ? last : std::min(patience, last));
}

void
slot_queue::on(const slot_finished& event, mono_ms now)
{
  const auto found = running_.find(event.id);
  if (found == running_.end()) {
    return;
  }
  if (event.has_complete_response) {
    record_service_time(found->second, static_cast<double>(now - found->second.started_at));
  }
  remove_running(found, now);
}

void
slot_queue::record_service_time(const running_request& request, double taken_ms)
{
  average_ms_ =
    average_ms_ == 0 ? taken_ms : average_ms_ + SERVICE_TIME_EWMA_WEIGHT * (taken_ms - average_ms_);
  const auto known = service_ms_.find(request.work);
  if (known != service_ms_.end()) {
    known->second += SERVICE_TIME_EWMA_WEIGHT * (taken_ms - known->second);
  } else if (service_ms_.size() < WORK_KINDS_MAX) {
    service_ms_.emplace(request.work, taken_ms);
  }
  if (request.fleet_service_ms > 0) {
    const double ratio = std::clamp(taken_ms / static_cast<double>(request.fleet_service_ms),
                                    SLOWNESS_SAMPLE_MIN,
                                    SLOWNESS_SAMPLE_MAX);
    ++compared_requests_;
    slowness_ += (ratio - slowness_) /
                 std::min(SLOWNESS_WINDOW_REQUESTS, static_cast<double>(compared_requests_) + 1);
  }
}

void
slot_queue::on(const slot_timed_out& event, mono_ms now)
{
  const auto found = running_.find(event.id);
  if (found == running_.end()) {
    return;
  }
  // The request would have taken even longer than this, so its time is a lower bound of the service
  // time. A time below the typical one is ignored, because the request merely had little time left.
  const double taken = static_cast<double>(now - found->second.started_at);
  const double typical_ms = found->second.fleet_service_ms > 0
                              ? static_cast<double>(found->second.fleet_service_ms)
                              : expected_ms(found->second.work);
  if (taken >= typical_ms) {
    record_service_time(found->second, taken);
  }
  remove_running(found, now);
}

void
slot_queue::on(const slot_cancelled& event, mono_ms now)
{
  const auto found = waiting_.find(event.id);
  if (found != waiting_.end()) {
    remove_waiting(found, now);
  }
  const auto running = running_.find(event.id);
  if (running != running_.end()) {
    remove_running(running, now);
  }
}

void
slot_queue::on(const slot_server_changed& event, mono_ms now)
{
  if (event.is_new) {
    slowness_ = 1;
    compared_requests_ = 0;
    service_ms_.clear();
    average_ms_ = 0;
  }
  slots_ = event.slots;
  takes_work_ = event.takes_work;
  if (!takes_work_) {
    while (!queue_.empty()) {
      const queue_key first = *queue_.begin();
      refuse(first, failure_reason::draining, 0);
      remove_waiting(waiting_.find(first.id), now);
    }
  }
}

void
slot_queue::on(const slot_tick& /*event*/, mono_ms /*now*/)
{
}

std::set<slot_queue::queue_key>::iterator
slot_queue::next_to_start(mono_ms now)
{
  // Within a priority, requests that can still meet their objective go before those that cannot. In
  // strict order, every request would miss its objective as soon as the wait in the queue has grown
  // to that time.
  const auto first = queue_.begin();
  for (auto position = first; position != queue_.end(); ++position) {
    if (first->outranks(*position)) {
      break;
    }
    if (can_meet_objective(waiting_.at(position->id), now)) {
      return position;
    }
  }
  return first;
}

void
slot_queue::dispatch(mono_ms now)
{
  for (auto position = queue_.begin(); position != queue_.end();) {
    const queue_key item = *position++;
    const auto request = waiting_.find(item.id);
    if (now > request->second.latest_start_at) {
      refuse(item, failure_reason::too_late, expected_wait_ms(item, false, now));
      remove_waiting(request, now);
    }
  }
  while (running_.size() < slots_ && !queue_.empty()) {
    const auto position = next_to_start(now);
    const auto found = waiting_.find(position->id);
    const waiting_request& request = found->second;
    running_.emplace(
      request.id,
      running_request{
        request.work, now, request.fleet_service_ms, request.account, request.share_ms });
    effects_.emplace_back(slot_start{ request.id });
    queue_.erase(position);
    waiting_.erase(found);
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
