// Adapts the bytes that may be under way to another region to the time that they take.
#include "path_budget.h"

#include <algorithm>

namespace shallotfield {

/** Window at first: ten proxies fill a link of 30 Mbit/s for about half a second with it. */
static constexpr double FIRST_WINDOW_BYTES = 256'000;

/** Bounds of the window. The least one lets some short requests through, so that the time on the
 * way stays known; the largest is beyond what one proxy has under way on a free link. */
static constexpr double LEAST_WINDOW_BYTES = 16'000;
static constexpr double LARGEST_WINDOW_BYTES = 4'000'000;

/** Up to so many bytes a request is short: a few packets. */
static constexpr double SHORT_BYTES = 16'000;

/** Time on the way beyond the least one at which the link counts as congested. Beacons and
 * versions, which share the link, are still well within their bounds then. */
static constexpr mono_ms CONGESTED_MS = 60;

/** Time beyond the least one under which the window may grow. */
static constexpr mono_ms FREE_MS = 25;

/** Time between two changes of the window: a few round trips, so that a change shows first. */
static constexpr mono_ms CHANGE_INTERVAL_MS = 150;

/** Factor of a window that shrinks, and of one that grows. */
static constexpr double SHRINK = 0.6;
static constexpr double GROW = 1.08;

/** Time over which the least time on the way is kept. A new process on another route ends it. */
static constexpr mono_ms LEAST_EPOCH_MS = 20'000;

bool
path_budget::is_short(double bytes)
{
  return bytes <= SHORT_BYTES;
}

const path_budget::path&
path_budget::at(const std::string& region) const
{
  static const path untouched{ .window = FIRST_WINDOW_BYTES };
  const auto found = paths_.find(region);
  return found == paths_.end() ? untouched : found->second;
}

path_budget::path&
path_budget::edit(const std::string& region)
{
  return paths_.try_emplace(region, path{ .window = FIRST_WINDOW_BYTES }).first->second;
}

bool
path_budget::has_room(const std::string& region, double bytes, mono_ms now) const
{
  const path& way = at(region);
  if (is_short(bytes)) {
    return way.in_flight + bytes <= 2 * way.window;
  }
  // A request larger than the window goes alone, and the next one waits for as long as the link
  // takes for the excess.
  return now >= way.closed_until && (way.in_flight == 0 || way.in_flight + bytes <= way.window);
}

void
path_budget::note_sent(const std::string& region, double bytes, mono_ms now)
{
  path& way = edit(region);
  way.in_flight += bytes;
  if (bytes > way.window) {
    way.closed_until = now + static_cast<mono_ms>(CHANGE_INTERVAL_MS * bytes / way.window);
  }
}

void
path_budget::note_ended(const std::string& region, double bytes)
{
  path& way = edit(region);
  way.in_flight = std::max(0.0, way.in_flight - bytes);
}

void
path_budget::note_transit(const std::string& region, mono_ms transit_ms, mono_ms now)
{
  path& way = edit(region);
  if (now - way.epoch_at > LEAST_EPOCH_MS) {
    way.least_ms = std::min(way.next_least_ms, transit_ms);
    way.next_least_ms = transit_ms;
    way.epoch_at = now;
  }
  way.next_least_ms = std::min(way.next_least_ms, transit_ms);
  way.least_ms = std::min(way.least_ms, way.next_least_ms);
  if (now - way.changed_at < CHANGE_INTERVAL_MS) {
    return;
  }
  const mono_ms excess = transit_ms - way.least_ms;
  if (excess > CONGESTED_MS) {
    way.window = std::max(LEAST_WINDOW_BYTES, way.window * SHRINK);
    way.changed_at = now;
  } else if (excess < FREE_MS) {
    way.window = std::min(LARGEST_WINDOW_BYTES, way.window * GROW);
    way.changed_at = now;
  }
}

} // namespace shallotfield
