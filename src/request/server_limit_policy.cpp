// Implements the learned concurrency limit of a backend server: additive increase, multiplicative
// decrease, and a circuit breaker for servers that reject everything.
#include "server_limit_policy.h"

#include <algorithm>
#include <cmath>

namespace shallotfield {

/** Weight of the latest request in the rejection rate. */
static constexpr double REJECTION_EWMA_WEIGHT = 0.1;

/** Length of a run of rejections after which the server is closed. A server that rejects seven of
 * ten requests at random has such a run once in over a hundred thousand requests. */
static constexpr std::uint32_t CLOSING_REJECTIONS = 30;

/** The same for a server that works on no request and has completed none for a window. */
static constexpr std::uint32_t CLOSING_REJECTIONS_IDLE = 10;

/** Number of requests that time out, while the server completes none, after which it is closed. It
 * is small because each of them costs a caller its deadline. */
static constexpr std::uint32_t CLOSING_TIMEOUTS = 3;

/** Time after which a request that was not rejected counts as taken by the server. Servers reject
 * requests at once. */
static constexpr mono_ms REJECTION_DELAY_MAX_MS = 10;

/** Length of a run of rejections after which former completions no longer show what room the server
 * has. */
static constexpr std::uint32_t OUTDATING_REJECTIONS = 8;

/** Number of contradicted rejections in a window above which the server rejects requests for
 * another reason than its room. */
static constexpr std::uint32_t CONTRADICTIONS_MAX = 2;

/** Bounds of the time from closing a server to its next probe. */
static constexpr std::int64_t PROBE_INTERVAL_MIN_MS = 50;
static constexpr std::int64_t PROBE_INTERVAL_MAX_MS = 400;

/** Factor by which a rejection lowers the limit. */
static constexpr double DECREASE_FACTOR = 0.7;

/** Smallest and largest rise of the limit while the server completes as many requests as the limit
 * allows at once. The smallest costs one rejection in about sixty requests at a limit of five. */
static constexpr double INCREASE_MIN = 0.08;
static constexpr double INCREASE_MAX = 1;

/** Factor on the rise after each whole step without a rejection, so that a server that recovers
 * soon gets its slots back. */
static constexpr double INCREASE_GROWTH_FACTOR = 2;

/** Length of a window in which the largest concurrency of completed requests is kept. */
static constexpr mono_ms PROVEN_WINDOW_MS = 1000;

void
server_limit::handle(const limit_event& event, mono_ms now)
{
  if (now - window_started_at_ >= PROVEN_WINDOW_MS) {
    const bool is_adjacent = now - window_started_at_ < 2 * PROVEN_WINDOW_MS;
    former_window_proven_ = is_adjacent ? window_proven_ : 0;
    window_proven_ = 0;
    former_contradictions_ = is_adjacent ? contradictions_ : 0;
    contradictions_ = 0;
    window_started_at_ = now;
  }
  std::visit([&](const auto& item) { on(item, now); }, event);
}

bool
server_limit::admits(mono_ms now) const
{
  return state_ == limit_state::open || (state_ == limit_state::closed && now >= probe_at_);
}

limited_request
server_limit::record_start(std::uint32_t concurrency, mono_ms now)
{
  const bool is_probe = state_ == limit_state::closed;
  if (is_probe) {
    state_ = limit_state::probing;
  }
  open_requests_.insert(now);
  return { concurrency, is_probe, now };
}

std::uint32_t
server_limit::limit(mono_ms now) const
{
  if (state_ == limit_state::open) {
    return std::min(announced_, static_cast<std::uint32_t>(std::max(limit_, 1.0)));
  }
  return admits(now) ? std::min(announced_, 1U) : 0;
}

std::int64_t
server_limit::wait_ms(mono_ms now) const
{
  switch (state_) {
    case limit_state::open:
      return 0;
    case limit_state::closed:
      return std::max<std::int64_t>(probe_at_ - now, 0);
    case limit_state::probing:
      break;
  }
  return probe_interval_ms_;
}

std::uint32_t
server_limit::proven_concurrency(mono_ms now) const
{
  // The requests that the server works on show what room it has, too.
  const auto latest = open_requests_.upper_bound(now - REJECTION_DELAY_MAX_MS);
  const auto taken = static_cast<std::uint32_t>(std::distance(open_requests_.begin(), latest));
  return now - window_started_at_ < PROVEN_WINDOW_MS
           ? std::max({ window_proven_, former_window_proven_, taken })
           : taken;
}

bool
server_limit::has_unrelated_rejections() const
{
  return contradictions_ + former_contradictions_ > CONTRADICTIONS_MAX;
}

bool
server_limit::has_taken_request(mono_ms now) const
{
  const auto oldest = open_requests_.lower_bound(run_started_at_);
  return oldest != open_requests_.end() && *oldest + REJECTION_DELAY_MAX_MS <= now;
}

void
server_limit::close(mono_ms now)
{
  probe_interval_ms_ =
    std::clamp(2 * probe_interval_ms_, PROBE_INTERVAL_MIN_MS, PROBE_INTERVAL_MAX_MS);
  probe_at_ = now + probe_interval_ms_;
  state_ = limit_state::closed;
}

void
server_limit::reopen()
{
  rejection_run_ = 0;
  timeout_run_ = 0;
  if (state_ != limit_state::open) {
    state_ = limit_state::open;
    probe_interval_ms_ = 0;
    // A server that takes requests again usually takes as many as before. If not, its rejections
    // lower the limit.
    limit_ = announced_;
  }
}

void
server_limit::record_end(const limited_request& request)
{
  const auto found = open_requests_.find(request.started_at);
  if (found != open_requests_.end()) {
    open_requests_.erase(found);
  }
}

void
server_limit::on(const limit_server_changed& event, mono_ms now)
{
  const bool was_at_announced = limit_ >= announced_;
  if (event.is_new) {
    *this = server_limit();
    window_started_at_ = now;
  }
  announced_ = event.slots;
  limit_ = event.is_new || was_at_announced ? announced_ : std::min<double>(limit_, announced_);
}

void
server_limit::on(const limit_completed& event, mono_ms now)
{
  record_end(event.request);
  last_completed_at_ = now;
  rejection_rate_ -= REJECTION_EWMA_WEIGHT * rejection_rate_;
  timeout_run_ = 0;
  if (event.request.started_at >= outdated_at_) {
    window_proven_ = std::max(window_proven_, event.request.concurrency);
  }
  if (rejected_concurrency_ > 0 && event.request.concurrency >= rejected_concurrency_ &&
      event.request.started_at >= rejected_at_) {
    ++contradictions_;
    rejected_concurrency_ = 0;
    if (has_unrelated_rejections()) {
      limit_ = announced_;
    }
  }
  // The end of a request that was sent before the run says nothing about the requests in it.
  if (rejection_run_ == 0 || event.request.started_at >= run_started_at_) {
    reopen();
  }
  const bool was_at_limit = event.request.concurrency + 1 >= limit_;
  if (was_at_limit) {
    const double former = limit_;
    limit_ = std::min<double>(limit_ + increase_ / std::max(limit_, 1.0), announced_);
    if (std::floor(limit_) > std::floor(former)) {
      increase_ = std::min(INCREASE_GROWTH_FACTOR * increase_, INCREASE_MAX);
    }
  }
}

void
server_limit::on(const limit_rejected& event, mono_ms now)
{
  record_end(event.request);
  rejection_rate_ += REJECTION_EWMA_WEIGHT * (1 - rejection_rate_);
  if (event.request.is_probe && state_ == limit_state::probing) {
    close(now);
    return;
  }
  if (state_ != limit_state::open) {
    return; // It was sent before the server was closed.
  }
  if (rejection_run_ == 0 || has_taken_request(now)) {
    rejection_run_ = 0;
    run_started_at_ = event.request.started_at;
  }
  ++rejection_run_;
  const bool is_idle = open_requests_.empty() && now - last_completed_at_ >= PROVEN_WINDOW_MS;
  if (rejection_run_ >= (is_idle ? CLOSING_REJECTIONS_IDLE : CLOSING_REJECTIONS)) {
    close(now);
    return;
  }
  lower_limit(event.request, now);
}

void
server_limit::lower_limit(const limited_request& request, mono_ms now)
{
  if (rejected_concurrency_ == 0 || request.concurrency < rejected_concurrency_) {
    rejected_concurrency_ = request.concurrency;
    rejected_at_ = request.started_at;
  }
  if (has_unrelated_rejections()) {
    return;
  }
  if (rejection_run_ >= OUTDATING_REJECTIONS) {
    window_proven_ = 0;
    former_window_proven_ = 0;
    outdated_at_ = run_started_at_;
  }
  const std::uint32_t proven = proven_concurrency(now);
  // A server that has taken nothing of late says nothing about its room. Nor does a request that
  // was sent before the limit was lowered.
  if (proven == 0 || request.concurrency <= proven || request.concurrency > std::ceil(limit_)) {
    return;
  }
  limit_ = std::max(static_cast<double>(proven), limit_ * DECREASE_FACTOR);
  increase_ = INCREASE_MIN;
}

void
server_limit::on(const limit_timed_out& event, mono_ms now)
{
  record_end(event.request);
  if (event.request.is_probe && state_ == limit_state::probing) {
    close(now);
    return;
  }
  // A server that has completed later requests was only slow with this one.
  if (state_ != limit_state::open || last_completed_at_ >= event.request.started_at) {
    return;
  }
  ++timeout_run_;
  if (timeout_run_ >= CLOSING_TIMEOUTS) {
    close(now);
  }
}

void
server_limit::on(const limit_inconclusive& event, mono_ms now)
{
  record_end(event.request);
  // The probe told nothing, so another one is due at once.
  if (event.request.is_probe && state_ == limit_state::probing) {
    state_ = limit_state::closed;
    probe_at_ = now;
  }
}

} // namespace shallotfield
