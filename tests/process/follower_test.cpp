// Tests of the config_follower: which proxies read the store, and from which peer a proxy fetches a
// newer configuration.
#include "process/process.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;

/** Makes a beacon of a node. The first letter of the id is the region, and the id without its last
 * letter is the zone. */
static node_beacon
make_beacon(const node_id& id, std::uint64_t version, bool reaches_store = true)
{
  static std::uint64_t sequence = 0;
  node_beacon beacon;
  beacon.id = id;
  beacon.boot_id = 1;
  beacon.sequence = ++sequence;
  beacon.zone = id.substr(0, id.size() - 1);
  beacon.region = id.substr(0, 1);
  beacon.config_version = version;
  beacon.is_store_reachable = reaches_store;
  return beacon;
}

/** The follower of one proxy with its peer table. */
struct follower_fixture
{
  /** Creates the follower of a proxy that starts at 0 ms and knows its peers. */
  void start(const node_id& id)
  {
    peers = std::make_unique<peer_table>(id, id.substr(0, id.size() - 1));
    follower = std::make_unique<config_follower>(make_beacon(id, 0), 0);
    follower->set_peers_known(true);
  }

  /**
   * Passes an event to the follower and returns the effects as text: `newest` and `tail@N` read the
   * store, `<peer` fetches from a peer, `=text` applies a configuration, and `store+` or `store-`
   * reports that the store became reachable or unreachable.
   */
  std::string raise(const follow_event& event, mono_ms now)
  {
    std::string text;
    for (const follow_effect& effect : follower->handle(event, *peers, now)) {
      std::visit(
        overloaded{
          [&](const read_newest_config&) { text += "newest "; },
          [&](const read_config_tail& item) { text += "tail@" + std::to_string(item.from) + " "; },
          [&](const fetch_config& item) { text += "<" + item.node + " "; },
          [&](const apply_config& item) { text += "=" + item.text + " "; },
          [&](const report_store_reachability& item) {
            text += item.is_reachable ? "store+ " : "store- ";
          },
        },
        effect);
    }
    return text;
  }

  std::unique_ptr<peer_table> peers;         ///< Peers of the proxy.
  std::unique_ptr<config_follower> follower; ///< Follower under test.
};

BOOST_FIXTURE_TEST_SUITE(config_following, follower_fixture)

// Before the first beacons arrive every proxy would consider itself a reader, so that all proxies
// of a fleet that starts would read the store.
BOOST_AUTO_TEST_CASE(store_is_read_only_after_the_join_delay)
{
  start("wa1");
  BOOST_TEST(raise(reevaluation_due{}, 100) == "");
  BOOST_TEST(raise(reevaluation_due{}, 700) == "newest ");
  BOOST_TEST(raise(newest_config_read{ "one", 5 }, 800) == "=one ");
  BOOST_TEST(raise(reevaluation_due{}, 1100) == "tail@5 ");
}

// All proxies have to select the same two readers, one per region.
BOOST_AUTO_TEST_CASE(the_two_store_readers_are_in_different_regions)
{
  for (const node_id self : { "wa1", "wa2", "ea1", "ea2" }) {
    start(self);
    for (const node_id peer : { "wa1", "wa2", "ea1", "ea2" }) {
      peers->apply_beacon(make_beacon(peer, 0), 700);
    }
    raise(reevaluation_due{}, 700);
    BOOST_TEST(follower->is_reader() == (self == "wa1" || self == "ea1"), self);
  }
}

BOOST_AUTO_TEST_CASE(reader_without_store_access_is_replaced_at_once)
{
  start("wa2");
  peers->apply_beacon(make_beacon("wa1", 0), 700);
  peers->apply_beacon(make_beacon("ea1", 0), 700);
  raise(reevaluation_due{}, 700);
  BOOST_TEST(!follower->is_reader());
  peers->apply_beacon(make_beacon("ea1", 0, false), 800);
  BOOST_TEST(raise(reevaluation_due{}, 800) == "newest ");
  // The read fails here too, which is reported so that the next proxy takes over.
  BOOST_TEST(raise(store_call_failed{}, 1300) == "store- ");
}

// Versions that are appended every 100 ms must not cause a read each. With at least 350 ms from one
// read to the next, there are at most 6 reads in 2 s.
BOOST_AUTO_TEST_CASE(reads_of_rapid_versions_are_rate_limited)
{
  start("wa1");
  raise(reevaluation_due{}, 700);
  raise(newest_config_read{ "one", 1 }, 710);
  std::string reads;
  mono_ms now = 710;
  for (std::uint64_t next = 2; now < 2710; now += 100) {
    const std::string effects = raise(reevaluation_due{}, now);
    if (effects.starts_with("tail")) {
      reads += "r";
      raise(tail_read{ "v" + std::to_string(next), next }, now + 5);
      ++next;
    }
  }
  BOOST_TEST(reads.size() <= 6U);
}

// Otherwise every proxy of a zone would transfer the same version from another zone. Here wb1 has
// the lowest id of its zone and fetches first, and wb2 waits and then fetches from wb1.
BOOST_AUTO_TEST_CASE(one_proxy_of_a_zone_fetches_across_zones_for_the_others)
{
  start("wb2");
  peers->apply_beacon(make_beacon("wa1", 4), 700);
  peers->apply_beacon(make_beacon("wb1", 0), 700);
  BOOST_TEST(raise(reevaluation_due{}, 700) == "");
  peers->apply_beacon(make_beacon("wb1", 4), 750);
  BOOST_TEST(raise(reevaluation_due{}, 750) == "<wb1 ");
  BOOST_TEST(raise(config_received{ "four" }, 760) == "=four ");
  raise(version_applied{ 4 }, 760);
  BOOST_TEST(raise(reevaluation_due{}, 900) == "");
}

BOOST_AUTO_TEST_CASE(failed_fetch_falls_back_to_a_peer_in_another_zone)
{
  start("wb2");
  peers->apply_beacon(make_beacon("wa1", 4), 700);
  peers->apply_beacon(make_beacon("wb1", 4), 700);
  BOOST_TEST(raise(reevaluation_due{}, 700) == "<wb1 ");
  // Only a peer in another zone is left, and the delay for fetches across zones has passed.
  BOOST_TEST(raise(config_fetch_failed{ "wb1" }, 1500) == "<wa1 ");
}

BOOST_AUTO_TEST_CASE(trimmed_offset_leads_to_a_read_of_the_newest_config)
{
  start("wa1");
  raise(reevaluation_due{}, 700);
  raise(newest_config_read{ "one", 5 }, 710);
  raise(reevaluation_due{}, 1100);
  BOOST_TEST(raise(offset_trimmed{}, 1200) == "newest ");
}

BOOST_AUTO_TEST_SUITE_END()
