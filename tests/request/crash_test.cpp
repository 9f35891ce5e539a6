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
      std::visit(overloaded{
                   [&](const probe_server_port&) { ++port_checks; },
                   [&](const report_crash& item) {
                     ++reports;
                     for (const request_digest& digest : item.requests) {
                       registry.add({ digest, item.crash, now, false }, now);
                     }
                   },
                   [&](const acquit_request& item) { registry.acquit(item.request); },
                 },
                 effect);
    }
  }

  int port_checks = 0;
  int reports = 0;

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

  std::int64_t rejection(const request_identity& request) const
  {
    return rejection_ms(*registry.build_view(), digest_request(request), now);
  }

  std::array<fake_server_side, 3> servers{ fake_server_side(1),
                                           fake_server_side(2),
                                           fake_server_side(3) };
  crash_registry registry;
  mono_ms now = 100'000;
  request_identity odd{ "GET", "/read/odd", "", "shop" };
  request_identity popular{ "GET", "/read/popular", "", "shop" };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(crashes, crash_fixture)

// Guards against a request that crashes one server after the other without end.
BOOST_AUTO_TEST_CASE(request_that_crashed_three_servers_is_rejected)
{
  for (std::size_t i = 0; i < 3; ++i) {
    BOOST_TEST(rejection(odd) == 0);
    crash(i, { odd });
  }
  BOOST_TEST(rejection(odd) > 500'000);
  BOOST_TEST(rejection(popular) == 0);
}

BOOST_AUTO_TEST_CASE(crashes_of_one_server_count_each)
{
  for (int i = 0; i < 3; ++i) {
    crash(0, { odd });
  }
  BOOST_TEST(rejection(odd) > 0);
}

BOOST_AUTO_TEST_CASE(request_is_found_whoever_sends_it)
{
  for (const char* caller : { "shop", "ordering", "archive" }) {
    request_identity request = odd;
    request.caller_service = caller;
    crash(0, { request });
  }
  odd.caller_service = "catalogue";
  BOOST_TEST(rejection(odd) > 0);
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
  BOOST_TEST(rejection(odd) > 0);
  BOOST_TEST(rejection(other) == 0);
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
  BOOST_TEST(rejection(with_body) == 0);
  BOOST_TEST(rejection(with_query) == 0);
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
      BOOST_TEST(rejection(popular) == 0);
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
  BOOST_TEST(rejection(popular) > 0);
  servers[1].raise(request_survived{ popular }, registry, now);
  BOOST_TEST(rejection(popular) == 0);
  BOOST_TEST(rejection(odd) > 0);
}

BOOST_AUTO_TEST_CASE(lost_connection_to_a_server_that_runs_is_no_crash)
{
  for (int i = 0; i < 10; ++i) {
    servers[0].raise(request_lost{ odd }, registry, now);
    now += 500;
  }
  BOOST_TEST(servers[0].port_checks > 0);
  BOOST_TEST(servers[0].reports == 0);
  // A server that comes back later has crashed on something else.
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
  BOOST_TEST(rejection(odd) > 0);
}

BOOST_AUTO_TEST_CASE(one_attempt_is_allowed_later_and_another_crash_doubles_the_time)
{
  for (std::size_t i = 0; i < 3; ++i) {
    crash(i, { odd });
  }
  const std::int64_t first = rejection(odd);
  now += first;
  BOOST_TEST(rejection(odd) == 0);
  BOOST_TEST(!may_retry_suspect(*registry.build_view(), digest_request(odd)));
  crash(0, { odd });
  BOOST_TEST(rejection(odd) > first + first / 2);
}

BOOST_AUTO_TEST_CASE(memory_of_suspects_is_bounded_and_keeps_the_worst)
{
  for (std::size_t i = 0; i < 2; ++i) {
    crash(i, { odd });
  }
  for (int i = 0; i < 3000; ++i) {
    const std::string target = "/read/" + std::to_string(i);
    crash(2, { { "GET", target, "", "shop" } });
  }
  BOOST_TEST(registry.size() <= 1024U);
  BOOST_TEST(registry.shared_records().size() < 10U);
  crash(1, { odd });
  BOOST_TEST(rejection(odd) > 0);
}

/** A fleet in simulated time: servers with the proxies beside them, whose news arrive late or get
 * lost, a request that crashes servers, a popular one, and servers that crash for other reasons. */
class simulated_fleet
{
public:
  static constexpr std::size_t NODES = 6;

  explicit simulated_fleet(std::uint64_t seed)
    : random_(seed)
  {
    for (std::size_t i = 0; i < NODES; ++i) {
      nodes_.push_back({ crash_detector(random_source(seed * NODES + i)), {}, 0 });
    }
  }

  /** Plays one minute. */
  void play()
  {
    for (now_ = 1000; now_ < 61'000; now_ += 10) {
      deliver_news();
      for (std::size_t i = 0; i < NODES; ++i) {
        if (nodes_[i].up_at == now_) {
          raise(i, server_started{ true });
        }
      }
      // Each server completes the popular request about 20 times a second.
      for (std::size_t i = 0; i < NODES; ++i) {
        if (is_up(i) && draw(5) == 0) {
          popular_rejected += rejection(draw(NODES), popular_) > 0 ? 1 : 0;
          raise(i, request_survived{ popular_ });
        }
      }
      if (now_ % 1000 == 0) {
        remind();
      }
      if (now_ % 2500 == 0) {
        send_odd_request(draw(NODES));
      }
      if (draw(150) == 0) { // A server crashes for another reason.
        crash(draw(NODES), { popular_ });
      }
      if (draw(2000) == 0) { // All servers crash at once.
        for (std::size_t i = 0; i < NODES; ++i) {
          crash(i, { popular_ });
        }
      }
      if (draw(500) == 0) { // A proxy is restarted.
        node& restarted = nodes_[draw(NODES)];
        restarted.detector = crash_detector(random_);
        restarted.registry = {};
      }
    }
  }

  int odd_crashes = 0;      ///< Crashes by the odd request.
  int late_arrivals = 0;    ///< Arrivals of it at servers, 3 s after its third crash and later.
  int popular_rejected = 0; ///< Rejections of the popular request.

private:
  struct node
  {
    crash_detector detector;
    crash_registry registry;
    mono_ms up_at = 0; ///< When its server runs again.
  };

  struct news
  {
    std::size_t to = 0;
    crash_record record;
    mono_ms arrives_at = 0;
  };

  std::uint64_t draw(std::uint64_t below) { return random_() % below; }
  bool is_up(std::size_t i) const { return nodes_[i].up_at <= now_; }

  std::int64_t rejection(std::size_t i, const request_identity& request) const
  {
    return rejection_ms(*nodes_[i].registry.build_view(), digest_request(request), now_);
  }

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

  void raise(std::size_t i, const crash_event& event)
  {
    node& at = nodes_[i];
    for (const crash_effect& effect : at.detector.handle(event, *at.registry.build_view(), now_)) {
      std::visit(overloaded{
                   [](const probe_server_port&) {},
                   [&](const report_crash& item) {
                     for (const request_digest& digest : item.requests) {
                       const crash_record record{ digest, item.crash, now_, false };
                       at.registry.add(record, now_);
                       announce(record);
                     }
                   },
                   [&](const acquit_request& item) {
                     for (const crash_record& record : at.registry.acquit(item.request)) {
                       announce(record);
                     }
                   },
                 },
                 effect);
    }
  }

  void crash(std::size_t i, const std::vector<request_identity>& at_work)
  {
    if (!is_up(i)) {
      return;
    }
    nodes_[i].up_at = now_ + 500 + 10 * static_cast<mono_ms>(draw(400));
    for (const request_identity& request : at_work) {
      raise(i, request_lost{ request });
    }
    raise(i, server_port_closed{});
  }

  /** A caller sends the odd request, which its proxy retries once. */
  void send_odd_request(std::size_t caller)
  {
    for (std::size_t attempt = 0; attempt < 2; ++attempt) {
      const std::size_t server = draw(NODES);
      const crash_view_ptr view = nodes_[caller].registry.build_view();
      const bool may_send = rejection(caller, odd_) == 0 &&
                            (attempt == 0 || may_retry_suspect(*view, digest_request(odd_)));
      if (!may_send || !is_up(server) || rejection(server, odd_) > 0) {
        return;
      }
      late_arrivals += odd_crashes >= 3 && now_ > third_crash_at_ + 3000 ? 1 : 0;
      if (++odd_crashes == 3) {
        third_crash_at_ = now_;
      }
      crash(server, { odd_, popular_ });
    }
  }

  std::mt19937_64 random_;
  std::vector<node> nodes_;
  std::vector<news> news_;
  mono_ms now_ = 0;
  mono_ms third_crash_at_ = 0;
  request_identity odd_{ "GET", "/read/odd", "", "shop" };
  request_identity popular_{ "GET", "/read/popular", "", "shop" };
};

// Guards against a request that crashes servers and is not found, or another one that is taken for
// it, when proxies restart, news gets lost and servers crash for other reasons.
BOOST_AUTO_TEST_CASE(fleet_finds_the_request_that_crashes_servers_and_no_other)
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    simulated_fleet fleet(seed);
    fleet.play();
    BOOST_TEST(fleet.odd_crashes >= 3, "seed " << seed);
    BOOST_TEST(fleet.late_arrivals <= 3, "seed " << seed << ": " << fleet.late_arrivals);
    BOOST_TEST(fleet.popular_rejected == 0, "seed " << seed << ": " << fleet.popular_rejected);
  }
}

BOOST_AUTO_TEST_SUITE_END()
