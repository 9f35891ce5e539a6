// Bounds the log lines about single requests, failures first.
#pragma once
#include "clock_type.h"

#include <cstdint>

namespace shallotfield {

/** Allows a number of lines a second. Failures may use the whole of it, routine lines a part. */
class log_rate_limiter
{
public:
  /** Lines a second about requests. At about 250 bytes a line this is 20 KB a second. */
  static constexpr std::int64_t LINES_PER_S_MAX = 80;

  /** Of these, lines about requests that went well: a sample is enough to see that they do. */
  static constexpr std::int64_t ROUTINE_LINES_PER_S_MAX = 10;

  /** @param is_routine Whether the line is about a request that went well. @param now Current time.
   * @return Whether it may be written; else it is counted. */
  bool take(bool is_routine, mono_ms now)
  {
    if (now - window_started_at_ >= WINDOW_MS || now < window_started_at_) {
      window_started_at_ = now;
      lines_ = 0;
      routine_lines_ = 0;
    }
    const bool is_over =
      lines_ >= LINES_PER_S_MAX || (is_routine && routine_lines_ >= ROUTINE_LINES_PER_S_MAX);
    if (is_over) {
      ++(is_routine ? routine_dropped_ : failures_dropped_);
      return false;
    }
    ++lines_;
    routine_lines_ += is_routine ? 1 : 0;
    return true;
  }

  /** @return Lines about requests that went well and were left out since the start. */
  std::uint64_t routine_dropped() const { return routine_dropped_; }

  /** @return Lines about other requests that were left out since the start. */
  std::uint64_t failures_dropped() const { return failures_dropped_; }

private:
  static constexpr mono_ms WINDOW_MS = 1000;
  mono_ms window_started_at_ = 0;      ///< Start of the current second.
  std::int64_t lines_ = 0;             ///< Lines in it.
  std::int64_t routine_lines_ = 0;     ///< Of these, routine ones.
  std::uint64_t routine_dropped_ = 0;  ///< Left out.
  std::uint64_t failures_dropped_ = 0; ///< Left out.
};

} // namespace shallotfield
