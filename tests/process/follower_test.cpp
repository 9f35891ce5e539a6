// Tests of who reads the store, and where a proxy takes a newer configuration from.
#include "process/process.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;

/** A node's beacon. Its zone is the id without the last letter. */
static node_beacon
make_beacon(const node_id& id, std::uint64_t version, bool reaches_store = true)
{
  static std::uint64_t sequence = 0;
  node_beacon beacon;
  beacon.id = id;
  beacon.boot = 1;
  beacon.sequence = ++sequence;
  beacon.zone = id.substr(0, id.size() - 1);
  beacon.region = id.substr(0, 1);
  beacon.config_version = version;
  beacon.is_store_reachable = reaches_store;
  return beacon;
}

/** One proxy with its peers. */
struct follower_fixture
{
  /** Starts the proxy. */
  void start(const node_id& id)
  {
    peers = std::make_unique<peer_table>(id, id.substr(0, id.size() - 1));
    follower = std::make_unique<config_follower>(make_beacon(id, 0), 0);
    follower->set_peers_known(true);
  }

  /** Raises an event. @return The effects: `newest`, `tail@N`, `<peer`, `=text`, `store+`. */
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
          [&](const store_reach_changed& item) {
            text += item.is_reachable ? "store+ " : "store- ";
          },
        },
        effect);
    }
    return text;
  }

  std::unique_ptr<peer_table> peers;         ///< The peers.
  std::unique_ptr<config_follower> follower; ///< The proxy.
};

BOOST_FIXTURE_TEST_SUITE(config_following, follower_fixture)

BOOST_AUTO_TEST_CASE(a_proxy_waits_for_its_peers_before_it_reads)
{
  start("wa1");
  BOOST_TEST(raise(follow_checked{}, 100) == "");
  BOOST_TEST(raise(follow_checked{}, 700) == "newest ");
  BOOST_TEST(raise(newest_read{ "one", 5 }, 800) == "=one ");
  BOOST_TEST(raise(follow_checked{}, 1100) == "tail@5 ");
}

BOOST_AUTO_TEST_CASE(two_proxies_read_one_of_them_in_another_region)
{
  for (const node_id self : { "wa1", "wa2", "ea1", "ea2" }) {
    start(self);
    for (const node_id peer : { "wa1", "wa2", "ea1", "ea2" }) {
      peers->take(make_beacon(peer, 0), 700);
    }
    raise(follow_checked{}, 700);
    BOOST_TEST(follower->is_reader() == (self == "wa1" || self == "ea1"), self);
  }
}

BOOST_AUTO_TEST_CASE(a_reader_that_lost_the_store_is_replaced_at_once)
{
  start("wa2");
  peers->take(make_beacon("wa1", 0), 700);
  peers->take(make_beacon("ea1", 0), 700);
  raise(follow_checked{}, 700);
  BOOST_TEST(!follower->is_reader());
  peers->take(make_beacon("ea1", 0, false), 800);
  BOOST_TEST(raise(follow_checked{}, 800) == "newest ");
  // It fails here too: the next one takes over, and this one says so.
  BOOST_TEST(raise(store_failed{}, 1300) == "store- ");
}

BOOST_AUTO_TEST_CASE(a_storm_of_versions_is_read_at_a_pace)
{
  start("wa1");
  raise(follow_checked{}, 700);
  raise(newest_read{ "one", 1 }, 710);
  std::string reads;
  mono_ms now = 710;
  for (std::uint64_t next = 2; now < 2710; now += 100) {
    const std::string effects = raise(follow_checked{}, now);
    if (effects.starts_with("tail")) {
      reads += "r";
      raise(tail_read{ "v" + std::to_string(next), next }, now + 5);
      ++next;
    }
  }
  BOOST_TEST(reads.size() <= 6U);
}

BOOST_AUTO_TEST_CASE(the_first_of_a_zone_crosses_zones_and_the_others_take_it_from_there)
{
  start("wb2");
  peers->take(make_beacon("wa1", 4), 700);
  peers->take(make_beacon("wb1", 0), 700);
  BOOST_TEST(raise(follow_checked{}, 700) == "");
  peers->take(make_beacon("wb1", 4), 750);
  BOOST_TEST(raise(follow_checked{}, 750) == "<wb1 ");
  BOOST_TEST(raise(copy_received{ "four" }, 760) == "=four ");
  raise(version_applied{ 4 }, 760);
  BOOST_TEST(raise(follow_checked{}, 900) == "");
}

BOOST_AUTO_TEST_CASE(a_silent_neighbour_is_passed_over)
{
  start("wb2");
  peers->take(make_beacon("wa1", 4), 700);
  peers->take(make_beacon("wb1", 4), 700);
  BOOST_TEST(raise(follow_checked{}, 700) == "<wb1 ");
  // Now only another zone has it, and the head start of the neighbours is over.
  BOOST_TEST(raise(copy_failed{ "wb1" }, 1500) == "<wa1 ");
}

BOOST_AUTO_TEST_CASE(deleted_records_lead_back_to_the_newest)
{
  start("wa1");
  raise(follow_checked{}, 700);
  raise(newest_read{ "one", 5 }, 710);
  raise(follow_checked{}, 1100);
  BOOST_TEST(raise(tail_lost{}, 1200) == "newest ");
}

BOOST_AUTO_TEST_SUITE_END()
