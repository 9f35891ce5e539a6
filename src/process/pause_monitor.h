// Notices that this process was paused, so that input which arrived meanwhile is handled with care.
#pragma once
#include "clock_type.h"

#include <atomic>

namespace shallotfield {

/**
 * Tells whether input that is read now may have arrived during a pause of the process. The control
 * thread records its regular ticks, and the traffic thread asks; after a pause, either of them may
 * run first.
 */
class pause_monitor
{
public:
  /** Records a tick of the control thread, which ticks several times a second. */
  void record_tick(mono_ms now)
  {
    if (last_tick_at_ != 0 && now - last_tick_at_ > PAUSE_MIN_MS) {
      resumed_at_ = now;
    }
    last_tick_at_ = now;
  }

  /** Returns whether the process was paused a moment ago. */
  bool was_paused(mono_ms now) const
  {
    const mono_ms last = last_tick_at_;
    const mono_ms resumed = resumed_at_;
    return (last != 0 && now - last > PAUSE_MIN_MS) || (resumed != 0 && now - resumed < SETTLE_MS);
  }

private:
  /** Time without a tick from which on the process counts as paused. */
  static constexpr mono_ms PAUSE_MIN_MS = 1000;

  /** Time after a pause in which the input that arrived during the pause is read. */
  static constexpr mono_ms SETTLE_MS = 300;

  std::atomic<mono_ms> last_tick_at_{ 0 }; ///< Latest tick; 0: none yet.
  std::atomic<mono_ms> resumed_at_{ 0 };   ///< First tick after the latest pause; 0: none yet.
};

} // namespace shallotfield
