// How much a proxy may have under way to another region. Answers the pattern of large answers that
// fill a narrow link, on which short requests, versions and beacons then wait: the window shrinks
// while requests take longer on the way than they did, and grows again afterwards.
#pragma once
#include "process/process.h"

#include <limits>
#include <string>
#include <unordered_map>

namespace shallotfield {

/** Keeps a window of bytes for each region but the proxy's own. */
class congestion_control
{
public:
  /**
   * @param region Where the request would go.
   * @param bytes Expected bytes of the request and its answer.
   * @param now Current time.
   * @return Whether the way has room for it. Short requests may use twice the window.
   */
  bool has_capacity(const std::string& region, double bytes, mono_ms now) const;

  /** Notes that a request was sent. @param region Where to. @param bytes Expected bytes. */
  void record_sent(const std::string& region, double bytes, mono_ms now);

  /** Notes that a request ended, in whatever way. @param region Where it was. @param bytes As noted
   * when it was sent. */
  void record_ended(const std::string& region, double bytes);

  /**
   * Notes how long a short request and its answer took on the way.
   * @param region Where it was.
   * @param transit_ms Time from sending to the answer, less what the other proxy held it.
   * @param now Current time.
   */
  void record_transit(const std::string& region, mono_ms transit_ms, mono_ms now);

  /** @return Largest number of bytes that may be under way to a region. */
  double window_bytes(const std::string& region) const { return at(region).window; }

  /** @param bytes Expected bytes. @return Whether such a request counts as short. */
  static bool is_short(double bytes);

private:
  /** The way to one region. */
  struct path
  {
    double window;        ///< Bytes that may be under way.
    double in_flight = 0; ///< Bytes that are.
    mono_ms oversized_until =
      0; ///< Until when a request larger than the window isn't followed by another.
    mono_ms base_transit_ms =
      std::numeric_limits<mono_ms>::max(); ///< Least time on the way, lately.
    mono_ms epoch_transit_ms =
      std::numeric_limits<mono_ms>::max(); ///< The same since `epoch_started_at`.
    mono_ms epoch_started_at = 0;          ///< When the second of these began.
    mono_ms window_changed_at = 0;         ///< When the window changed last.
  };

  const path& at(const std::string& region) const;
  path& edit(const std::string& region);

  std::unordered_map<std::string, path> regions_; ///< By region.
};

} // namespace shallotfield
