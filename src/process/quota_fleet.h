// Which proxies share the quotas of client accounts, and which of them keep the ledgers.
#pragma once
#include "peer_table_base.h"
#include "quota_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace shallotfield {

/**
 * The proxies as the quotas need them. Every proxy derives this from the beacons. Two proxies that
 * differ in their views do no harm: both keep a ledger, and each gives out only the share of the
 * proxies that report to it.
 */
class quota_fleet
{
public:
  /** Derives all from the peers and this node's own beacon. */
  void update(const peer_table& peers, const node_beacon& self, mono_ms now);

  /**
   * Returns the number of proxies that share each quota. A proxy that is lost counts for some time.
   * While more than half of the proxies of its zone, or the whole zone, can't be reached, it counts
   * on, since it may still serve callers beyond a partition. A zone that is no longer listed at all
   * is dropped after some hours, in which pauses between updates don't count.
   */
  std::size_t known_proxies() const { return known_proxies_; }

  /** Returns the proxies that keep the ledger of a zone: two, or one if the zone has no other. */
  const std::vector<node_id>& ledgers_of(const std::string& zone) const;

  /** Returns the ledgers of all zones, by zone. */
  const std::map<std::string, std::vector<node_id>>& ledgers() const { return ledgers_; }

  /** Returns whether a node keeps the ledger of a zone. */
  bool is_ledger(const std::string& zone, const node_id& node) const;

  /** Returns the live proxies of this node's zone, without itself. */
  const std::vector<node_id>& zone_peers() const { return zone_peers_; }

private:
  /** A zone that shares the quotas. */
  struct known_zone
  {
    std::size_t size = 0;  ///< Number of proxies when it was last reached.
    mono_ms listed_at = 0; ///< When one of its proxies was last listed, later by the pauses since.
  };

  std::size_t known_proxies_ = 0;
  std::optional<mono_ms> updated_at_; ///< When update was last called.
  std::map<std::string, std::vector<node_id>> ledgers_;
  std::map<std::string, known_zone> known_zones_;
  std::vector<node_id> zone_peers_;
};

} // namespace shallotfield
