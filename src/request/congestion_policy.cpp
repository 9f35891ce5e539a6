// Adapts the bytes that may be under way to another region to the time that they take.
#include "congestion_policy.h"

#include <algorithm>

namespace shallotfield {

/** Window at first: ten proxies fill a link of 30 Mbit/s for about half a second with it. */
static constexpr double INITIAL_WINDOW_BYTES = 256'000;

/** Bounds of the window. The least one lets some short requests through, so that the time on the
 * way stays known; the largest is beyond what one proxy has under way on a free link. */
static constexpr double WINDOW_BYTES_MIN = 16'000;
static constexpr double WINDOW_BYTES_MAX = 4'000'000;

/** Up to so many bytes a request is short: a few packets. */
static constexpr double SHORT_REQUEST_BYTES_MAX = 16'000;

/** Time on the way beyond the least one at which the link counts as congested. Beacons and
 * versions, which share the link, are still well within their bounds then. */
static constexpr mono_ms CONGESTED_DELAY_MS = 60;

/** Time beyond the least one under which the window may grow. */
static constexpr mono_ms UNCONGESTED_DELAY_MS = 25;

/** Time between two changes of the window: a few round trips, so that a change shows first. */
static constexpr mono_ms WINDOW_CHANGE_INTERVAL_MS = 150;

/** Factor of a window that shrinks, and of one that grows. */
static constexpr double WINDOW_DECREASE_FACTOR = 0.6;
static constexpr double WINDOW_INCREASE_FACTOR = 1.08;

/** Time over which the least time on the way is kept. A new process on another route ends it. */
static constexpr mono_ms BASE_TRANSIT_EPOCH_MS = 20'000;

bool
congestion_control::is_short(double bytes)
{
  return bytes <= SHORT_REQUEST_BYTES_MAX;
}

const congestion_control::path&
congestion_control::at(const std::string& region) const
{
  static const path unused_region{ .window = INITIAL_WINDOW_BYTES };
  const auto found = regions_.find(region);
  return found == regions_.end() ? unused_region : found->second;
}

congestion_control::path&
congestion_control::edit(const std::string& region)
{
  return regions_.try_emplace(region, path{ .window = INITIAL_WINDOW_BYTES }).first->second;
}

bool
congestion_control::has_capacity(const std::string& region, double bytes, mono_ms now) const
{
  const path& way = at(region);
  if (is_short(bytes)) {
    return way.in_flight + bytes <= 2 * way.window;
  }
  // A request larger than the window goes alone, and the next one waits for as long as the link
  // takes for the excess.
  return now >= way.oversized_until && (way.in_flight == 0 || way.in_flight + bytes <= way.window);
}

void
congestion_control::record_sent(const std::string& region, double bytes, mono_ms now)
{
  path& way = edit(region);
  way.in_flight += bytes;
  if (bytes > way.window) {
    way.oversized_until =
      now + static_cast<mono_ms>(WINDOW_CHANGE_INTERVAL_MS * bytes / way.window);
  }
}

void
congestion_control::record_ended(const std::string& region, double bytes)
{
  path& way = edit(region);
  way.in_flight = std::max(0.0, way.in_flight - bytes);
}

void
congestion_control::record_transit(const std::string& region, mono_ms transit_ms, mono_ms now)
{
  path& way = edit(region);
  if (now - way.epoch_started_at > BASE_TRANSIT_EPOCH_MS) {
    way.base_transit_ms = std::min(way.epoch_transit_ms, transit_ms);
    way.epoch_transit_ms = transit_ms;
    way.epoch_started_at = now;
  }
  way.epoch_transit_ms = std::min(way.epoch_transit_ms, transit_ms);
  way.base_transit_ms = std::min(way.base_transit_ms, way.epoch_transit_ms);
  if (now - way.window_changed_at < WINDOW_CHANGE_INTERVAL_MS) {
    return;
  }
  const mono_ms excess = transit_ms - way.base_transit_ms;
  if (excess > CONGESTED_DELAY_MS) {
    way.window = std::max(WINDOW_BYTES_MIN, way.window * WINDOW_DECREASE_FACTOR);
    way.window_changed_at = now;
  } else if (excess < UNCONGESTED_DELAY_MS) {
    way.window = std::min(WINDOW_BYTES_MAX, way.window * WINDOW_INCREASE_FACTOR);
    way.window_changed_at = now;
  }
}

} // namespace shallotfield
