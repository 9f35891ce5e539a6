// Implements the pacing of responses to downloads.
#include "bulk_pacing_policy.h"

#include <algorithm>
#include <cmath>

namespace shallotfield {

/** Part of the link that bulk data may use. The rest is for requests, short responses and control
 * messages. */
static constexpr double LINK_SHARE = 0.9;

/** Data that may be sent at once, as the time that the link needs for it. A short response waits at
 * most this long behind bulk data, and bulk data wakes the thread up at most this often. */
static constexpr double BURST_MS = 20;

bulk_pacer::bulk_pacer(double link_bytes_per_ms)
  : bytes_per_ms_(LINK_SHARE * link_bytes_per_ms)
  , credit_bytes_(BURST_MS * bytes_per_ms_)
{
}

void
bulk_pacer::add(pacing_connection connection, std::size_t bytes)
{
  waiting_.push_back({ connection, bytes });
  waiting_bytes_ += bytes;
}

void
bulk_pacer::cancel(pacing_connection connection, std::size_t bytes)
{
  const auto found = std::find(waiting_.begin(), waiting_.end(), paced_piece{ connection, bytes });
  if (found != waiting_.end()) {
    waiting_bytes_ -= bytes;
    waiting_.erase(found);
  }
}

void
bulk_pacer::remove(pacing_connection connection)
{
  std::erase_if(waiting_, [this, connection](const paced_piece& item) {
    waiting_bytes_ -= item.connection == connection ? item.bytes : 0;
    return item.connection == connection;
  });
}

void
bulk_pacer::refill(mono_ms now)
{
  const double passed = static_cast<double>(std::max<mono_ms>(now - refilled_at_, 0));
  credit_bytes_ = std::min(credit_bytes_ + passed * bytes_per_ms_, BURST_MS * bytes_per_ms_);
  refilled_at_ = now;
}

std::vector<paced_piece>
bulk_pacer::take(mono_ms now)
{
  refill(now);
  std::vector<paced_piece> pieces;
  while (!waiting_.empty() && (bytes_per_ms_ == 0 || credit_bytes_ >= 1)) {
    paced_piece& first = waiting_.front();
    const std::size_t bytes = bytes_per_ms_ == 0
                                ? first.bytes
                                : std::min(first.bytes, static_cast<std::size_t>(credit_bytes_));
    pieces.push_back({ first.connection, bytes });
    credit_bytes_ -= static_cast<double>(bytes);
    waiting_bytes_ -= bytes;
    first.bytes -= bytes;
    if (first.bytes == 0) {
      waiting_.pop_front();
    }
  }
  return pieces;
}

std::int64_t
bulk_pacer::delay_ms(mono_ms now) const
{
  if (bytes_per_ms_ == 0) {
    return 0;
  }
  const double wanted =
    std::min(static_cast<double>(waiting_.front().bytes), BURST_MS * bytes_per_ms_);
  const auto due = refilled_at_ + std::llround(std::ceil((wanted - credit_bytes_) / bytes_per_ms_));
  return std::max<std::int64_t>(due - now, 1);
}

std::int64_t
bulk_pacer::backlog_ms() const
{
  return bytes_per_ms_ == 0 ? 0 : std::llround(static_cast<double>(waiting_bytes_) / bytes_per_ms_);
}

} // namespace shallotfield
