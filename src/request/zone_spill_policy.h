// Decides how much of a service's work leaves the availability zone, and to which zone. Load
// reports of other zones are up to half a second old, and all proxies of a zone see the same idle
// zone. If each of them sent every request to the server that looks best, all would move there and
// back together. So each other zone gets a share that rises in small steps while leaving for it
// pays, and falls when there is capacity at home or none there.
#pragma once
#include "pick_policy.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace shallotfield {

/** A kind of work that leaves together: the same service, and similar network cost. */
struct spill_route
{
  service_id service;    ///< Service that the requests go to.
  bool is_large = false; ///< Whether request and response together are large.
  bool operator<(const spill_route& other) const
  {
    return std::tie(service, is_large) < std::tie(other.service, other.is_large);
  }
};

/** The best server that a request could use in another zone. The score includes the expected wait,
 * the network latency and the price of the bytes; lower is better. */
struct spill_option
{
  std::string zone; ///< The availability zone.
  double score = 0; ///< Score of the server.
};

/** Share of the requests of one route that may leave for one zone. */
class spill_share
{
public:
  /** Records what leaving would have gained for a request, in units of the score. */
  void record_gain(double gain, mono_ms now);
  /** Adapts the share from time to time. `rising` is the number of zones whose shares rise, which
   * divide one step among them. */
  void adapt(std::size_t rising, mono_ms now);
  /** Returns whether leaving pays by so much that the share rises. */
  bool is_rising() const;
  /** Returns the share of the requests that may leave, from 0 to 1. */
  double share() const { return share_; }
  /** Returns the moving average of what leaving gains, in units of the score. */
  double gain() const { return gain_; }
  /** Returns when a gain was last recorded. */
  mono_ms compared_at() const { return compared_at_; }

private:
  double share_ = 0;        ///< Share of the requests that may leave.
  double gain_ = 0;         ///< Moving average of the gain.
  mono_ms changed_at_ = 0;  ///< When the share was last adapted.
  mono_ms compared_at_ = 0; ///< When a gain was last recorded.
};

/** Why a request leaves its zone. */
enum class leave_reason
{
  sooner,         ///< The response is expected sooner elsewhere.
  no_home_server, ///< No server of the zone takes it.
};

inline constexpr enum_table<leave_reason, 2> LEAVE_REASON_ROWS = { {
  { leave_reason::sooner, "sooner" },
  { leave_reason::no_home_server, "no_home_server" },
} };
static_assert(is_complete(LEAVE_REASON_ROWS, leave_reason::no_home_server));

/** Returns the name table of the reasons to leave. */
constexpr const auto&
enum_rows(leave_reason)
{
  return LEAVE_REASON_ROWS;
}

/** What left for one zone since the latest report. */
struct spill_report
{
  std::string zone;                 ///< The availability zone.
  std::uint64_t sooner = 0;         ///< Requests that left since the response was expected sooner.
  std::uint64_t no_home_server = 0; ///< Requests that left since no server at home took them.
  double bytes = 0;                 ///< Expected bytes of these requests and their responses.
  double share = 0;                 ///< Largest share of a service's requests that may leave now.
  double gain = 0;                  ///< Average gain of that service.
};

/** The shares of all routes of one proxy. */
class zone_spill
{
public:
  /**
   * Records a comparison for a request, and chooses the zone that it leaves for. Returns the index
   * of the option, or no value if the request stays. It leaves only for a server that is better for
   * this request too. `home_score` is the score of the best server in the own zone. An option whose
   * zone is cut off or full is left out by the caller.
   */
  std::optional<std::size_t> choose(const spill_route& route,
                                    double home_score,
                                    const std::vector<spill_option>& options,
                                    mono_ms now,
                                    random_source& random);

  /** Records that a request left. `bytes` is the expected size of it and its response. */
  void record_left(const std::string& zone, leave_reason reason, double bytes);

  /** Returns what left for each zone since the latest report, if a report is due and there is
   * something to report. */
  std::vector<spill_report> take_due_reports(mono_ms now);

  /** Returns the share of a route that may leave for a zone; 0 if none was compared lately. */
  double share(const spill_route& route, const std::string& zone, mono_ms now) const;

private:
  /** Shares by zone. */
  using zone_shares = std::map<std::string, spill_share>;

  /** Removes shares of zones that no request was compared with for long. */
  static void remove_idle(zone_shares& shares, mono_ms now);

  std::map<spill_route, zone_shares> shares_;   ///< Bounded by the services and the live zones.
  std::map<std::string, spill_report> reports_; ///< What left since the latest report, by zone.
  mono_ms reported_at_ = 0;                     ///< When the latest report was taken.
};

} // namespace shallotfield
