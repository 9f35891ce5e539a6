// Implements the decision when the bodies of uploads are sent to the proxy of a server.
#include "upload_intake_policy.h"

#include <algorithm>

namespace shallotfield {

/** Rate of transfers that is assumed if that of the link is unknown: 100 Mbit/s. */
static constexpr double DEFAULT_BYTES_PER_MS = 12'500;

/** Part of the rate of the link that transfers are expected to reach. */
static constexpr double USABLE_LINK_PART = 0.8;

/** Time that a transfer takes in addition to its bytes: a round trip between regions. */
static constexpr double TRANSFER_OVERHEAD_MS = 10;

/** A transfer that takes this multiple of its expected time, and STUCK_AFTER_MS, does not hold up
 * the others any longer. */
static constexpr double STUCK_FACTOR = 4;
static constexpr double STUCK_AFTER_MS = 200;

/** Number of bodies that may wait. */
static constexpr std::size_t WAITING_MAX = 256;

upload_intake::upload_intake(double link_bytes_per_ms)
  : bytes_per_ms_(link_bytes_per_ms > 0 ? USABLE_LINK_PART * link_bytes_per_ms
                                        : DEFAULT_BYTES_PER_MS)
{
}

std::vector<intake_effect>
upload_intake::handle(const intake_event& event, mono_ms now)
{
  effects_.clear();
  std::visit([&](const auto& item) { on(item, now); }, event);
  grant_next(now);
  return std::move(effects_);
}

double
upload_intake::transfer_ms(std::int64_t bytes) const
{
  return static_cast<double>(bytes) / bytes_per_ms_ + TRANSFER_OVERHEAD_MS;
}

bool
upload_intake::is_stuck(mono_ms now) const
{
  return static_cast<double>(now - transfer_->granted_at) >
         STUCK_AFTER_MS + STUCK_FACTOR * transfer_ms(transfer_->bytes);
}

double
upload_intake::backlog_ms(mono_ms now) const
{
  double total = 0;
  if (transfer_) {
    const double elapsed = static_cast<double>(now - transfer_->granted_at);
    total += std::max(transfer_ms(transfer_->bytes) - elapsed, 0.0);
  }
  for (const body& item : waiting_) {
    total += transfer_ms(item.bytes);
  }
  return total;
}

void
upload_intake::on(const intake_offered& event, mono_ms now)
{
  const double wait = backlog_ms(now);
  const bool is_in_time = static_cast<double>(now) + wait + transfer_ms(event.bytes) <=
                          static_cast<double>(event.latest_arrival_at);
  if (!is_in_time || waiting_.size() >= WAITING_MAX) {
    effects_.emplace_back(intake_refuse{ event.key, static_cast<std::int64_t>(wait) });
    return;
  }
  waiting_.push_back({ event.key, event.bytes, event.latest_arrival_at, 0 });
  if (transfer_ && !is_stuck(now)) {
    effects_.emplace_back(intake_defer{ event.key });
  }
}

void
upload_intake::on(const intake_arrived& event, mono_ms /*now*/)
{
  if (transfer_ && transfer_->key == event.key) {
    transfer_.reset();
  }
}

void
upload_intake::on(const intake_withdrawn& event, mono_ms /*now*/)
{
  std::erase_if(waiting_, [&event](const body& item) { return item.key == event.key; });
  if (transfer_ && transfer_->key == event.key) {
    transfer_.reset();
  }
}

void
upload_intake::on(const intake_session_ended& event, mono_ms /*now*/)
{
  std::erase_if(waiting_, [&event](const body& item) { return item.key.session == event.session; });
  if (transfer_ && transfer_->key.session == event.session) {
    transfer_.reset();
  }
}

void
upload_intake::on(const intake_tick& /*event*/, mono_ms /*now*/)
{
}

void
upload_intake::grant_next(mono_ms now)
{
  if (transfer_ && is_stuck(now)) {
    transfer_.reset();
  }
  while (!transfer_ && !waiting_.empty()) {
    body next = waiting_.front();
    waiting_.pop_front();
    if (static_cast<double>(now) + transfer_ms(next.bytes) >
        static_cast<double>(next.latest_arrival_at)) {
      effects_.emplace_back(intake_refuse{ next.key, static_cast<std::int64_t>(backlog_ms(now)) });
      continue;
    }
    next.granted_at = now;
    transfer_ = next;
    effects_.emplace_back(intake_grant{ next.key, next.bytes });
  }
}

} // namespace shallotfield
