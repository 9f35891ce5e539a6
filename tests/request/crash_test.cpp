// Tests of how requests that crash servers are found, and that others are not taken for them.
#include "request/request.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;

namespace {

/** The proxy beside one server, and what it has reported. */
class fake_server_side
{
public:
  explicit fake_server_side(std::uint64_t seed)
    : detector_(random_source(seed))
  {
  }

  /** Raises an event. The crash records of the fleet are in `registry`, as if all proxies shared
   * them at once. */
  void raise(const crash_event& event, crash_registry& registry, mono_ms now)
  {
    for (const crash_effect& effect : detector_.handle(event, *registry.build_view(), now)) {
      std::visit(
        overloaded{
          [&](const probe_server_port&) { ++port_checks; },
          [&](const report_crash& item) {
            const bool names_crash =
              item.proof != crash_proof::lost_suspect && !item.requests.empty();
            reports += names_crash ? 1 : 0;
            for (const crash_record& record : make_crash_records(item)) {
              registry.add(record, now);
            }
          },
          [&](const report_trial& item) { registry.add(make_trial_record(item), now); },
          [&](const reject_suspect& item) { rejected.insert(item.ticket); },
          [&](const acquit_request& item) { registry.acquit(item.request); },
          [&](const withdraw_crash& item) { registry.add(make_withdrawal_record(item), now); },
        },
        effect);
    }
  }

  /** Raises the events of a request that is sent to the server. Returns whether it may run. */
  bool begin(const request_identity& request,
             slot_ticket ticket,
             bool is_trial_server,
             crash_registry& registry,
             mono_ms now)
  {
    raise(request_queued{ request, ticket, is_trial_server }, registry, now);
    if (rejected.contains(ticket)) {
      return false;
    }
    raise(request_sent{ ticket }, registry, now);
    return true;
  }

  int port_checks = 0;
  int reports = 0; ///< Reports that name requests.
  std::set<slot_ticket> rejected;

private:
  crash_detector detector_;
};

/** Three servers with the proxies beside them. */
struct crash_fixture
{
  /** The requests are at work at a server, which crashes, and is back a second later. */
  void crash(std::size_t server, const std::vector<request_identity>& at_work)
  {
    for (const request_identity& request : at_work) {
      servers[server].raise(request_lost{ request }, registry, now);
    }
    now += 20;
    servers[server].raise(server_port_closed{}, registry, now);
    now += 1000;
    servers[server].raise(server_started{ true }, registry, now);
  }

  /** Returns whether a request is rejected, but for a trial. */
  bool is_rejected(const request_identity& request) const
  {
    const suspect_decision decision =
      decide_suspect(*registry.build_view(), digest_request(request), now);
    return !std::holds_alternative<suspect_may_run>(decision);
  }

  /** Returns how long a request is rejected without a trial, in ms. */
  std::int64_t rejection(const request_identity& request) const
  {
    return rejection_ms(*registry.build_view(), digest_request(request), now);
  }

  std::array<fake_server_side, 3> servers{ fake_server_side(1),
                                           fake_server_side(2),
                                           fake_server_side(3) };
  crash_registry registry;
  mono_ms now = 100'000;
  request_identity odd{ "GET", "h", "/read/odd", "", "shop", "stock" };
  request_identity popular{ "GET", "h", "/read/popular", "", "shop", "stock" };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(crashes, crash_fixture)

// Guards against a request that crashes one server after the other without end.
BOOST_AUTO_TEST_CASE(request_that_crashed_three_servers_is_rejected)
{
  for (std::size_t i = 0; i < 3; ++i) {
    BOOST_TEST(!is_rejected(odd));
    crash(i, { odd });
  }
  BOOST_TEST(is_rejected(odd));
  BOOST_TEST(!is_rejected(popular));
}

BOOST_AUTO_TEST_CASE(crashes_of_one_server_count_each)
{
  for (int i = 0; i < 3; ++i) {
    crash(0, { odd });
  }
  BOOST_TEST(is_rejected(odd));
}

BOOST_AUTO_TEST_CASE(request_is_found_whoever_sends_it)
{
  for (const char* caller : { "shop", "ordering", "archive" }) {
    request_identity request = odd;
    request.caller_service = caller;
    crash(0, { request });
  }
  odd.caller_service = "catalogue";
  BOOST_TEST(is_rejected(odd));
}

BOOST_AUTO_TEST_CASE(request_that_crashes_for_one_caller_is_found_although_others_are_served)
{
  request_identity other = odd;
  other.caller_service = "ordering";
  for (std::size_t i = 0; i < 3; ++i) {
    servers[i].raise(request_survived{ other }, registry, now);
    crash(i, { odd });
  }
  servers[0].raise(request_survived{ other }, registry, now);
  BOOST_TEST(is_rejected(odd));
  BOOST_TEST(!is_rejected(other));
}

BOOST_AUTO_TEST_CASE(body_and_query_tell_requests_apart)
{
  for (std::size_t i = 0; i < 3; ++i) {
    crash(i, { odd });
  }
  request_identity with_body = odd;
  with_body.body = "x";
  request_identity with_query = odd;
  with_query.target = "/read/odd?x";
  BOOST_TEST(!is_rejected(with_body));
  BOOST_TEST(!is_rejected(with_query));
}

// Guards against the rejection of a popular request that is at work when servers crash for other
// reasons, one after the other or all at once.
BOOST_AUTO_TEST_CASE(popular_request_at_work_on_crashing_servers_is_served)
{
  for (int round = 0; round < 10; ++round) {
    for (std::size_t i = 0; i < 3; ++i) {
      servers[i].raise(request_survived{ popular }, registry, now);
    }
    for (std::size_t i = 0; i < 3; ++i) {
      servers[i].raise(request_lost{ popular }, registry, now);
    }
    now += 20;
    for (std::size_t i = 0; i < 3; ++i) {
      servers[i].raise(server_port_closed{}, registry, now);
      BOOST_TEST(!is_rejected(popular));
    }
    now += 3000;
    for (std::size_t i = 0; i < 3; ++i) {
      servers[i].raise(server_started{ true }, registry, now);
    }
  }
}

BOOST_AUTO_TEST_CASE(completed_request_is_acquitted_also_once_it_is_rejected)
{
  // The proxies beside the servers have just started, so they remember no completed request.
  for (std::size_t i = 0; i < 3; ++i) {
    crash(i, { popular, odd });
  }
  BOOST_TEST(is_rejected(popular));
  servers[1].raise(request_survived{ popular }, registry, now);
  BOOST_TEST(!is_rejected(popular));
  BOOST_TEST(is_rejected(odd));
}

BOOST_AUTO_TEST_CASE(lost_connection_to_a_server_that_runs_is_no_crash)
{
  for (int i = 0; i < 10; ++i) {
    servers[0].raise(request_lost{ odd }, registry, now);
    now += 500;
  }
  BOOST_TEST(servers[0].port_checks > 0);
  BOOST_TEST(servers[0].reports == 0);
  // The server answers a request that was sent since, so that it crashes on something else later.
  servers[0].raise(request_survived{ popular, 0, now }, registry, now + 50);
  now += 5000;
  servers[0].raise(server_port_closed{}, registry, now);
  BOOST_TEST(servers[0].reports == 0);
}

BOOST_AUTO_TEST_CASE(end_of_a_server_that_leaves_is_no_crash)
{
  servers[0].raise(server_leaving{}, registry, now);
  servers[0].raise(request_lost{ odd }, registry, now);
  servers[0].raise(server_port_closed{}, registry, now);
  servers[0].raise(server_started{ true }, registry, now);
  BOOST_TEST(servers[0].reports == 0);
  // That holds for this server only, not for the next one.
  crash(0, { odd });
  BOOST_TEST(servers[0].reports == 1);
}

BOOST_AUTO_TEST_CASE(server_that_is_back_at_once_has_crashed)
{
  servers[0].raise(request_lost{ odd }, registry, now);
  servers[0].raise(server_started{ true }, registry, now + 100);
  BOOST_TEST(servers[0].reports == 1);
}

BOOST_AUTO_TEST_CASE(connections_that_end_one_after_the_other_are_one_crash)
{
  for (int i = 0; i < 5; ++i) {
    servers[0].raise(request_lost{ odd }, registry, now + i);
    servers[0].raise(server_port_closed{}, registry, now + i);
  }
  BOOST_TEST(count_crashes(*registry.build_view(), digest_request(odd)) == 1U);
}

BOOST_AUTO_TEST_CASE(request_whose_caller_left_is_suspected_too)
{
  for (std::size_t i = 0; i < 3; ++i) {
    servers[i].raise(request_abandoned{ odd }, registry, now);
    servers[i].raise(server_port_closed{}, registry, now + 20);
  }
  BOOST_TEST(is_rejected(odd));
}

// Guards against a server whose port stays taken after its crash, so that nothing shows the crash
// until the next process announces itself seconds later.
BOOST_AUTO_TEST_CASE(crash_that_shows_late_is_ascribed_to_what_was_at_work)
{
  for (std::size_t i = 0; i < 3; ++i) {
    servers[i].raise(request_lost{ odd }, registry, now);
    now += 4500;
    servers[i].raise(server_started{ true }, registry, now);
  }
  BOOST_TEST(is_rejected(odd));
}

// The same for a server that keeps its connections and says nothing, or never comes back.
BOOST_AUTO_TEST_CASE(crash_of_a_silent_server_is_ascribed_to_what_was_at_work)
{
  for (std::size_t i = 0; i < 3; ++i) {
    servers[i].raise(request_abandoned{ odd }, registry, now);
    now += 5000;
    servers[i].raise(server_silent{}, registry, now);
  }
  BOOST_TEST(is_rejected(odd));
}

// Guards against a proxy that is restarted before the crash of its server shows, and a request that
// goes on crashing servers meanwhile: if the request is suspected already, its loss counts at once.
BOOST_AUTO_TEST_CASE(loss_of_a_suspect_counts_until_the_server_is_seen_running)
{
  crash(0, { odd });
  servers[1].raise(request_lost{ odd }, registry, now);
  servers[2].raise(request_abandoned{ odd }, registry, now);
  BOOST_TEST(is_rejected(odd));
  // The first of the servers turns out to run, the other one to have crashed.
  servers[1].raise(request_survived{ popular, 0, now - 10 }, registry, now + 10);
  BOOST_TEST(is_rejected(odd));
  servers[1].raise(request_survived{ popular, 0, now + 10 }, registry, now + 20);
  BOOST_TEST(!is_rejected(odd));
  servers[2].raise(server_started{ true }, registry, now + 3000);
  BOOST_TEST(count_crashes(*registry.build_view(), digest_request(odd)) == 2U);
}

// Guards against an error of the server's own being taken for proof that a request is harmless.
BOOST_AUTO_TEST_CASE(request_that_the_server_failed_is_not_acquitted)
{
  for (std::size_t i = 0; i < 3; ++i) {
    servers[i].raise(request_survived{ odd, 0, now, false }, registry, now);
    crash(i, { odd });
    servers[i].raise(request_survived{ odd, 0, now, false }, registry, now);
  }
  BOOST_TEST(is_rejected(odd));
}

// Guards against a harmless request that differs only in its host clearing one that crashes
// servers, and against taking the one for the other.
BOOST_AUTO_TEST_CASE(host_tells_requests_apart)
{
  request_identity twin = odd;
  twin.host = "other";
  for (std::size_t i = 0; i < 3; ++i) {
    servers[i].raise(request_survived{ twin }, registry, now);
    crash(i, { odd });
    servers[i].raise(request_survived{ twin }, registry, now);
  }
  BOOST_TEST(is_rejected(odd));
  BOOST_TEST(!is_rejected(twin));
  twin.host = "H:80";
  BOOST_TEST(is_rejected(twin));
}

BOOST_AUTO_TEST_CASE(request_is_found_although_another_service_gets_it_now)
{
  for (std::size_t i = 0; i < 3; ++i) {
    crash(i, { odd });
  }
  odd.service = "archive";
  BOOST_TEST(is_rejected(odd));
}

// Guards against a request that was popular and harmless, and crashes servers from some moment on:
// its earlier completion clears it of one crash of a server only.
BOOST_AUTO_TEST_CASE(earlier_completion_clears_a_request_of_one_crash_only)
{
  servers[0].raise(request_survived{ popular }, registry, now);
  crash(0, { popular });
  BOOST_TEST(!is_rejected(popular));
  for (int i = 0; i < 3; ++i) {
    crash(0, { popular });
  }
  BOOST_TEST(is_rejected(popular));
}

// Guards against a request that waits for a slot while others find out that it crashes servers.
BOOST_AUTO_TEST_CASE(request_that_waits_is_asked_about_again)
{
  servers[0].raise(request_queued{ odd, 7, false }, registry, now);
  BOOST_TEST(servers[0].rejected.empty());
  for (std::size_t i = 1; i < 3; ++i) {
    crash(i, { odd });
  }
  crash(1, { odd });
  servers[0].raise(request_queued{ odd, 7, false }, registry, now);
  BOOST_TEST(servers[0].rejected.contains(7));
}

// Guards against a healthy request that is rejected for long, since it was at work whenever servers
// crashed for other reasons and took too long to be completed in between.
BOOST_AUTO_TEST_CASE(trial_brings_a_healthy_request_back)
{
  for (std::size_t i = 0; i < 3; ++i) {
    servers[i].raise(request_lost{ odd }, registry, now);
    servers[i].raise(server_port_closed{}, registry, now);
    servers[i].raise(server_started{ true }, registry, now + 400);
  }
  BOOST_TEST(rejection(odd) > 0);
  BOOST_TEST(rejection(odd) <= 1000);
  now += 1000;
  BOOST_TEST(rejection(odd) == 0);
  BOOST_TEST(!may_retry_suspect(*registry.build_view(), digest_request(odd)));
  // Only one server runs it, once.
  BOOST_TEST(!servers[0].begin(odd, 1, false, registry, now));
  BOOST_TEST(servers[1].begin(odd, 2, true, registry, now));
  BOOST_TEST(!servers[1].begin(odd, 3, true, registry, now));
  BOOST_TEST(!servers[2].begin(odd, 4, true, registry, now));
  BOOST_TEST(rejection(odd) > 0);
  now += 1900;
  servers[1].raise(request_survived{ odd, 2, now - 1900 }, registry, now);
  BOOST_TEST(rejection(odd) == 0);
  BOOST_TEST(servers[0].begin(odd, 5, false, registry, now));
  BOOST_TEST(servers[0].begin(odd, 6, false, registry, now));
}

// Guards against trials that cost a server each without end.
BOOST_AUTO_TEST_CASE(trials_of_a_request_that_crashes_servers_are_few)
{
  for (std::size_t i = 0; i < 3; ++i) {
    crash(i, { odd });
  }
  const mono_ms until = now + 4 * 3'600'000 - 10'000;
  int trials = 0;
  for (slot_ticket ticket = 1; now < until; ++ticket) {
    if (servers[ticket % 3].begin(odd, ticket, true, registry, now)) {
      ++trials;
      now += 90;
      servers[ticket % 3].raise(request_lost{ odd, ticket, now - 90 }, registry, now);
      servers[ticket % 3].raise(server_port_closed{}, registry, now + 20);
      servers[ticket % 3].raise(server_started{ true }, registry, now + 1300);
    }
    now += 2500;
  }
  BOOST_TEST(trials == 3);
}

BOOST_AUTO_TEST_CASE(trial_whose_end_is_unknown_counts_as_failed)
{
  for (std::size_t i = 0; i < 3; ++i) {
    crash(i, { odd });
  }
  BOOST_TEST(servers[0].begin(odd, 1, true, registry, now));
  // The proxy beside the server ends, and nothing is heard of the trial any more.
  now += 9000;
  BOOST_TEST(rejection(odd) > 0);
  now += 10'000;
  BOOST_TEST(rejection(odd) > 10'000);
  now += 30'000;
  BOOST_TEST(rejection(odd) == 0);
}

BOOST_AUTO_TEST_CASE(trial_that_shows_nothing_is_followed_by_another_at_once)
{
  const std::vector<std::function<void()>> ends = {
    // The server fails, or refuses the request.
    [this] {
      servers[0].raise(request_survived{ odd, 1, now, false }, registry, now + 10);
    },
    [this] { servers[0].raise(request_inconclusive{ 1 }, registry, now + 10); },
    // The connection is lost, but the server answers a request that was sent since.
    [this] {
      servers[0].raise(request_lost{ odd, 1, now }, registry, now + 10);
      BOOST_TEST(rejection(odd) > 0);
      servers[0].raise(request_survived{ popular, 9, now + 20 }, registry, now + 30);
    },
  };
  for (const std::function<void()>& end : ends) {
    registry = {};
    servers[0] = fake_server_side(9);
    now += 60'000;
    for (std::size_t i = 0; i < 3; ++i) {
      crash(i, { odd });
    }
    BOOST_TEST(servers[0].begin(odd, 1, true, registry, now));
    end();
    BOOST_TEST(servers[0].begin(odd, 2, true, registry, now + 40));
    // It reaches servers all the same, so that there are few of such trials.
    servers[0].raise(request_inconclusive{ 2 }, registry, now + 50);
    BOOST_TEST(!servers[0].begin(odd, 3, true, registry, now + 60));
    now += 30'000;
    BOOST_TEST(servers[0].begin(odd, 4, true, registry, now));
  }
}

// Guards against a healthy request that stays rejected because the servers of its trials crash for
// the same other reason as the others, and against excusing one that crashes servers alone.
BOOST_AUTO_TEST_CASE(crash_at_a_trial_counts_less_if_many_servers_crash_together)
{
  static constexpr std::size_t OTHERS = 5;
  for (const bool is_together : { true, false }) {
    trial_review review;
    BOOST_TEST(review.handle(trial_crashed{ { { { 1, 1 }, 7, now } } }, now).empty());
    now += 400;
    for (const char* node : { "b", "c", "d" }) {
      BOOST_TEST(review.handle(server_replaced{ node }, now).empty());
      now += is_together ? 100 : 700;
    }
    review.handle(server_replaced{ "a", true }, now);
    BOOST_TEST(review.handle(review_tick{ OTHERS }, now + 400).empty());
    const std::vector<crash_record> changed = review.handle(review_tick{ OTHERS }, now + 600);
    BOOST_TEST(changed.size() == (is_together ? 1U : 0U));
    BOOST_TEST((changed.empty() || changed[0].finding == crash_finding::suspected_together));
    BOOST_TEST(review.handle(review_tick{ OTHERS }, now + 700).empty());
    now += 60'000;
  }
}

BOOST_AUTO_TEST_CASE(trial_is_repeated_soon_if_many_servers_crashed_together)
{
  for (std::size_t i = 0; i < 3; ++i) {
    crash(i, { odd });
  }
  BOOST_TEST(servers[0].begin(odd, 1, true, registry, now));
  now += 1000;
  servers[0].raise(request_lost{ odd, 1, now - 1000 }, registry, now);
  servers[0].raise(server_port_closed{}, registry, now);
  BOOST_TEST(rejection(odd) > 10'000);
  for (const request_digest& digest :
       { digest_request(odd).any_caller, digest_request(odd).exact }) {
    crash_record last = registry.records_of(digest).back();
    BOOST_TEST((last.finding == crash_finding::suspected_on_trial));
    last.finding = crash_finding::suspected_together;
    registry.add(last, now);
  }
  BOOST_TEST(rejection(odd) <= 1000);
}

// Guards against losing what is known of a request when a whole zone crashes with all slots taken.
BOOST_AUTO_TEST_CASE(crash_of_a_zone_does_not_displace_a_suspect)
{
  static constexpr int SERVERS = 40;
  static constexpr int SLOTS = 18;
  crash(0, { odd });
  for (int server = 0; server < SERVERS; ++server) {
    fake_server_side side(static_cast<std::uint64_t>(100 + server));
    std::vector<std::string> targets;
    for (int slot = 0; slot < SLOTS; ++slot) {
      targets.push_back("/read/" + std::to_string(server) + "/" + std::to_string(slot));
      request_identity request = odd;
      request.target = targets.back();
      side.raise(request_lost{ request }, registry, now);
    }
    side.raise(server_port_closed{}, registry, now);
  }
  for (std::size_t i = 1; i < 3; ++i) {
    crash(i, { odd });
  }
  BOOST_TEST(is_rejected(odd));
}

BOOST_AUTO_TEST_CASE(memory_of_suspects_is_bounded_and_keeps_the_worst)
{
  for (std::size_t i = 0; i < 2; ++i) {
    crash(i, { odd });
  }
  for (int i = 0; i < 3000; ++i) {
    const std::string target = "/read/" + std::to_string(i);
    crash(2, { { "GET", "h", target, "", "shop", "stock" } });
  }
  BOOST_TEST(registry.size() <= 4096U);
  BOOST_TEST(registry.shared_records().size() < 10U);
  crash(1, { odd });
  BOOST_TEST(is_rejected(odd));
}

/** How servers and proxies fail in a simulated fleet. */
enum class fleet_trouble
{
  closed_port,   ///< The port of a crashed server is closed.
  taken_port,    ///< It accepts connections and closes them; nothing shows the crash.
  silent_server, ///< A crashed server keeps its connections and says nothing.
  failing_half,  ///< Servers answer every second coming of the odd request with an error.
  twin_on_host,  ///< The popular request differs from the odd one in its host only.
  proxies_die,   ///< All proxies are killed at once, twice.
  mass_crashes,  ///< All servers crash again and again; a long request is at work.
};

inline constexpr enum_table<fleet_trouble, 7> FLEET_TROUBLE_ROWS = { {
  { fleet_trouble::closed_port, "closed_port" },
  { fleet_trouble::taken_port, "taken_port" },
  { fleet_trouble::silent_server, "silent_server" },
  { fleet_trouble::failing_half, "failing_half" },
  { fleet_trouble::twin_on_host, "twin_on_host" },
  { fleet_trouble::proxies_die, "proxies_die" },
  { fleet_trouble::mass_crashes, "mass_crashes" },
} };

constexpr const auto&
enum_rows(fleet_trouble)
{
  return FLEET_TROUBLE_ROWS;
}

/**
 * A fleet in simulated time: servers with the proxies beside them, whose news arrive late or get
 * lost, a request that crashes servers, a popular one, a long one, and servers that crash for other
 * reasons. Time passes in steps of 10 ms.
 */
class simulated_fleet
{
public:
  static constexpr std::size_t NODES = 6;
  static constexpr mono_ms STEP_MS = 10;
  static constexpr mono_ms END_MS = 61'000;
  static constexpr mono_ms CALM_FROM_MS =
    40'000; ///< From then on, servers crash only on the odd request.

  simulated_fleet(std::uint64_t seed, fleet_trouble trouble)
    : random_(seed)
    , trouble_(trouble)
  {
    if (trouble == fleet_trouble::twin_on_host) {
      popular_.target = odd_.target;
      popular_.host = "twin";
    }
    for (std::size_t i = 0; i < NODES; ++i) {
      node_beacon beacon;
      beacon.id = "n" + std::to_string(i);
      beacon.server = { "stock", "i", 4, server_state::ready };
      beacons_.push_back(beacon);
      nodes_.push_back({ crash_detector(random_source(seed * NODES + i)), {}, 0, true, {}, {} });
      raise(i, server_started{ true });
    }
  }

  /** Plays one minute. */
  void play()
  {
    for (now_ = 1000; now_ < END_MS; now_ += STEP_MS) {
      deliver_news();
      for (std::size_t i = 0; i < NODES; ++i) {
        advance_server(i);
      }
      if (now_ % 1000 == 0) {
        remind();
      }
      send_requests();
      disturb();
    }
  }

  int odd_crashes = 0;      ///< Crashes by the odd request.
  int late_arrivals = 0;    ///< Arrivals of it at servers, 3 s after its third crash and later.
  int popular_rejected = 0; ///< Rejections of the popular request.
  int long_sent = 0;        ///< Long requests in the calm, but for its first seconds.
  int long_rejected = 0;    ///< Those of them that were rejected.

private:
  /** A request at work at a server. */
  struct run
  {
    const request_identity* request = nullptr;
    slot_ticket ticket = 0;
    std::size_t caller = 0;
    bool is_retry = false;
    mono_ms started_at = 0;
    mono_ms ends_at = 0; ///< Or when the server crashes on it.
    mono_ms deadline = 0;
  };

  struct node
  {
    crash_detector detector;
    crash_registry registry;
    mono_ms back_at = 0; ///< When its server runs again.
    bool is_up = true;
    std::vector<run> runs;
    trial_review review;
  };

  struct news
  {
    std::size_t to = 0;
    crash_record record;
    mono_ms arrives_at = 0;
  };

  std::uint64_t draw(std::uint64_t below) { return random_() % below; }

  /** Sends a record to all nodes, three times; one datagram in four gets lost. */
  void announce(const crash_record& record)
  {
    for (std::size_t to = 0; to < NODES; ++to) {
      for (int copy = 0; copy < 3; ++copy) {
        if (draw(4) != 0) {
          news_.push_back({ to, record, now_ + 100 * copy + static_cast<mono_ms>(draw(20)) });
        }
      }
    }
  }

  void remind()
  {
    for (node& from : nodes_) {
      for (int i = 0; i < 2; ++i) {
        const std::size_t to = draw(NODES);
        for (const crash_record& record : from.registry.shared_records()) {
          news_.push_back({ to, record, now_ + 10 });
        }
      }
    }
  }

  void deliver_news()
  {
    const std::vector<news> all = std::exchange(news_, {});
    for (const news& item : all) {
      if (item.arrives_at <= now_) {
        nodes_[item.to].registry.add(item.record, now_);
      } else {
        news_.push_back(item);
      }
    }
  }

  /** Stores or removes a request as the proxy that heard of its crash first does. */
  void store(std::size_t i, const request_digest& request)
  {
    const crash_view_ptr view = nodes_[i].registry.build_view();
    const auto known = view->find(request);
    if (known != view->end() && known->second.crashes >= REJECTED_FROM_CRASHES) {
      stored_[request] = nodes_[i].registry.records_of(request);
    } else {
      stored_.erase(request);
    }
  }

  void raise(std::size_t i, const crash_event& event)
  {
    node& at = nodes_[i];
    const auto tell = [&](const crash_record& record) {
      at.registry.add(record, now_);
      announce(record);
    };
    for (const crash_effect& effect : at.detector.handle(event, *at.registry.build_view(), now_)) {
      std::visit(overloaded{
                   [](const probe_server_port&) {},
                   [&](const report_crash& item) {
                     std::vector<crash_record> on_trial;
                     for (const crash_record& record : make_crash_records(item)) {
                       tell(record);
                       store(i, record.request);
                       if (record.finding == crash_finding::suspected_on_trial) {
                         on_trial.push_back(record);
                       }
                     }
                     if (!on_trial.empty()) {
                       at.review.handle(trial_crashed{ on_trial }, now_);
                     }
                   },
                   [&](const reject_suspect& item) { rejected_ = item.ticket; },
                   [&](const report_trial& item) { tell(make_trial_record(item)); },
                   [&](const withdraw_crash& item) { tell(make_withdrawal_record(item)); },
                   [&](const acquit_request& item) {
                     for (const crash_record& record : at.registry.acquit(item.request)) {
                       announce(record);
                     }
                     store(i, item.request);
                   },
                 },
                 effect);
    }
  }

  /** Returns the node whose server is chosen for a trial, as a node sees it. */
  std::size_t trial_server(const suspect_trial_due& trial)
  {
    auto view = std::make_shared<peer_view>();
    for (std::size_t i = 0; i < NODES; ++i) {
      if (nodes_[i].is_up) {
        view->emplace(beacons_[i].id, beacons_[i]);
      }
    }
    server_index index(*view, beacons_[0]);
    const auto choice = choose_trial_server(index, "stock", trial.request, trial.latest_trial);
    return choice ? std::stoul(choice->node->id.substr(1)) : NODES;
  }

  suspect_decision decide(std::size_t i, const request_identity& request) const
  {
    return decide_suspect(*nodes_[i].registry.build_view(), digest_request(request), now_);
  }

  /** A caller's proxy sends a request. Returns whether it was not rejected. */
  bool send(std::size_t caller, const request_identity& request, bool is_retry)
  {
    const suspect_decision decision = decide(caller, request);
    if (std::holds_alternative<suspect_rejected>(decision)) {
      return false;
    }
    const auto* trial = std::get_if<suspect_trial_due>(&decision);
    const std::size_t at = trial != nullptr ? trial_server(*trial) : draw(NODES);
    if (at == NODES || !nodes_[at].is_up) {
      return true; // The server is known to be down.
    }
    const slot_ticket ticket = ++tickets_;
    const suspect_decision there = decide(at, request);
    const auto* due = std::get_if<suspect_trial_due>(&there);
    raise(at, request_queued{ request, ticket, due != nullptr && trial_server(*due) == at });
    if (rejected_ == ticket) {
      return false;
    }
    raise(at, request_sent{ ticket });
    run added{ &request, ticket, caller, is_retry, now_, now_ + 60, now_ + 5000 };
    if (&request == &long_) {
      added.ends_at = now_ + 1900;
    } else if (&request == &odd_) {
      late_arrivals += odd_crashes >= 3 && now_ > third_crash_at_ + 3000 ? 1 : 0;
      added.ends_at = now_ + 90;
      added.deadline = now_ + 800;
    }
    nodes_[at].runs.push_back(added);
    return true;
  }

  void advance_server(std::size_t i)
  {
    node& at = nodes_[i];
    if (!at.is_up && now_ >= at.back_at) {
      lose_all(i);
      at.is_up = true;
      raise(i, server_started{ true });
      for (std::size_t k = 0; k < NODES; ++k) {
        nodes_[k].review.handle(server_replaced{ beacons_[i].id, k == i }, now_);
      }
    }
    for (const crash_record& record : at.review.handle(review_tick{ NODES - 1 }, now_)) {
      at.registry.add(record, now_);
      announce(record);
    }
    for (std::size_t k = 0; k < at.runs.size();) {
      const run item = at.runs[k];
      const bool is_over = at.is_up ? now_ >= item.ends_at : now_ >= item.deadline;
      if (!is_over) {
        ++k;
        continue;
      }
      at.runs.erase(at.runs.begin() + static_cast<std::ptrdiff_t>(k));
      if (!at.is_up) {
        raise(i, request_abandoned{ *item.request, item.ticket, item.started_at });
        continue;
      }
      const bool is_odd = item.request == &odd_;
      const bool is_failed =
        is_odd && trouble_ == fleet_trouble::failing_half && ++odd_runs_ % 2 == 0;
      if (is_odd && !is_failed) {
        if (++odd_crashes == 3) {
          third_crash_at_ = now_;
        }
        at.runs.push_back(item);
        crash(i);
        return;
      }
      raise(i, request_survived{ *item.request, item.ticket, item.started_at, !is_failed });
    }
  }

  /** Ends the connections of all requests at work at a server. */
  void lose_all(std::size_t i)
  {
    for (const run& item : std::exchange(nodes_[i].runs, {})) {
      raise(i, request_lost{ *item.request, item.ticket, item.started_at });
      const crash_view_ptr view = nodes_[item.caller].registry.build_view();
      if (item.request == &odd_ && !item.is_retry &&
          may_retry_suspect(*view, digest_request(odd_))) {
        send(item.caller, odd_, true);
      }
    }
  }

  void crash(std::size_t i)
  {
    if (!nodes_[i].is_up) {
      return;
    }
    nodes_[i].is_up = false;
    const bool is_quick = trouble_ == fleet_trouble::mass_crashes;
    nodes_[i].back_at = now_ + (is_quick ? 400 : 500 + STEP_MS * static_cast<mono_ms>(draw(400)));
    if (trouble_ != fleet_trouble::silent_server) {
      lose_all(i);
    }
    if (trouble_ != fleet_trouble::silent_server && trouble_ != fleet_trouble::taken_port) {
      raise(i, server_port_closed{});
    }
  }

  void send_requests()
  {
    for (std::size_t i = 0; i < NODES; ++i) {
      if (draw(5) == 0) {
        popular_rejected += send(draw(NODES), popular_, false) ? 0 : 1;
      }
    }
    const bool is_mass = trouble_ == fleet_trouble::mass_crashes;
    if (is_mass && now_ % 100 == 0 && now_ > CALM_FROM_MS - 8000) {
      // A trial takes place after a second and takes two.
      const bool counts = now_ > CALM_FROM_MS + 4000;
      const bool is_sent = send(draw(NODES), long_, false);
      long_sent += counts ? 1 : 0;
      long_rejected += counts && !is_sent ? 1 : 0;
    }
    if (!is_mass && now_ % 2500 == 0) {
      send(draw(NODES), odd_, false);
    }
  }

  void crash_all()
  {
    for (std::size_t i = 0; i < NODES; ++i) {
      crash(i);
    }
  }

  void restart_proxy(std::size_t i)
  {
    // The requests at work end with it, at the server as well.
    nodes_[i].runs.clear();
    nodes_[i].detector = crash_detector(random_);
    nodes_[i].registry = {};
    nodes_[i].review = {};
    for (const auto& [request, records] : stored_) {
      for (const crash_record& record : records) {
        nodes_[i].registry.add(record, now_);
      }
    }
  }

  void disturb()
  {
    if (trouble_ == fleet_trouble::mass_crashes) {
      if (now_ > CALM_FROM_MS - 7000 && now_ < CALM_FROM_MS && now_ % 2000 == 0) {
        crash_all();
      }
      return;
    }
    if (now_ < CALM_FROM_MS && draw(150) == 0) {
      crash(draw(NODES));
    }
    if (now_ < CALM_FROM_MS && draw(2000) == 0) {
      crash_all();
    }
    if (draw(500) == 0) {
      restart_proxy(draw(NODES));
    }
    if (trouble_ == fleet_trouble::proxies_die && (now_ == 20'000 || now_ == 39'000)) {
      news_.clear();
      for (std::size_t i = 0; i < NODES; ++i) {
        restart_proxy(i);
      }
    }
  }

  std::mt19937_64 random_;
  fleet_trouble trouble_;
  std::vector<node> nodes_;
  std::vector<node_beacon> beacons_;
  std::vector<news> news_;
  std::map<request_digest, std::vector<crash_record>> stored_; ///< In the platform's store.
  mono_ms now_ = 0;
  mono_ms third_crash_at_ = 0;
  int odd_runs_ = 0;
  slot_ticket tickets_ = 0;
  slot_ticket rejected_ = 0; ///< The request that was rejected last.
  request_identity odd_{ "GET", "h", "/read/odd", "", "shop", "stock" };
  request_identity popular_{ "GET", "h", "/read/popular", "", "shop", "stock" };
  request_identity long_{ "GET", "h", "/read/long", "", "shop", "stock" };
};

// Guards against a request that crashes servers and is not found, or another one that is taken for
// it, when proxies restart, news gets lost, crashes show late and servers crash for other reasons.
BOOST_AUTO_TEST_CASE(fleet_finds_the_request_that_crashes_servers_and_no_other)
{
  for (const enum_row<fleet_trouble>& row : FLEET_TROUBLE_ROWS) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      BOOST_TEST_CONTEXT(row.name << ", seed " << seed)
      {
        simulated_fleet fleet(seed, row.value);
        fleet.play();
        if (row.value == fleet_trouble::mass_crashes) {
          BOOST_TEST(fleet.long_sent > 150);
          BOOST_TEST(fleet.long_rejected == 0);
        } else {
          BOOST_TEST(fleet.odd_crashes >= 3);
        }
        BOOST_TEST(fleet.late_arrivals <= 3);
        BOOST_TEST(fleet.popular_rejected == 0);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
