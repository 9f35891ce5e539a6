// Decides how much of a service's work leaves the availability zone. Load reports of other zones
// are up to half a second old, and all proxies of a zone see the same idle zone. If each of them
// sent every request to the server that looks best, all would move there and back together. So the
// share that leaves rises in small steps while leaving pays, and falls when there is capacity at
// home.
#pragma once
#include "pick_policy.h"

#include <map>
#include <tuple>

namespace shallotfield {

/** A kind of work that leaves together: the same service and place, and similar network cost. */
struct spill_route
{
  service_id service;    ///< Service that the requests go to.
  std::size_t place = 0; ///< Where they may go, as the caller numbers its places.
  bool is_large = false; ///< Whether request and response together are large.
  bool operator<(const spill_route& other) const
  {
    return std::tie(service, place, is_large) <
           std::tie(other.service, other.place, other.is_large);
  }
};

/** The best server at home and the best one in another place, compared for one request. The scores
 * include the expected wait, the network latency and the price of the bytes; lower is better. */
struct spill_comparison
{
  double home_score = 0; ///< Score of the best server in the own zone.
  double away_score = 0; ///< Score of the best server in the other place.
};

/** Share of the requests of one route that may leave. */
class spill_share
{
public:
  /** Records a comparison, and adapts the share from time to time. */
  void record(const spill_comparison& comparison, mono_ms now);
  /** Returns the share of the requests that may leave, from 0 to 1. */
  double share() const { return share_; }
  /** Returns the moving average of what leaving gains, in units of the score. */
  double gain() const { return gain_; }

private:
  double share_ = 0;       ///< Share of the requests that may leave.
  double gain_ = 0;        ///< Moving average of the gain.
  mono_ms changed_at_ = 0; ///< When the share was last adapted.
};

/** The shares of all routes of one proxy. */
class zone_spill
{
public:
  /** Records a comparison for a request, and returns whether the request may leave. It leaves only
   * if the other server is the better one for this request too. */
  bool may_leave(const spill_route& route,
                 const spill_comparison& comparison,
                 mono_ms now,
                 random_source& random);
  /** Returns the share of a route; 0 if none of its requests was compared. */
  double share(const spill_route& route) const;

private:
  std::map<spill_route, spill_share> shares_; ///< By route; bounded by the configured services.
};

} // namespace shallotfield
