// Tests of the control state and of idempotency keys on a simulated fleet under random faults. The
// seeds are fixed, so that every run is the same. Invariants are checked while the faults last.
#include "fakes/fake_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;

/** A simulated fleet with random faults. */
class random_fleet
{
public:
  explicit random_fleet(std::uint64_t seed)
    : random_(seed)
  {
    add_two_regions(fleet, 2);
    // The tests remove old records from the log, which a snapshot has to cover by then. Snapshots
    // are therefore written often. The nodes are restarted to use the setting.
    for (auto& [id, node] : fleet.nodes) {
      node.options.snapshot_records = 5;
      fleet.kill(id);
    }
    for (const auto& [id, node] : fleet.nodes) {
      fleet.start(id);
    }
    fleet.run(6000);
  }

  fake_fleet fleet; ///< Simulated fleet.

  /** Returns a random number that is less than `bound`. */
  std::uint64_t draw(std::uint64_t bound) { return random_() % bound; }

  node_id random_node()
  {
    auto it = fleet.nodes.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(draw(fleet.nodes.size())));
    return it->first;
  }

  /** Starts or ends a random fault. */
  void toggle_random_fault()
  {
    const node_id id = random_node();
    fake_node& node = fleet.nodes.at(id);
    static const std::vector<std::string> zones = { "west-a", "west-b", "east-a", "east-b", "log" };
    switch (draw(8)) {
      case 0:
        if (node.state) {
          fleet.kill(id);
        }
        break;
      case 1:
      case 2:
        if (!node.state) {
          fleet.start(id);
        }
        break;
      case 3:
        node.is_frozen = node.state != nullptr;
        break;
      case 4:
        node.is_frozen = false;
        break;
      case 5:
        fleet.partitions.insert({ zones[draw(4)], zones[draw(5)] });
        break;
      case 6:
        fleet.partitions.clear();
        break;
      default:
        fleet.log.is_down = draw(2) == 0;
        fleet.log.loses_responses = draw(3) == 0;
        break;
    }
  }

  /** Ends all faults and starts all stopped nodes. */
  void heal()
  {
    fleet.partitions.clear();
    fleet.log.is_down = false;
    fleet.log.loses_responses = false;
    for (auto& [id, node] : fleet.nodes) {
      node.is_frozen = false;
      if (!node.state) {
        fleet.start(id);
      }
    }
  }

private:
  random_source random_; ///< Source of all random decisions of a run.
};

BOOST_AUTO_TEST_SUITE(random_configuration)

BOOST_AUTO_TEST_CASE(versions_never_regress_or_diverge_and_accepted_ones_reach_all_nodes)
{
  for (std::uint64_t seed = 0; seed < 1500; ++seed) {
    random_fleet simulated(seed);
    fake_fleet& fleet = simulated.fleet;
    std::map<std::uint64_t, std::string> digests;
    std::map<node_id, std::uint64_t> last_versions;
    std::map<node_id, std::uint64_t> incarnations;
    std::uint64_t publishes = 0;
    for (int step = 0; step < 60; ++step) {
      simulated.toggle_random_fault();
      const node_id id = simulated.random_node();
      if (fleet.nodes.at(id).state && !fleet.nodes.at(id).is_frozen) {
        fleet.publish(id,
                      "p" + std::to_string(simulated.draw(40)),
                      document_with("s" + std::to_string(publishes++)));
      }
      if (simulated.draw(10) == 0) {
        fleet.log.retain(log_service_stream::config, 40 + simulated.draw(20));
      }
      fleet.run(100 + static_cast<mono_ms>(simulated.draw(20)) * 100);
      for (const auto& [name, node] : fleet.nodes) {
        if (!node.state) {
          continue;
        }
        const std::uint64_t incarnation = node.record.incarnation;
        std::uint64_t& last_version = last_versions[name];
        last_version = incarnations[name] == incarnation ? last_version : 0;
        incarnations[name] = incarnation;
        BOOST_REQUIRE_MESSAGE(node.version->number >= last_version, "seed " << seed << " " << name);
        last_version = node.version->number;
        const auto [known, is_new] = digests.emplace(node.version->number, node.version->digest);
        BOOST_REQUIRE_MESSAGE(is_new || known->second == node.version->digest,
                              "seed " << seed << " " << name);
      }
    }
    std::uint64_t accepted = 0;
    for (const auto& [name, node] : fleet.nodes) {
      for (const send_publish_result& result : node.publish_results) {
        const bool is_accepted = result.result == publish_result::accepted;
        accepted = std::max(accepted, is_accepted ? result.version : 0);
      }
    }
    simulated.heal();
    BOOST_REQUIRE_MESSAGE(
      fleet.run_until(60'000,
                      [&] {
                        const std::uint64_t version = fleet.nodes.begin()->second.version->number;
                        return version >= accepted && fleet.all_have_version(version);
                      }),
      "seed " << seed << " accepted " << accepted);
  }
}

BOOST_AUTO_TEST_SUITE_END()

/**
 * Requests with idempotency keys on a fleet with random faults. A request enters at an edge node,
 * which forwards it to the home of its key. The home decides by the key whether its server may run
 * the request.
 */
class key_simulation
{
public:
  explicit key_simulation(std::uint64_t seed)
    : simulated(seed)
  {
    for (auto& [id, node] : simulated.fleet.nodes) {
      node.info = { "ordering", 10, server_state::ready };
      tables_.emplace(id, key_table(LIMITS.window_ms));
    }
    simulated.fleet.run(8000);
  }

  random_fleet simulated;                ///< Simulated fleet.
  std::map<std::string, int> executions; ///< Number of executions by key.
  std::uint64_t answered = 0;            ///< Number of requests that ran and were answered.
  std::uint64_t replayed = 0; ///< Number of requests answered with a remembered response.
  std::uint64_t refused = 0; ///< Number of requests refused because the key may have run elsewhere.

  /** Sends a new request, or retries an earlier one, through a random edge node. */
  void send()
  {
    const bool is_new = keys_.empty() || simulated.draw(3) != 0;
    if (is_new) {
      keys_.push_back(make_key());
    }
    const std::string key =
      is_new ? keys_.back()
             : keys_[keys_.size() - 1 - simulated.draw(std::min<std::size_t>(keys_.size(), 20))];
    const node_id edge = simulated.random_node();
    fake_node& at = simulated.fleet.nodes.at(edge);
    if (!at.state || at.is_frozen) {
      return;
    }
    const auto members = at.view->services.find("ordering");
    const member_record* home =
      members == at.view->services.end() ? nullptr : find_home(key, members->second.servers);
    if (home != nullptr && !simulated.fleet.is_partitioned(edge, home->id) &&
        simulated.fleet.nodes.at(home->id).state) {
      waiting_.push_back({ home->id, simulated.fleet.nodes.at(home->id).record.incarnation, key });
    }
  }

  /** Processes waiting requests at their homes, in random order; paused homes keep theirs. */
  void process_waiting()
  {
    std::vector<forwarded_request> remaining;
    for (forwarded_request& item : std::exchange(waiting_, {})) {
      fake_node& home = simulated.fleet.nodes.at(item.home);
      if (!home.state || home.record.incarnation != item.incarnation) {
        continue; // The process ended, and its requests are lost with it.
      }
      if (home.is_frozen || simulated.draw(4) == 0) {
        remaining.push_back(std::move(item));
      } else if (!item.is_decided) {
        decide(item, home, remaining);
      } else {
        run(item);
      }
    }
    waiting_.insert(waiting_.end(), remaining.begin(), remaining.end());
  }

  /** Empties the key tables of restarted nodes, as a process keeps its key table in memory. */
  void reset_tables_of_restarted_nodes()
  {
    for (const auto& [id, node] : simulated.fleet.nodes) {
      if (incarnations_[id] != node.record.incarnation) {
        incarnations_[id] = node.record.incarnation;
        tables_.at(id) = key_table(LIMITS.window_ms);
      }
    }
  }

private:
  static constexpr key_limits LIMITS{ 600'000, 5000 };

  /** A request that was forwarded to the home of its key. */
  struct forwarded_request
  {
    node_id home;
    std::uint64_t incarnation = 0;
    std::string key;
    bool is_decided = false;
    unix_ms not_after = 0;
  };

  std::string make_key()
  {
    char text[40];
    const auto at = static_cast<std::uint64_t>(simulated.fleet.now.unix);
    std::snprintf(text,
                  sizeof text,
                  "%08x-%04x-7000-8000-%012x",
                  static_cast<unsigned>(at >> 16U),
                  static_cast<unsigned>(at & 0xffffU),
                  static_cast<unsigned>(keys_.size()));
    return text;
  }

  void decide(forwarded_request item, fake_node& home, std::vector<forwarded_request>& remaining)
  {
    key_table& table = tables_.at(item.home);
    const instant now = simulated.fleet.now;
    const key_lookup found = table.handle_arrival(item.key, "f", 1, now.mono);
    replayed += std::holds_alternative<key_replay>(found) ? 1 : 0;
    if (!std::holds_alternative<key_new>(found)) {
      return;
    }
    const key_permission permission = decide_key(*home.view,
                                                 item.home,
                                                 "ordering",
                                                 item.key,
                                                 {},
                                                 home.lease_until > now.mono,
                                                 now.unix,
                                                 LIMITS);
    // A former home that replies `barred` has not run the request and never will, so that the
    // request may run here.
    bool may_run = std::holds_alternative<key_allowed>(permission);
    if (const auto* confirmation = std::get_if<key_confirmation_needed>(&permission)) {
      may_run = true;
      for (const node_id& former : confirmation->former) {
        const fake_node& queried = simulated.fleet.nodes.at(former);
        const bool responds =
          queried.state && !queried.is_frozen && !simulated.fleet.is_partitioned(item.home, former);
        may_run = may_run && responds && query_former_home(former, item.key) == key_claim::barred;
      }
    }
    if (!may_run) {
      ++refused;
      table.release(item.key);
      return;
    }
    // The server may start the request later, but not after the end of the lease that was valid
    // when the decision was made.
    item.is_decided = true;
    item.not_after = now.unix + home.lease_until - now.mono;
    remaining.push_back(std::move(item));
  }

  key_claim query_former_home(const node_id& former, const std::string& key)
  {
    const auto started = static_cast<unix_ms>(simulated.fleet.nodes.at(former).record.incarnation);
    return can_rule_out_execution(key, started)
             ? tables_.at(former).query(key, simulated.fleet.now.mono)
             : key_claim::seen;
  }

  void run(const forwarded_request& item)
  {
    key_table& table = tables_.at(item.home);
    if (simulated.fleet.now.unix > item.not_after) {
      table.release(item.key);
      return;
    }
    ++executions[item.key];
    if (simulated.draw(5) == 0) {
      table.mark_unresolved(item.key);
    } else {
      ++answered;
      table.record_completion(item.key, { { 200, {} }, "done" });
    }
  }

  std::map<node_id, key_table> tables_;           ///< Key table of each node.
  std::map<node_id, std::uint64_t> incarnations_; ///< Incarnation that each key table is from.
  std::vector<std::string> keys_;                 ///< Keys of all requests, in order of creation.
  std::vector<forwarded_request> waiting_;        ///< Requests that wait at their homes.
};

BOOST_AUTO_TEST_SUITE(random_keys)

BOOST_AUTO_TEST_CASE(request_key_runs_at_most_once_under_random_faults)
{
  std::uint64_t answered = 0;
  std::uint64_t replayed = 0;
  std::uint64_t refused = 0;
  for (std::uint64_t seed = 0; seed < 1500; ++seed) {
    key_simulation keys(seed);
    for (int step = 0; step < 400; ++step) {
      if (step % 10 == 0) {
        keys.simulated.toggle_random_fault();
        keys.reset_tables_of_restarted_nodes();
      }
      keys.send();
      keys.process_waiting();
      keys.simulated.fleet.run(static_cast<mono_ms>(10 + keys.simulated.draw(20) * 10));
    }
    for (const auto& [key, times] : keys.executions) {
      BOOST_REQUIRE_MESSAGE(times == 1,
                            "seed " << seed << " key " << key << " ran " << times << " times");
    }
    answered += keys.answered;
    replayed += keys.replayed;
    refused += keys.refused;
  }
  // The test would prove nothing if hardly any request ran or was replayed, so a minimum of each is
  // required.
  BOOST_TEST_MESSAGE("answered " << answered << " replayed " << replayed << " refused " << refused);
  BOOST_TEST(answered > 1000U);
  BOOST_TEST(replayed > 100U);
}

BOOST_AUTO_TEST_SUITE_END()
