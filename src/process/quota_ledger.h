// Adds up the use of client accounts in the fleet, and decides which part of an account's requests
// is admitted. The ledger of a zone runs in two of its proxies at a time.
#pragma once
#include "quota_type.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace shallotfield {

/** Time for which a report holds. A node or zone that is silent for longer counts as cut off: it
 * keeps to its own share of each quota, and the others to theirs. */
inline constexpr mono_ms QUOTA_REPORT_VALIDITY_MS = 800;

/** Time for which limits hold, from the report on that they answer. It has to cover several
 * reports, since datagrams get lost. */
inline constexpr mono_ms QUOTA_LIMITS_VALIDITY_MS = 1000;

/** Averages the use of accounts at one proxy. */
class quota_meter
{
public:
  /** Adds requests of the local callers. */
  void add(const std::vector<account_count>& counts);

  /** Ends a step of the average. Called at each tick. */
  void advance(mono_ms now);

  /** Returns the accounts that are in use. */
  std::vector<account_usage> usage() const;

private:
  struct entry
  {
    double asked = 0;    ///< Requests since the latest step.
    double admitted = 0; ///< Requests that count against the quota; may be negative.
    account_usage average;
  };
  std::map<account_digest, entry> entries_;
  mono_ms advanced_at_ = 0; ///< Latest step; 0: none yet.
};

/** Selects what a report has to name: the accounts whose use has changed, and each account from
 * time to time, since datagrams get lost. */
class quota_report_filter
{
public:
  /** Returns the part of `usage` that is to be reported now. An account that is no longer in
   * `usage` is reported as unused for some time. */
  std::vector<account_usage> select(const std::vector<account_usage>& usage, mono_ms now);

private:
  struct entry
  {
    account_usage reported;
    mono_ms reported_at = 0;
    mono_ms in_use_at = 0;
  };
  std::map<account_digest, entry> entries_;
};

/** The state of an account's quota, as a ledger knows it. */
struct account_level
{
  std::string name;
  account_usage usage; ///< Use in the whole fleet.
  double level = 0;    ///< Requests that may be made at once; negative after an overrun.
  double admitted_fraction = 1;
};

/**
 * Adds up the reports of the zone's proxies and of the ledgers of other zones, and keeps a token
 * bucket for each account. The limits keep the use at the rate once the bucket is empty. Of each
 * quota, a ledger gives out only the share of the proxies that it hears of, so that two parts of a
 * fleet that can't reach each other never admit more than the quota together.
 */
class quota_ledger
{
public:
  explicit quota_ledger(std::string zone)
    : zone_(std::move(zone))
  {
  }

  /** Replaces the quotas. The levels of accounts that stay are kept, up to the new burst. */
  void set_quotas(const std::vector<account_quota>& quotas, const quota_tolerance& tolerance);

  /** Handles the report of a proxy of the zone, or of another zone. */
  void handle_report(const quota_report& report, mono_ms now);

  /** Sets the use at the proxy itself. */
  void set_own_usage(const node_id& self, const std::vector<account_usage>& usage, mono_ms now);

  /** Advances the levels, and decides the limits. `known_proxies` is the number of proxies that
   * share the quotas, including those that can't be reached. */
  void advance(std::size_t known_proxies, mono_ms now);

  /** Forgets the levels after a pause of the process, since the use meanwhile is unknown. */
  void reset(mono_ms now);

  /** Returns whether the ledger has heard for long enough to answer. */
  bool is_settled(mono_ms now) const;

  /** Returns the limits of the accounts that are limited, by ascending digest. */
  std::vector<account_limit> limits() const;

  /** Returns the use of each account in this zone, for the ledgers of other zones. */
  std::vector<account_usage> zone_usage(mono_ms now) const;

  /** Returns the number of proxies of the zone that report, including this one. */
  std::uint32_t zone_proxies(mono_ms now) const;

  /** Returns when the proxy's latest report was sent, by its own clock, and when it arrived.
   * Returns no value if there is none that holds. */
  std::optional<mono_ms> latest_report_of(const node_id& node, mono_ms now) const;

  const std::map<account_digest, account_level>& accounts() const { return levels_; }

private:
  /** What a proxy or a zone reported about an account. */
  struct source_usage
  {
    account_usage usage;
    mono_ms received_at = 0;
  };

  /** A proxy of the zone, or another zone. */
  struct source
  {
    mono_ms received_at = 0;
    std::uint32_t proxies = 1;
    std::map<node_id, mono_ms> sent_at; ///< Latest report of each sender, by its own clock.
    std::map<account_digest, source_usage> usage;
  };

  static bool is_fresh(const source& item, mono_ms now)
  {
    return now - item.received_at <= QUOTA_REPORT_VALIDITY_MS;
  }
  void store(source& into, const quota_report& report, mono_ms now);
  static void add_usage(std::map<account_digest, account_usage>& into,
                        const source& from,
                        mono_ms now);

  std::string zone_;
  quota_tolerance tolerance_;
  std::map<account_digest, account_quota> quotas_;
  std::map<account_digest, account_level> levels_;
  std::map<node_id, source> nodes_;     ///< Proxies of this zone.
  std::map<std::string, source> zones_; ///< Other zones.
  double share_ = 0;                    ///< Part of each quota that is given out.
  mono_ms advanced_at_ = 0;             ///< Latest call of advance(); 0: none.
  mono_ms settled_at_ = 0;              ///< When the ledger may answer; 0: nothing heard yet.
  mono_ms heard_at_ = 0;                ///< Latest report of another proxy.
};

} // namespace shallotfield
