// Tests of the peer_table and the server_watch: the state that a proxy derives from the beacons of
// its peers and from the announcements of its local server.
#include "process/process.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;

/** Makes a beacon of a node in zone z. */
static node_beacon
make_beacon(const node_id& id, std::uint64_t boot_id, std::uint64_t sequence)
{
  node_beacon beacon;
  beacon.id = id;
  beacon.boot_id = boot_id;
  beacon.sequence = sequence;
  beacon.host = "10.0.0.1";
  beacon.zone = "z";
  return beacon;
}

/** Makes a heartbeat of the local server. */
static server_heartbeat
make_heartbeat(const std::string& instance,
               std::optional<unix_ms> instance_started_at,
               std::uint64_t sequence,
               server_state state = server_state::ready)
{
  return { instance, "shop", { "10.0.0.9", 80 }, state, 4, 0, instance_started_at, sequence, {} };
}

BOOST_AUTO_TEST_SUITE(peer_liveness)

BOOST_AUTO_TEST_CASE(late_and_own_beacons_are_ignored)
{
  peer_table peers("self", "z");
  BOOST_TEST((peers.apply_beacon(make_beacon("a", 1, 5), 0) == beacon_effect::changed));
  BOOST_TEST((peers.apply_beacon(make_beacon("a", 1, 4), 1) == beacon_effect::stale));
  BOOST_TEST((peers.apply_beacon(make_beacon("a", 1, 6), 2) == beacon_effect::refreshed));
  BOOST_TEST((peers.apply_beacon(make_beacon("self", 1, 6), 2) == beacon_effect::stale));
}

BOOST_AUTO_TEST_CASE(beacons_of_a_former_process_are_ignored)
{
  peer_table peers("self", "z");
  peers.apply_beacon(make_beacon("a", 1, 5), 0);
  BOOST_TEST((peers.apply_beacon(make_beacon("a", 2, 1), 1) == beacon_effect::changed));
  BOOST_TEST((peers.apply_beacon(make_beacon("a", 1, 9), 2) == beacon_effect::stale));
  BOOST_TEST(peers.peers().at("a").beacon.boot_id == 2U);
}

// Guards against a peer's former process, and the server that it announced, coming back to a proxy
// that was restarted itself and hears of them from a relay that was cut off.
BOOST_AUTO_TEST_CASE(late_beacon_of_a_former_process_is_ignored_by_a_restarted_proxy)
{
  peer_table peers("self", "z");
  peers.apply_beacon(make_beacon("a", 2, 1), 0);
  BOOST_TEST((peers.apply_beacon(make_beacon("a", 1, 90), 1) == beacon_effect::stale));
  BOOST_TEST((peers.apply_beacon(make_beacon("a", 2, 2), 2) == beacon_effect::refreshed));
  // After a jump of its clock a node starts with a lower id, which counts once the other is gone.
  BOOST_TEST(peers.expire(60'000));
  BOOST_TEST((peers.apply_beacon(make_beacon("a", 1, 1), 60'000) == beacon_effect::changed));
}

BOOST_AUTO_TEST_CASE(silent_peer_is_down_until_its_next_beacon)
{
  peer_table peers("self", "z");
  peers.apply_beacon(make_beacon("a", 1, 1), 0);
  BOOST_TEST(!peers.expire(peers.liveness_timeout_ms(make_beacon("a", 1, 1))));
  BOOST_TEST(peers.expire(peers.liveness_timeout_ms(make_beacon("a", 1, 1)) + 1));
  BOOST_TEST(peers.build_view()->empty());
  BOOST_TEST((peers.apply_beacon(make_beacon("a", 1, 2), 9000) == beacon_effect::changed));
  BOOST_TEST(peers.build_view()->size() == 1U);
}

BOOST_AUTO_TEST_CASE(liveness_timeout_is_longer_for_peers_of_other_zones)
{
  const peer_table peers("self", "y");
  const peer_table same_zone_peers("self", "z");
  const node_beacon peer = make_beacon("a", 1, 1);
  BOOST_TEST(peers.liveness_timeout_ms(peer) > same_zone_peers.liveness_timeout_ms(peer));
}

BOOST_AUTO_TEST_CASE(silence_during_a_process_pause_is_ignored)
{
  peer_table peers("self", "z");
  peers.apply_beacon(make_beacon("a", 1, 1), 0);
  peers.restart_liveness_timeout(60'000);
  BOOST_TEST(!peers.expire(60'100));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(server_liveness)

BOOST_AUTO_TEST_CASE(draining_is_final_for_one_incarnation)
{
  server_watch server({ "10.0.0.9", 80 }, 6000);
  server.apply_heartbeat(make_heartbeat("i", 100, 1), 0);
  BOOST_TEST((server.apply_heartbeat(make_heartbeat("i", 100, 2, server_state::draining), 10) ==
              heartbeat_effect::changed));
  server.apply_heartbeat(make_heartbeat("i", 100, 3), 20);
  BOOST_TEST((server.current_status().state == server_state::draining));
  // A later start under the same id is another incarnation, which accepts requests again.
  BOOST_TEST(
    (server.apply_heartbeat(make_heartbeat("i", 200, 1), 30) == heartbeat_effect::changed));
  BOOST_TEST((server.current_status().state == server_state::ready));
}

BOOST_AUTO_TEST_CASE(heartbeats_of_earlier_incarnations_are_ignored)
{
  server_watch server({ "10.0.0.9", 80 }, 6000);
  server.apply_heartbeat(make_heartbeat("j", 200, 1), 0);
  BOOST_TEST(
    (server.apply_heartbeat(make_heartbeat("i", 100, 9), 10) == heartbeat_effect::ignored));
  BOOST_TEST((server.apply_heartbeat(make_heartbeat("k", std::nullopt, 9), 10) ==
              heartbeat_effect::ignored));
  BOOST_TEST(
    (server.apply_heartbeat(make_heartbeat("j", 200, 1), 10) == heartbeat_effect::ignored));
  BOOST_TEST(server.current_status().instance == "j");
}

BOOST_AUTO_TEST_CASE(heartbeats_from_another_address_are_ignored)
{
  server_watch server({ "10.0.0.8", 80 }, 6000);
  BOOST_TEST((server.apply_heartbeat(make_heartbeat("i", 100, 1), 0) == heartbeat_effect::ignored));
  BOOST_TEST(server.current_status().instance.empty());
}

BOOST_AUTO_TEST_CASE(deregistration_affects_the_current_incarnation_only)
{
  server_watch server({ "10.0.0.9", 80 }, 6000);
  server.apply_heartbeat(make_heartbeat("i", 100, 1), 0);
  BOOST_TEST(!server.apply_deregistration("j", 500));
  BOOST_TEST(server.apply_deregistration("i", 500));
  BOOST_TEST(!server.apply_deregistration("i", 500));
  BOOST_TEST((server.current_status().state == server_state::draining));
}

BOOST_AUTO_TEST_CASE(deregistration_before_the_first_heartbeat_is_remembered)
{
  // A proxy that has just started receives the deregistration of the server, and then a heartbeat
  // that the server sent earlier. The server must not become ready.
  server_watch server({ "10.0.0.9", 80 }, 6000);
  BOOST_TEST(!server.apply_deregistration("i", 1000));
  server.apply_heartbeat(make_heartbeat("i", 100, 33), 10);
  BOOST_TEST((server.current_status().state == server_state::draining));
  // An incarnation that started later under the same id accepts requests.
  server.apply_heartbeat(make_heartbeat("i", 4000, 1), 20);
  BOOST_TEST((server.current_status().state == server_state::ready));
}

// Guards against a server that had deregistered before this process was restarted, and of which a
// late heartbeat arrives then.
BOOST_AUTO_TEST_CASE(first_heartbeat_after_a_restart_waits_for_a_health_check)
{
  server_watch server({ "10.0.0.9", 80 }, 6000);
  server.require_confirmation();
  BOOST_TEST(
    (server.apply_heartbeat(make_heartbeat("i", 100, 33), 0) == heartbeat_effect::unconfirmed));
  BOOST_TEST(server.current_status().instance.empty());
  // The health check says that the server leaves. Another late heartbeat changes nothing.
  server.reject_unconfirmed();
  BOOST_TEST(
    (server.apply_heartbeat(make_heartbeat("i", 100, 34), 10) == heartbeat_effect::unconfirmed));
  // The next incarnation takes work as soon as its health check succeeds.
  BOOST_TEST(
    (server.apply_heartbeat(make_heartbeat("j", 900, 1), 20) == heartbeat_effect::unconfirmed));
  BOOST_TEST(
    (server.apply_heartbeat(make_heartbeat("i", 100, 35), 21) == heartbeat_effect::unconfirmed));
  BOOST_TEST(server.apply_probe_result("j", "shop", 6, 25));
  BOOST_TEST((server.current_status().state == server_state::ready));
  BOOST_TEST(server.current_status().slots == 4U);
  BOOST_TEST(
    (server.apply_heartbeat(make_heartbeat("i", 100, 36), 30) == heartbeat_effect::ignored));
  // No check is needed for one that starts later.
  BOOST_TEST(
    (server.apply_heartbeat(make_heartbeat("k", 1500, 1), 40) == heartbeat_effect::changed));
  BOOST_TEST((server.current_status().state == server_state::ready));
}

BOOST_AUTO_TEST_CASE(health_check_of_another_instance_confirms_no_heartbeat)
{
  server_watch server({ "10.0.0.9", 80 }, 6000);
  server.require_confirmation();
  server.apply_heartbeat(make_heartbeat("i", 100, 33), 0);
  server.apply_probe_result("j", "shop", 6, 10);
  BOOST_TEST(server.current_status().instance == "j");
  // What is known from a health check only gives way to its own heartbeat only.
  BOOST_TEST(
    (server.apply_heartbeat(make_heartbeat("i", 100, 34), 20) == heartbeat_effect::unconfirmed));
  BOOST_TEST(
    (server.apply_heartbeat(make_heartbeat("j", 900, 1), 30) == heartbeat_effect::changed));
  BOOST_TEST(server.current_status().instance == "j");
}

BOOST_AUTO_TEST_CASE(draining_after_a_restart_needs_no_health_check)
{
  server_watch server({ "10.0.0.9", 80 }, 6000);
  server.require_confirmation();
  server.apply_heartbeat(make_heartbeat("i", 100, 33, server_state::draining), 0);
  BOOST_TEST((server.current_status().state == server_state::draining));
  server.apply_heartbeat(make_heartbeat("i", 100, 34), 10);
  BOOST_TEST((server.current_status().state == server_state::draining));
}

BOOST_AUTO_TEST_CASE(deregistration_during_the_health_check_holds)
{
  server_watch server({ "10.0.0.9", 80 }, 6000);
  server.require_confirmation();
  server.apply_heartbeat(make_heartbeat("i", 100, 33), 0);
  server.apply_deregistration("i", 500, 100);
  server.apply_probe_result("i", "shop", 6, 10);
  server.apply_heartbeat(make_heartbeat("i", 100, 34), 20);
  BOOST_TEST((server.current_status().state == server_state::draining));
}

BOOST_AUTO_TEST_CASE(deregistration_holds_although_the_clock_was_put_back)
{
  // The clock of this VM says 50, while the server started at 100 and the next one at 200.
  server_watch server({ "10.0.0.9", 80 }, 6000);
  server.apply_deregistration("i", 50, 100);
  server.apply_heartbeat(make_heartbeat("i", 100, 34), 20);
  BOOST_TEST((server.current_status().state == server_state::draining));
  server.apply_heartbeat(make_heartbeat("i", 200, 1), 30);
  BOOST_TEST((server.current_status().state == server_state::ready));
  // The deregistration of the former incarnation may arrive late, too.
  BOOST_TEST(!server.apply_deregistration("i", 50, 100));
  BOOST_TEST((server.current_status().state == server_state::ready));
}

BOOST_AUTO_TEST_CASE(silent_or_unreachable_server_is_down_until_its_next_heartbeat)
{
  server_watch server({ "10.0.0.9", 80 }, 6000);
  server.apply_heartbeat(make_heartbeat("i", 100, 1), 0);
  BOOST_TEST(!server.expire(6000));
  BOOST_TEST(server.expire(6001));
  BOOST_TEST((server.current_status().state == server_state::none));
  server.apply_heartbeat(make_heartbeat("i", 100, 2), 7000);
  BOOST_TEST((server.current_status().state == server_state::ready));
  BOOST_TEST(server.mark_unreachable());
  BOOST_TEST((server.current_status().state == server_state::none));
}

BOOST_AUTO_TEST_CASE(health_check_substitutes_for_the_first_heartbeat)
{
  server_watch server({ "10.0.0.9", 80 }, 6000);
  BOOST_TEST(server.apply_probe_result("i", "shop", 6, 0));
  BOOST_TEST(server.current_status().slots == 6U);
  BOOST_TEST(
    (server.apply_heartbeat(make_heartbeat("i", 100, 40), 10) == heartbeat_effect::changed));
  BOOST_TEST(server.current_status().slots == 4U);
  BOOST_TEST(!server.apply_probe_result("k", "shop", 6, 20));
}

BOOST_AUTO_TEST_SUITE_END()
