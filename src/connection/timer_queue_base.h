// Timeouts of a traffic thread.
#pragma once
#include "process/process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>

namespace shallotfield {

/**
 * Multiplexes many timeouts onto one system timer. Most timeouts are cancelled before they expire.
 */
class timer_queue
{
public:
  using timer_id = std::pair<mono_ms, std::uint64_t>; ///< Due time and sequence number.

  explicit timer_queue(boost::asio::io_context& context)
    : timer_(context)
  {
  }

  /** Calls a function once, at the earliest after delay_ms. Returns an id for cancel(). */
  timer_id schedule(std::int64_t delay_ms, std::function<void()> work)
  {
    const timer_id id{ read_clocks().mono + std::max<std::int64_t>(delay_ms, 0), next_++ };
    due_.emplace(id, std::move(work));
    arm();
    return id;
  }

  /** Cancels a call. Does nothing if the function was called already. */
  void cancel(timer_id id) { due_.erase(id); }

  /** Cancels all calls. */
  void clear()
  {
    due_.clear();
    timer_.cancel();
  }

private:
  /**
   * Time from the first due timeout until the system timer fires. Timeouts that become due
   * meanwhile share the wake-up.
   */
  static constexpr std::int64_t SLACK_MS = 4;

  void arm()
  {
    if (due_.empty() || (armed_for_ != 0 && armed_for_ <= due_.begin()->first.first + SLACK_MS)) {
      return;
    }
    armed_for_ = due_.begin()->first.first + SLACK_MS;
    const std::int64_t delay = std::max<std::int64_t>(armed_for_ - read_clocks().mono, 1);
    timer_.expires_after(std::chrono::milliseconds(delay));
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        armed_for_ = 0;
        fire();
      }
    });
  }

  void fire()
  {
    const mono_ms now = read_clocks().mono;
    while (!due_.empty() && due_.begin()->first.first <= now) {
      const std::function<void()> work = std::move(due_.begin()->second);
      due_.erase(due_.begin());
      work();
    }
    arm();
  }

  boost::asio::steady_timer timer_;
  std::map<timer_id, std::function<void()>> due_; ///< Pending calls by due time.
  std::uint64_t next_ = 1;                        ///< Sequence number of the next call.
  mono_ms armed_for_ = 0; ///< When the system timer fires; 0 if it is not armed.
};

} // namespace shallotfield
