// Congestion control for the traffic of a proxy to other regions. Without it, large responses can
// fill a narrow link between regions, so that short requests, configuration versions and beacons
// are delayed. The window of bytes in flight shrinks while the network time of requests exceeds its
// minimum by too much, and grows again afterwards.
#pragma once
#include "process/process.h"

#include <limits>
#include <string>
#include <unordered_map>

namespace shallotfield {

/** Limits the bytes in flight to other regions, with a window for each region. */
class congestion_control
{
public:
  /**
   * Returns whether a request may be sent to a region now. `bytes` is the expected size of the
   * request and its response together. Short requests may use twice the window.
   */
  bool has_capacity(const std::string& region, double bytes, mono_ms now) const;

  /** Records that a request of an expected size was sent to a region. */
  void record_sent(const std::string& region, double bytes, mono_ms now);

  /** Records that a request ended, successfully or not. The size is the one given to record_sent.
   */
  void record_ended(const std::string& region, double bytes);

  /**
   * Records the network time of a short request and its response, and adapts the window of the
   * server's region. `transit_ms` is the time from sending the request to its response, without the
   * time that it spent at the other proxy.
   */
  void record_transit(const std::string& region, mono_ms transit_ms, mono_ms now);

  /** Returns the size of the window of a region. */
  double window_bytes(const std::string& region) const { return at(region).window; }

  /** Returns whether a request of an expected size counts as short. */
  static bool is_short(double bytes);

private:
  /** State of the link to one region. */
  struct region_state
  {
    double window;        ///< Bytes that may be in flight.
    double in_flight = 0; ///< Bytes that are in flight.
    /** No large request is sent before this time, after one that was larger than the window. */
    mono_ms oversized_until = 0;
    /** Smallest network time in this and the previous epoch. */
    mono_ms base_transit_ms = std::numeric_limits<mono_ms>::max();
    /** Smallest network time in this epoch. */
    mono_ms epoch_transit_ms = std::numeric_limits<mono_ms>::max();
    mono_ms epoch_started_at = 0;  ///< When this epoch began.
    mono_ms window_changed_at = 0; ///< When the window was last changed.
  };

  /** Returns the state of a region, which is the initial one if nothing was sent there. */
  const region_state& at(const std::string& region) const;
  /** Returns the state of a region for modification, and adds it if nothing was sent there. */
  region_state& find_or_add(const std::string& region);

  std::unordered_map<std::string, region_state> regions_; ///< States by region.
};

} // namespace shallotfield
