// Implements the learned concurrency limit of a backend server: additive increase, multiplicative
// decrease, and a circuit breaker for servers that reject everything.
#include "server_limit_policy.h"

#include <algorithm>
#include <cmath>

namespace shallotfield {

/** Weight of the latest request in the rejection rate. */
static constexpr double REJECTION_EWMA_WEIGHT = 0.1;

/** The same for a request that timed out while the server completed none, since each of them costs
 * a caller its deadline. */
static constexpr double TIMEOUT_EWMA_WEIGHT = 0.3;

/** A server that rejects a larger part of its requests than this is closed. From zero, the rate
 * exceeds it after four rejections in a row. A server that rejects fewer still runs more requests
 * than it costs retries. */
static constexpr double CLOSING_REJECTION_RATE = 0.55;

/** Rejection rate that is assumed after a successful probe: three more rejections in a row close
 * the server again. */
static constexpr double REOPENED_REJECTION_RATE = 0.4;

/** Bounds of the time from closing a server to its next probe. */
static constexpr std::int64_t PROBE_INTERVAL_MIN_MS = 100;
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
  return now - window_started_at_ < PROVEN_WINDOW_MS
           ? std::max(window_proven_, former_window_proven_)
           : 0;
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
  last_completed_at_ = now;
  window_proven_ = std::max(window_proven_, event.request.concurrency);
  if (event.request.is_probe) {
    state_ = limit_state::open;
    probe_interval_ms_ = 0;
    rejection_rate_ = REOPENED_REJECTION_RATE;
    // A server that takes requests again usually takes as many as before. If not, its rejections
    // lower the limit.
    limit_ = std::max(limit_, announced_ / 2.0);
    return;
  }
  rejection_rate_ -= REJECTION_EWMA_WEIGHT * rejection_rate_;
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
  rejection_rate_ += REJECTION_EWMA_WEIGHT * (1 - rejection_rate_);
  if (event.request.is_probe) {
    close(now);
    return;
  }
  if (state_ != limit_state::open) {
    return; // It was sent before the server was closed.
  }
  if (rejection_rate_ > CLOSING_REJECTION_RATE) {
    close(now);
    return;
  }
  const std::uint32_t proven = proven_concurrency(now);
  // A request that was sent before the limit was lowered says nothing about the new one.
  const bool exceeds_room =
    event.request.concurrency > proven && event.request.concurrency <= std::ceil(limit_);
  if (exceeds_room) {
    limit_ = std::max({ 1.0, static_cast<double>(proven), limit_ * DECREASE_FACTOR });
    increase_ = INCREASE_MIN;
  }
}

void
server_limit::on(const limit_timed_out& event, mono_ms now)
{
  // A server that has completed later requests was only slow with this one.
  if (event.request.is_probe || last_completed_at_ < event.request.started_at) {
    rejection_rate_ += TIMEOUT_EWMA_WEIGHT * (1 - rejection_rate_);
    on(limit_rejected{ event.request }, now);
  }
}

void
server_limit::on(const limit_inconclusive& event, mono_ms now)
{
  // The probe told nothing, so another one is due at once.
  if (event.request.is_probe) {
    state_ = limit_state::closed;
    probe_at_ = now;
  }
}

} // namespace shallotfield
