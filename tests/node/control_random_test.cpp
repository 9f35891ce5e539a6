// Random faults on a fleet in memory, with fixed seeds: what must always hold is checked after each
// step, for the configuration and for request keys.
#include "fakes/fake_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;

/** A fleet under random faults. */
class random_fleet
{
public:
  explicit random_fleet(std::uint64_t seed)
    : random_(seed)
  {
    add_two_regions(fleet, 2);
    // Snapshots come well before the retention below takes the records that they cover.
    for (auto& [id, node] : fleet.nodes) {
      node.options.snapshot_records = 5;
      fleet.kill(id);
    }
    for (const auto& [id, node] : fleet.nodes) {
      fleet.start(id);
    }
    fleet.run(6000);
  }

  fake_fleet fleet; ///< The fleet.

  /** @param bound One more than the largest draw. @return A random number. */
  std::uint64_t draw(std::uint64_t bound) { return random_() % bound; }

  /** @return A random node. */
  node_id random_node()
  {
    auto it = fleet.nodes.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(draw(fleet.nodes.size())));
    return it->first;
  }

  /** Brings about or ends a random fault. */
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

  /** Ends all faults and starts all nodes. */
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
  random_source random_; ///< Fixed seed.
};

BOOST_AUTO_TEST_SUITE(random_configuration)

BOOST_AUTO_TEST_CASE(versions_never_regress_or_diverge_and_accepted_ones_reach_all_nodes)
{
  for (std::uint64_t seed = 0; seed < 1500; ++seed) {
    random_fleet world(seed);
    fake_fleet& fleet = world.fleet;
    std::map<std::uint64_t, std::string> digests;
    std::map<node_id, std::uint64_t> floors;
    std::map<node_id, std::uint64_t> lives;
    std::uint64_t publishes = 0;
    for (int step = 0; step < 60; ++step) {
      world.toggle_random_fault();
      const node_id id = world.random_node();
      if (fleet.nodes.at(id).state && !fleet.nodes.at(id).is_frozen) {
        fleet.publish(id,
                      "p" + std::to_string(world.draw(40)),
                      document_with("s" + std::to_string(publishes++)));
      }
      if (world.draw(10) == 0) {
        fleet.log.retain(log_service_stream::config, 40 + world.draw(20));
      }
      fleet.run(100 + static_cast<mono_ms>(world.draw(20)) * 100);
      for (const auto& [name, node] : fleet.nodes) {
        if (!node.state) {
          continue;
        }
        const std::uint64_t life = node.record.incarnation;
        std::uint64_t& floor = floors[name];
        floor = lives[name] == life ? floor : 0;
        lives[name] = life;
        BOOST_REQUIRE_MESSAGE(node.version->number >= floor, "seed " << seed << " " << name);
        floor = node.version->number;
        const auto [known, is_new] = digests.emplace(node.version->number, node.version->digest);
        BOOST_REQUIRE_MESSAGE(is_new || known->second == node.version->digest,
                              "seed " << seed << " " << name);
      }
    }
    std::uint64_t accepted = 0;
    for (const auto& [name, node] : fleet.nodes) {
      for (const send_publish_result& answer : node.answers) {
        const bool is_accepted = answer.result == publish_result::accepted;
        accepted = std::max(accepted, is_accepted ? answer.version : 0);
      }
    }
    world.heal();
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

/** Callers, edges and homes of request keys on a fleet under random faults. */
class key_simulation
{
public:
  explicit key_simulation(std::uint64_t seed)
    : world(seed)
  {
    for (auto& [id, node] : world.fleet.nodes) {
      node.info = { "ordering", 10, server_state::ready };
      books_.emplace(id, key_table(LIMITS.window_ms));
    }
    world.fleet.run(8000);
  }

  random_fleet world;                    ///< The fleet.
  std::map<std::string, int> executions; ///< By key.
  std::uint64_t answered = 0;            ///< Requests that ran and were answered.
  std::uint64_t replayed = 0;            ///< Requests answered from a remembered key.
  std::uint64_t unresolved = 0;          ///< Requests with an unknown outcome.

  /** Sends a new request, or an earlier one again, through a random edge. */
  void send()
  {
    const bool is_new = keys_.empty() || world.draw(3) != 0;
    if (is_new) {
      keys_.push_back(make_key());
    }
    const std::string key =
      is_new ? keys_.back()
             : keys_[keys_.size() - 1 - world.draw(std::min<std::size_t>(keys_.size(), 20))];
    const node_id edge = world.random_node();
    fake_node& at = world.fleet.nodes.at(edge);
    if (!at.state || at.is_frozen) {
      return;
    }
    const auto members = at.view->services.find("ordering");
    const member_record* home =
      members == at.view->services.end() ? nullptr : find_home(key, members->second.servers);
    if (home != nullptr && !world.fleet.is_partitioned(edge, home->id) &&
        world.fleet.nodes.at(home->id).state) {
      waiting_.push_back({ home->id, world.fleet.nodes.at(home->id).record.incarnation, key });
    }
  }

  /** Lets the homes handle what waits, in a random order, unless they are frozen or died. */
  void work()
  {
    std::vector<arrival> later;
    for (arrival& item : std::exchange(waiting_, {})) {
      fake_node& home = world.fleet.nodes.at(item.home);
      if (!home.state || home.record.incarnation != item.incarnation) {
        continue; // The process is gone, and the request with it.
      }
      if (home.is_frozen || world.draw(4) == 0) {
        later.push_back(std::move(item));
      } else if (!item.is_decided) {
        decide(item, home, later);
      } else {
        run(item);
      }
    }
    waiting_.insert(waiting_.end(), later.begin(), later.end());
  }

  /** Forgets what a process knew when it was started again. */
  void note_restarts()
  {
    for (const auto& [id, node] : world.fleet.nodes) {
      if (lives_[id] != node.record.incarnation) {
        lives_[id] = node.record.incarnation;
        books_.at(id) = key_table(LIMITS.window_ms);
      }
    }
  }

private:
  static constexpr key_limits LIMITS{ 600'000, 5000 };

  /** A request at its home. */
  struct arrival
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
    const auto at = static_cast<std::uint64_t>(world.fleet.now.unix);
    std::snprintf(text,
                  sizeof text,
                  "%08x-%04x-7000-8000-%012x",
                  static_cast<unsigned>(at >> 16U),
                  static_cast<unsigned>(at & 0xffffU),
                  static_cast<unsigned>(keys_.size()));
    return text;
  }

  void decide(arrival item, fake_node& home, std::vector<arrival>& later)
  {
    key_table& book = books_.at(item.home);
    const instant now = world.fleet.now;
    const key_lookup found = book.handle_arrival(item.key, "f", 1, now.mono);
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
    bool may_run = std::holds_alternative<key_allowed>(permission);
    if (const auto* consult = std::get_if<key_confirmation_needed>(&permission)) {
      may_run = true;
      for (const node_id& former : consult->former) {
        const fake_node& asked = world.fleet.nodes.at(former);
        const bool answers =
          asked.state && !asked.is_frozen && !world.fleet.is_partitioned(item.home, former);
        may_run = may_run && answers && ask(former, item.key) == key_claim::barred;
      }
    }
    if (!may_run) {
      ++unresolved;
      book.release(item.key);
      return;
    }
    // The server starts it some time later, but not after the lease under which it was decided.
    item.is_decided = true;
    item.not_after = now.unix + home.lease_until - now.mono;
    later.push_back(std::move(item));
  }

  key_claim ask(const node_id& former, const std::string& key)
  {
    const auto started = static_cast<unix_ms>(world.fleet.nodes.at(former).record.incarnation);
    return can_rule_out_execution(key, started) ? books_.at(former).query(key, world.fleet.now.mono)
                                                : key_claim::seen;
  }

  void run(const arrival& item)
  {
    key_table& book = books_.at(item.home);
    if (world.fleet.now.unix > item.not_after) {
      book.release(item.key);
      return;
    }
    ++executions[item.key];
    if (world.draw(5) == 0) {
      book.mark_unresolved(item.key);
    } else {
      ++answered;
      book.record_completion(item.key, { { 200, {} }, "done" });
    }
  }

  std::map<node_id, key_table> books_;     ///< What each home remembers.
  std::map<node_id, std::uint64_t> lives_; ///< Incarnation of each book.
  std::vector<std::string> keys_;          ///< Keys that callers used.
  std::vector<arrival> waiting_;           ///< Requests at their homes.
};

BOOST_AUTO_TEST_SUITE(random_keys)

BOOST_AUTO_TEST_CASE(request_key_runs_at_most_once_under_random_faults)
{
  std::uint64_t answered = 0;
  std::uint64_t replayed = 0;
  std::uint64_t unresolved = 0;
  for (std::uint64_t seed = 0; seed < 1500; ++seed) {
    key_simulation keys(seed);
    for (int step = 0; step < 400; ++step) {
      if (step % 10 == 0) {
        keys.world.toggle_random_fault();
        keys.note_restarts();
      }
      keys.send();
      keys.work();
      keys.world.fleet.run(static_cast<mono_ms>(10 + keys.world.draw(20) * 10));
    }
    for (const auto& [key, times] : keys.executions) {
      BOOST_REQUIRE_MESSAGE(times == 1,
                            "seed " << seed << " key " << key << " ran " << times << " times");
    }
    answered += keys.answered;
    replayed += keys.replayed;
    unresolved += keys.unresolved;
  }
  // The schedule would prove nothing if hardly anything ran.
  BOOST_TEST_MESSAGE("answered " << answered << " replayed " << replayed << " unresolved "
                                 << unresolved);
  BOOST_TEST(answered > 1000U);
  BOOST_TEST(replayed > 100U);
}

BOOST_AUTO_TEST_SUITE_END()
