// Implements the congestion control between regions. Like TCP Vegas it is based on delay: the
// window depends on how much the measured network time exceeds the minimum.
#include "congestion_policy.h"

#include <algorithm>

namespace shallotfield {

/** Initial window. Ten such windows occupy a link of 30 Mbit/s for about 0.7 s. */
static constexpr double INITIAL_WINDOW_BYTES = 256'000;

/** Bounds of the window. The smallest window still lets some short requests through, so that the
 * network time continues to be measured. The largest is more than a single proxy has in flight on
 * an uncongested link. */
static constexpr double WINDOW_BYTES_MIN = 16'000;
static constexpr double WINDOW_BYTES_MAX = 4'000'000;

/** Largest size of a short request, which fits into a few packets. */
static constexpr double SHORT_REQUEST_BYTES_MAX = 16'000;

/** A link counts as congested if the network time exceeds its minimum by more than this. Beacons
 * and configuration versions, which share the link, still keep well within their time limits. */
static constexpr mono_ms CONGESTED_DELAY_MS = 60;

/** The window may grow if the network time exceeds its minimum by less than this. */
static constexpr mono_ms UNCONGESTED_DELAY_MS = 25;

/** Shortest time between two changes of the window. It spans a few round trips, so that the effect
 * of a change is measured before the next. */
static constexpr mono_ms WINDOW_CHANGE_INTERVAL_MS = 150;

/** Factors by which the window shrinks and grows. */
static constexpr double WINDOW_DECREASE_FACTOR = 0.6;
static constexpr double WINDOW_INCREASE_FACTOR = 1.08;

/** Duration of an epoch. The minimum of the network time covers the current and the previous epoch,
 * since the network time can change permanently, for example when requests go to another process
 * in the region, which is reached over a different network path. */
static constexpr mono_ms BASE_TRANSIT_EPOCH_MS = 20'000;

bool
congestion_control::is_short(double bytes)
{
  return bytes <= SHORT_REQUEST_BYTES_MAX;
}

const congestion_control::region_state&
congestion_control::at(const std::string& region) const
{
  static const region_state unused_region{ .window = INITIAL_WINDOW_BYTES };
  const auto found = regions_.find(region);
  return found == regions_.end() ? unused_region : found->second;
}

congestion_control::region_state&
congestion_control::find_or_add(const std::string& region)
{
  return regions_.try_emplace(region, region_state{ .window = INITIAL_WINDOW_BYTES }).first->second;
}

bool
congestion_control::has_capacity(const std::string& region, double bytes, mono_ms now) const
{
  const region_state& state = at(region);
  if (is_short(bytes)) {
    return state.in_flight + bytes <= 2 * state.window;
  }
  // A request larger than the window is sent only if nothing else is in flight. After it, all
  // requests that are not short wait for a time proportional to its size, in which the link
  // transmits the part that exceeds the window.
  return now >= state.oversized_until &&
         (state.in_flight == 0 || state.in_flight + bytes <= state.window);
}

void
congestion_control::record_sent(const std::string& region, double bytes, mono_ms now)
{
  region_state& state = find_or_add(region);
  state.in_flight += bytes;
  if (bytes > state.window) {
    state.oversized_until =
      now + static_cast<mono_ms>(WINDOW_CHANGE_INTERVAL_MS * bytes / state.window);
  }
}

void
congestion_control::record_ended(const std::string& region, double bytes)
{
  region_state& state = find_or_add(region);
  state.in_flight = std::max(0.0, state.in_flight - bytes);
}

void
congestion_control::record_transit(const std::string& region, mono_ms transit_ms, mono_ms now)
{
  region_state& state = find_or_add(region);
  if (now - state.epoch_started_at > BASE_TRANSIT_EPOCH_MS) {
    state.base_transit_ms = std::min(state.epoch_transit_ms, transit_ms);
    state.epoch_transit_ms = transit_ms;
    state.epoch_started_at = now;
  }
  state.epoch_transit_ms = std::min(state.epoch_transit_ms, transit_ms);
  state.base_transit_ms = std::min(state.base_transit_ms, state.epoch_transit_ms);
  if (now - state.window_changed_at < WINDOW_CHANGE_INTERVAL_MS) {
    return;
  }
  const mono_ms excess = transit_ms - state.base_transit_ms;
  if (excess > CONGESTED_DELAY_MS) {
    state.window = std::max(WINDOW_BYTES_MIN, state.window * WINDOW_DECREASE_FACTOR);
    state.window_changed_at = now;
  } else if (excess < UNCONGESTED_DELAY_MS) {
    state.window = std::min(WINDOW_BYTES_MAX, state.window * WINDOW_INCREASE_FACTOR);
    state.window_changed_at = now;
  }
}

} // namespace shallotfield
