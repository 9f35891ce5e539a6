// Tests of how much work leaves its zone: two zones with demand in opposite phase, load reports
// that are old, and many proxies that see one idle zone. Proxies and servers are simulated.
#include "request/request.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>

using namespace shallotfield;

static constexpr int ZONES = 2;
static constexpr int PROXIES_PER_ZONE = 10;
static constexpr int SERVERS_PER_ZONE = 6;
static constexpr std::uint32_t SLOTS = 10;
static constexpr mono_ms SERVICE_MS = 150;
static constexpr double OBJECTIVE_MS = 600;
static constexpr mono_ms TRANSIT_MS = 3;

/** Requests per second that the servers of one zone complete. */
static constexpr double ZONE_CAPACITY_PER_S = SERVERS_PER_ZONE * SLOTS * 1000.0 / SERVICE_MS;

/** Two zones with servers and proxies. Time advances in steps of 1 ms. */
struct two_zones
{
  explicit two_zones(std::uint64_t seed, bool uses_spill)
    : random(seed)
    , is_spilling(uses_spill)
  {
    for (int server = 0; server < ZONES * SERVERS_PER_ZONE; ++server) {
      node_beacon node;
      node.id = "s" + std::to_string(server);
      node.boot_id = 1;
      node.region = "west";
      node.zone = zone_name(server / SERVERS_PER_ZONE);
      node.server = { "shop", "i", SLOTS, server_state::ready };
      view.emplace(node.id, node);
      queues.emplace_back();
    }
    for (int proxy = 0; proxy < ZONES * PROXIES_PER_ZONE; ++proxy) {
      node_beacon self;
      self.id = "p" + std::to_string(proxy);
      self.region = "west";
      self.zone = zone_name(proxy / PROXIES_PER_ZONE);
      indexes.emplace_back(view, self);
      trackers.emplace_back();
      spills.emplace_back();
    }
  }

  static std::string zone_name(int zone) { return zone == 0 ? "west-a" : "west-b"; }

  /** Runs for a time. `load` returns the demand of a zone as a fraction of its capacity. */
  template<typename load_function>
  void run_for(mono_ms duration_ms, load_function&& load)
  {
    total = late = left = peak_queue = 0;
    for (const mono_ms end = now + duration_ms; now < end; ++now) {
      finish_due_requests();
      if (now % report_interval_ms == 0) {
        for (std::size_t server = 0; server < queues.size(); ++server) {
          for (server_tracker& tracker : trackers) {
            tracker.record_load(node_of(server), report_of(server), now);
          }
        }
      }
      for (int zone = 0; zone < ZONES; ++zone) {
        std::poisson_distribution<int> arrivals(load(zone, now) * ZONE_CAPACITY_PER_S / 1000);
        for (int count = arrivals(random); count > 0; --count) {
          send_request(zone);
        }
      }
    }
  }

  node_id node_of(std::size_t server) const { return "s" + std::to_string(server); }

  load_report report_of(std::size_t server) const
  {
    const auto size = static_cast<std::uint32_t>(queues[server].size());
    return { std::min(size, SLOTS), size - std::min(size, SLOTS), SLOTS, 1000 };
  }

  void send_request(int zone)
  {
    std::uniform_int_distribution<int> draw(0, PROXIES_PER_ZONE - 1);
    const auto proxy = static_cast<std::size_t>(zone * PROXIES_PER_ZONE + draw(random));
    choice_request request{ "shop", {}, 1, bytes, SERVICE_MS / OBJECTIVE_MS, 0, {} };
    request.objective_ms = OBJECTIVE_MS;
    request.prices = prices;
    request.spill = is_spilling ? &spills[proxy] : nullptr;
    const choice_result result =
      choose_server(indexes[proxy], trackers[proxy], request, now, random);
    const auto& choice = std::get<server_choice>(result);
    const auto server = static_cast<std::size_t>(std::stoi(choice.node->id.substr(1)));
    const bool has_left = choice.distance != server_distance::same_zone;
    trackers[proxy].record_sent(choice.node->id);
    ++total;
    left += has_left ? 1 : 0;
    if (zone == 0) {
      ++zone_total;
      zone_left += has_left ? 1 : 0;
    }
    queues[server].push_back({ proxy, now + (has_left ? TRANSIT_MS : 0), 0 });
    peak_queue = std::max(peak_queue, static_cast<int>(queues[server].size()));
  }

  void finish_due_requests()
  {
    std::exponential_distribution<double> service(1.0 / (SERVICE_MS / 2.0));
    for (std::size_t server = 0; server < queues.size(); ++server) {
      auto& queue = queues[server];
      for (std::size_t i = 0; i < std::min<std::size_t>(queue.size(), SLOTS); ++i) {
        if (queue[i].ends_at == 0) {
          queue[i].ends_at = now + SERVICE_MS / 2 + static_cast<mono_ms>(service(random));
        }
        if (queue[i].ends_at <= now) {
          late += static_cast<double>(now - queue[i].arrived_at) > OBJECTIVE_MS ? 1 : 0;
          trackers[queue[i].proxy].record_ended(node_of(server));
          const std::size_t proxy = queue[i].proxy;
          queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(i));
          trackers[proxy].record_load(node_of(server), report_of(server), now);
          --i;
        }
      }
    }
  }

  /** Returns the share of the requests of the first zone that left it since the latest call. */
  double take_left_share()
  {
    const double share = zone_total == 0 ? 0 : static_cast<double>(zone_left) / zone_total;
    zone_total = zone_left = 0;
    return share;
  }

  struct request
  {
    std::size_t proxy = 0;
    mono_ms arrived_at = 0;
    mono_ms ends_at = 0; ///< 0 while it waits for a slot.
  };

  random_source random;
  bool is_spilling;
  traffic_prices prices;
  double bytes = 1000;
  mono_ms report_interval_ms = 500;
  mono_ms now = 10'000;
  peer_view view;
  std::vector<server_index> indexes;
  std::vector<server_tracker> trackers;
  std::vector<zone_spill> spills;
  std::vector<std::deque<request>> queues;
  int total = 0;      ///< Requests.
  int late = 0;       ///< Requests that missed their objective.
  int left = 0;       ///< Requests that left their zone.
  int peak_queue = 0; ///< Most requests at one server.
  int zone_total = 0; ///< Requests of the first zone.
  int zone_left = 0;  ///< Those of them that left it.
};

/** Calls a function with two zones for each of 50 seeds. */
template<typename body>
static void
for_each_seed(body&& check)
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      two_zones zones(seed, true);
      check(zones);
    }
  }
}

BOOST_AUTO_TEST_SUITE(zone_spills)

BOOST_AUTO_TEST_CASE(nothing_leaves_while_there_is_capacity_at_home)
{
  for_each_seed([](two_zones& zones) {
    zones.run_for(5000, [](int, mono_ms) { return 0.5; });
    BOOST_TEST(zones.left < 0.02 * zones.total);
    BOOST_TEST(zones.late < 0.02 * zones.total);
  });
}

BOOST_AUTO_TEST_CASE(zone_that_is_too_small_sends_what_exceeds_it_and_takes_it_back)
{
  for_each_seed([](two_zones& zones) {
    zones.run_for(3000, [](int zone, mono_ms) { return zone == 0 ? 1.3 : 0.4; });
    zones.take_left_share();
    zones.run_for(4000, [](int zone, mono_ms) { return zone == 0 ? 1.3 : 0.4; });
    const double share = zones.take_left_share();
    // At least what exceeds the zone leaves, and more than half stays.
    BOOST_TEST(share > 0.2);
    BOOST_TEST(share < 0.5);
    BOOST_TEST(zones.late < 0.05 * zones.total);
    zones.run_for(2000, [](int, mono_ms) { return 0.4; });
    zones.take_left_share();
    zones.run_for(2000, [](int, mono_ms) { return 0.4; });
    BOOST_TEST(zones.take_left_share() < 0.02);
  });
}

BOOST_AUTO_TEST_CASE(two_zones_in_opposite_phase_do_not_swap_their_work)
{
  // The demand of each zone swings by 55 % around 0.8 of its capacity, in opposite phase, and load
  // reports are half a second old.
  for_each_seed([](two_zones& zones) {
    const auto load = [](int zone, mono_ms now) {
      const double phase = std::sin(2 * M_PI * static_cast<double>(now) / 8000);
      return 0.8 * (1 + 0.55 * (zone == 0 ? phase : -phase));
    };
    zones.run_for(16'000, load);
    BOOST_TEST(zones.late < 0.05 * zones.total);
    BOOST_TEST(zones.left < 0.3 * zones.total);
  });
}

BOOST_AUTO_TEST_CASE(twenty_proxies_do_not_rush_to_the_one_idle_zone)
{
  // Reports of the idle zone are two seconds apart, so that all proxies see it idle meanwhile.
  for_each_seed([](two_zones& zones) {
    zones.report_interval_ms = 2000;
    zones.run_for(6000, [](int zone, mono_ms) { return zone == 0 ? 1.2 : 0.1; });
    zones.take_left_share();
    double highest = 0;
    double lowest = 1;
    for (int second = 0; second < 6; ++second) {
      zones.run_for(1000, [](int zone, mono_ms) { return zone == 0 ? 1.2 : 0.1; });
      const double share = zones.take_left_share();
      highest = std::max(highest, share);
      lowest = std::min(lowest, share);
    }
    BOOST_TEST(highest < 0.7);
    BOOST_TEST(lowest > 0.05);
    BOOST_TEST(zones.peak_queue < 3 * static_cast<int>(SLOTS));
  });
}

BOOST_AUTO_TEST_CASE(price_of_traffic_keeps_large_requests_at_home_longer_than_small_ones)
{
  const auto left_with = [](double bytes) {
    two_zones zones(1, true);
    zones.prices = { 18'000, 36'000 };
    zones.bytes = bytes;
    zones.run_for(6000, [](int zone, mono_ms) { return zone == 0 ? 1.1 : 0.4; });
    return zones.left;
  };
  BOOST_TEST(left_with(1000) > 2 * left_with(40'000));
}

BOOST_AUTO_TEST_SUITE_END()
