// Tests of the distribution of beacons, on a simulated fleet.
#include "process/process.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace shallotfield;

/** A simulated fleet. The planned beacons are delivered immediately and without losses. */
class beacon_fleet
{
public:
  /** Creates a fleet of `zones` zones with `nodes` proxies each, which all know each other's
   * addresses. The last proxy of each zone has the most processor time and therefore is a
   * relay. */
  beacon_fleet(std::size_t zones, std::size_t nodes)
  {
    for (std::size_t zone = 0; zone < zones; ++zone) {
      for (std::size_t node = 0; node < nodes; ++node) {
        node_beacon beacon;
        beacon.zone = "z" + std::to_string(zone);
        beacon.id = beacon.zone + "-" + std::to_string(node);
        beacon.boot_id = 1;
        beacon.processor_permille = node + 1 == nodes ? 500 : 100;
        beacons_[beacon.id] = beacon;
        tables_.emplace(beacon.id, peer_table(beacon.id, beacon.zone));
      }
    }
    for (auto& [self, table] : tables_) {
      for (const auto& [peer, beacon] : beacons_) {
        table.add_address(beacon, 0);
      }
    }
  }

  /** Lets every running proxy send one beacon round, and then applies the liveness timeouts. */
  void run_round(mono_ms now)
  {
    ++round_;
    for (auto& [id, beacon] : beacons_) {
      if (!stopped_.contains(id)) {
        ++beacon.sequence;
        deliver(id, plan_beacon_round(tables_.at(id), beacon, round_, now), now);
      }
    }
    for (auto& [id, table] : tables_) {
      table.expire(now);
    }
  }

  /** Changes the server instance of a proxy, which sends urgent beacons about it. */
  void change(const node_id& id, const std::string& instance, mono_ms now)
  {
    beacons_[id].server.instance = instance;
    ++beacons_[id].sequence;
    deliver(id, plan_urgent_beacons(tables_.at(id), beacons_[id], { id }), now);
  }

  /** Stops a proxy, which then neither sends nor receives beacons. */
  void stop(const node_id& id) { stopped_.insert(id); }

  /** Returns the number of running proxies that consider a node alive. */
  std::size_t count_proxies_seeing_alive(const node_id& id) const
  {
    return static_cast<std::size_t>(
      std::count_if(tables_.begin(), tables_.end(), [&](const auto& item) {
        const auto found = item.second.peers().find(id);
        return !stopped_.contains(item.first) && found != item.second.peers().end() &&
               found->second.is_alive;
      }));
  }

  /** Returns the number of proxies that know a server instance of a node. */
  std::size_t count_proxies_knowing_instance(const node_id& id, const std::string& instance) const
  {
    return static_cast<std::size_t>(
      std::count_if(tables_.begin(), tables_.end(), [&](const auto& item) {
        const auto found = item.second.peers().find(id);
        return found != item.second.peers().end() &&
               found->second.beacon.server.instance == instance;
      }));
  }

  std::size_t cross_zone_beacons =
    0; ///< Number of beacons that were sent from one zone to another.
  std::map<node_id, std::size_t> received; ///< Number of beacons that each proxy received.

private:
  /** Delivers planned beacons. Receivers forward changes of servers by urgent beacons. */
  void deliver(const node_id& from, const std::vector<beacon_batch>& plan, mono_ms now)
  {
    for (const beacon_batch& batch : plan) {
      for (const node_id& target : batch.targets) {
        std::set<node_id> updates;
        received[target] += batch.origins.size();
        for (const node_id& origin : batch.origins) {
          cross_zone_beacons += beacons_.at(target).zone != beacons_.at(from).zone ? 1 : 0;
          const node_beacon& beacon =
            origin == from ? beacons_.at(from) : tables_.at(from).peers().at(origin).beacon;
          const auto known = tables_.at(target).peers().find(origin);
          const bool is_new_server_state = known == tables_.at(target).peers().end() ||
                                           known->second.beacon.server != beacon.server;
          const bool is_applied =
            !stopped_.contains(target) &&
            tables_.at(target).apply_beacon(beacon, now) == beacon_effect::changed;
          if (is_applied && is_new_server_state) {
            updates.insert(origin);
          }
        }
        if (!updates.empty()) {
          deliver(
            target, plan_urgent_beacons(tables_.at(target), beacons_.at(target), updates), now);
        }
      }
    }
  }

  std::map<node_id, node_beacon> beacons_; ///< Each proxy's own beacon.
  std::map<node_id, peer_table> tables_;   ///< Peer table of each proxy.
  std::set<node_id> stopped_;              ///< Proxies that are stopped.
  std::uint64_t round_ = 0;                ///< Number of the latest round.
};

BOOST_AUTO_TEST_SUITE(beacon_relaying)

BOOST_AUTO_TEST_CASE(beacons_and_urgent_changes_reach_every_proxy)
{
  beacon_fleet fleet(6, 15);
  for (int round = 1; round <= 8; ++round) {
    fleet.run_round(round * 500);
  }
  // Of the 6 * 15 proxies, all but z3-7 itself.
  BOOST_TEST(fleet.count_proxies_seeing_alive("z3-7") == 89U);
  fleet.change("z3-7", "i-2", 4100);
  BOOST_TEST(fleet.count_proxies_knowing_instance("z3-7", "i-2") == 89U);
}

BOOST_AUTO_TEST_CASE(only_a_stopped_proxy_expires_at_its_peers)
{
  beacon_fleet fleet(4, 3);
  mono_ms now = 0;
  for (int round = 1; round <= 8; ++round) {
    fleet.run_round(now += 500);
  }
  fleet.stop("z1-2"); // A relay of zone z1; beacons have to arrive through the other one.
  for (int round = 1; round <= 20; ++round) {
    fleet.run_round(now += 500);
    BOOST_TEST(fleet.count_proxies_seeing_alive("z1-0") == 10U, round);
    BOOST_TEST(fleet.count_proxies_seeing_alive("z2-2") == 10U, round);
  }
  BOOST_TEST(fleet.count_proxies_seeing_alive("z1-2") == 0U);
}

BOOST_AUTO_TEST_CASE(cross_zone_traffic_grows_linearly_with_the_proxies)
{
  std::map<std::size_t, std::size_t> cross_zone_beacons;
  for (const std::size_t nodes : { 10, 20 }) {
    beacon_fleet fleet(4, nodes);
    mono_ms now = 0;
    for (int round = 1; round <= 8; ++round) {
      fleet.run_round(now += 500);
    }
    fleet.cross_zone_beacons = 0;
    for (int round = 1; round <= 20; ++round) {
      fleet.run_round(now += 500);
    }
    cross_zone_beacons[nodes] = fleet.cross_zone_beacons;
  }
  // With twice as many proxies, twice as many beacons cross zones. If all proxies sent their
  // beacons to all others, it would be four times as many.
  BOOST_TEST(cross_zone_beacons[20] < cross_zone_beacons[10] * 2.2);
}

BOOST_AUTO_TEST_CASE(beacons_of_other_zones_are_forwarded_rarely)
{
  // A proxy that is no relay must not have to read what it knows already: at 300 proxies in 8 zones
  // that took most of its processor time. The beacons of other zones arrive once a second through
  // the first relay, and every two seconds through the other one.
  static constexpr std::size_t ZONES = 8;
  static constexpr std::size_t NODES = 37;
  beacon_fleet fleet(ZONES, NODES);
  mono_ms now = 0;
  for (int round = 1; round <= 8; ++round) {
    fleet.run_round(now += 500);
  }
  fleet.received.clear();
  static constexpr std::size_t SECONDS = 4;
  for (std::size_t round = 1; round <= 2 * SECONDS; ++round) {
    fleet.run_round(now += 500);
  }
  const std::size_t from_own_zone = 2 * SECONDS * (NODES - 1);
  const std::size_t from_other_zones = SECONDS * (ZONES - 1) * NODES * 3 / 2;
  BOOST_TEST(fleet.received["z3-5"] >= from_own_zone + from_other_zones * 2 / 3);
  BOOST_TEST(fleet.received["z3-5"] <= from_own_zone + from_other_zones);
}

BOOST_AUTO_TEST_CASE(relays_are_the_proxies_with_the_most_processor_time)
{
  peer_table peers("a", "z");
  node_beacon self;
  self.id = "a";
  self.zone = "z";
  self.processor_permille = 100;
  for (const node_id id : { "b", "c", "d" }) {
    node_beacon peer = self;
    peer.id = id;
    peer.boot_id = 1;
    peer.sequence = 1;
    peer.processor_permille = id == "b" ? 100 : 500;
    peers.apply_beacon(peer, 0);
  }
  BOOST_TEST(!relay_rank(peers, self).has_value());
  self.processor_permille = 500;
  BOOST_TEST(relay_rank(peers, self).value() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
