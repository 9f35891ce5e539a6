// The prices of traffic between zones and regions.
#pragma once

namespace shallotfield {

/** Prices of traffic, as the operators set them: the time that a caller would wait to save it. */
struct traffic_prices
{
  double zone_ms_per_mb = 0;   ///< Between zones of a region.
  double region_ms_per_mb = 0; ///< Between regions.
  bool operator==(const traffic_prices&) const = default;
};

} // namespace shallotfield
