// Rate limit for log lines about single requests, with priority for failures.
#pragma once
#include "clock_type.h"

#include <cstdint>

namespace shallotfield {

/**
 * Limits the log lines in each second. Lines about failures may use the whole limit; lines about
 * routine successes only a part of it, so that they can't displace failures.
 */
class log_rate_limiter
{
public:
  /** Lines a second about requests. With about 250 bytes a line this is 20 KB a second. */
  static constexpr std::int64_t LINES_PER_S_MAX = 80;

  /** Of these, lines about successful requests: a sample is enough to show that they succeed. */
  static constexpr std::int64_t ROUTINE_LINES_PER_S_MAX = 10;

  /**
   * Decides whether a line may be written, and counts it. `is_routine` says whether the line is
   * about a successful request. Returns whether to write the line; if not, it counts as dropped.
   */
  bool try_acquire(bool is_routine, mono_ms now)
  {
    if (now - window_started_at_ >= WINDOW_MS || now < window_started_at_) {
      window_started_at_ = now;
      lines_ = 0;
      routine_lines_ = 0;
    }
    const bool exceeds_limit =
      lines_ >= LINES_PER_S_MAX || (is_routine && routine_lines_ >= ROUTINE_LINES_PER_S_MAX);
    if (exceeds_limit) {
      ++(is_routine ? routine_dropped_ : failures_dropped_);
      return false;
    }
    ++lines_;
    routine_lines_ += is_routine ? 1 : 0;
    return true;
  }

  /** Returns the number of lines about successful requests dropped since the start. */
  std::uint64_t routine_dropped() const { return routine_dropped_; }

  /** Returns the number of lines about other requests dropped since the start. */
  std::uint64_t failures_dropped() const { return failures_dropped_; }

private:
  /** Lines are counted in windows of this length. */
  static constexpr mono_ms WINDOW_MS = 1000;

  mono_ms window_started_at_ = 0;      ///< Start of the current window.
  std::int64_t lines_ = 0;             ///< Lines written in the window.
  std::int64_t routine_lines_ = 0;     ///< Of these, lines about successful requests.
  std::uint64_t routine_dropped_ = 0;  ///< Dropped lines about successful requests.
  std::uint64_t failures_dropped_ = 0; ///< Dropped lines about other requests.
};

} // namespace shallotfield
