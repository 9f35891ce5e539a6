// Checks the state machines of a request over all orders of events up to a bounded depth: what may
// run twice, and what is reported as not run.
#include "request/request.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;

/** Reports a violated rule with the events that led to it. It costs little if the rule holds, as it
 * is called for millions of states. */
static void
check(bool holds, const std::string& path)
{
  if (!holds) {
    BOOST_ERROR("violated after: " + path);
  }
}

/** What has really happened to an attempt at the backend server. */
enum class server_truth
{
  waiting, ///< The request has arrived and may start.
  running, ///< The server has started it.
  refused, ///< The server's node refused it; it never starts.
};

/** One attempt as the servers see it. */
struct attempt_truth
{
  server_truth state = server_truth::waiting;
  bool is_reported = false; ///< The caller's proxy got a final message about the attempt.
};

/** A request with the truth about its attempts. */
struct interleaving
{
  exchange_state exchange;
  proxy_state proxy;
  std::vector<attempt_truth> attempts;
  int responses = 0; ///< Final responses to the caller.
  mono_ms now = 0;
  std::string path; ///< Events so far, for reports.
};

/** Walks through all orders of events. */
class interleaving_checker
{
public:
  int states = 0; ///< Number of states that were checked.

  explicit interleaving_checker(request_kind kind)
    : kind_(kind)
  {
    route_document document;
    document.version = 1;
    document.rules.push_back(
      { "rule", "h", "/", kind, 300, 1, 800, ATTEMPTS_MAX, { { "shop", 1 } } });
    table_ = std::make_shared<const route_table>(std::move(document));
  }

  void run(int depth)
  {
    interleaving start;
    auto view = std::make_shared<peer_view>();
    for (const node_id id : { "a", "b", "c", "d" }) {
      node_beacon node;
      node.id = id;
      node.boot_id = 1;
      node.zone = id == "d" ? "z2" : "z1";
      node.server = { id == "a" ? "other" : "shop", "i-" + id, 4, server_state::ready };
      view->emplace(id, node);
    }
    start.proxy.self = view->at("a");
    set_peer_view(start.proxy, view);
    start.proxy.limits = { 1, 1000, 10'000 };
    start.exchange.head = { "GET", "/x", { { "Host", "h" } } };
    start.exchange.table = table_;
    raise(start, exchange_started{}, "start");
    explore(start, depth);
  }

private:
  static constexpr std::int64_t ATTEMPTS_MAX = 3;

  /** Raises an event and checks what must hold afterwards. */
  void raise(interleaving& at, const exchange_event& event, const std::string& name)
  {
    at.path += name + " ";
    at.now += 5;
    for (const exchange_effect& effect :
         handle_exchange_event(at.exchange, event, at.proxy, at.now)) {
      std::visit(overloaded{ [&](const send_attempt& item) {
                              check(item.attempt == at.attempts.size(), at.path);
                              check(at.responses == 0, at.path);
                              check_new_attempt(at);
                              at.attempts.emplace_back();
                            },
                             [&](const cancel_exchange_attempt& item) {
                               // The cancellation may arrive before or after the start.
                               at.attempts.at(item.attempt).is_reported = true;
                             },
                             [&](const send_response&) { ++at.responses; },
                             [&](const send_error_response& item) {
                               ++at.responses;
                               check_error(at, item.status);
                             },
                             [](const exchange_log&) {} },
                 effect);
    }
    check(at.responses <= 1, at.path);
    ++states;
  }

  /** A request that may run at most once must have no other attempt that ran or may yet run. */
  void check_new_attempt(const interleaving& at) const
  {
    std::size_t started = 0;
    for (const attempt_truth& attempt : at.attempts) {
      started += attempt.state == server_truth::refused ? 0 : 1;
    }
    if (kind_ == request_kind::at_most_once) {
      check(started == 0U, at.path);
    }
    check(started < static_cast<std::size_t>(ATTEMPTS_MAX), at.path);
  }

  /** A status that promises that the request has not run must be true for ever. */
  static void check_error(const interleaving& at, unsigned status)
  {
    const bool promises_not_run = status == 503 || status == 429 || status == 408 || status == 421;
    for (const attempt_truth& attempt : at.attempts) {
      check(!promises_not_run || attempt.state == server_truth::refused, at.path);
    }
  }

  void explore(const interleaving& from, int depth)
  {
    if (depth == 0) {
      return;
    }
    for (std::size_t i = 0; i < from.attempts.size(); ++i) {
      explore_attempt(from, i, depth);
    }
    if (from.responses == 0) {
      step(from, depth, exchange_expired{}, "expire", [](interleaving&) {});
      step(from, depth, exchange_abandoned{}, "abandon", [](interleaving&) {});
    }
  }

  /** Explores all that can happen next to one attempt. */
  void explore_attempt(const interleaving& from, std::size_t i, int depth)
  {
    const attempt_truth& attempt = from.attempts[i];
    const std::string name = std::to_string(i);
    const auto mark = [i](server_truth state) {
      return [i, state](interleaving& at) {
        at.attempts[i].state = state;
        at.attempts[i].is_reported = true;
      };
    };
    // A server can start a waiting request even if its caller's proxy has given it up.
    if (attempt.state == server_truth::waiting) {
      interleaving next = from;
      next.attempts[i].state = server_truth::running;
      next.path += "run" + name + " ";
      explore(next, depth - 1);
    }
    if (attempt.is_reported) {
      // A late or repeated message about an attempt must change nothing.
      step(
        from, depth, attempt_responded{ i, { 200, {} }, "x", {}, 1, 1 }, "late" + name, [](auto&) {
        });
      return;
    }
    const attempt_failed lost{ i, failure_reason::link_lost, outcome::unknown, 0, {}, 0 };
    if (attempt.state == server_truth::running) {
      const auto running = mark(server_truth::running);
      step(from, depth, attempt_responded{ i, { 200, {} }, "x", {}, 1, 1 }, "ok" + name, running);
      step(from, depth, attempt_responded{ i, { 500, {} }, "", {}, 1, 1 }, "error" + name, running);
      step(from, depth, lost, "lost" + name, running);
    }
    if (attempt.state == server_truth::waiting) {
      step(from, depth, lost, "cut" + name, mark(server_truth::waiting));
      for (const failure_reason reason : { failure_reason::queue_full,
                                           failure_reason::draining,
                                           failure_reason::shed,
                                           failure_reason::unreachable,
                                           failure_reason::no_server,
                                           failure_reason::too_late }) {
        step(from,
             depth,
             attempt_failed{ i, reason, outcome::not_run, 50, {}, 1 },
             std::string(enum_name(reason)) + name,
             mark(server_truth::refused));
      }
    }
  }

  /** Takes one step with an event and explores what follows. `before` updates the truth. */
  template<typename F>
  void step(const interleaving& from,
            int depth,
            const exchange_event& event,
            const std::string& name,
            F&& before)
  {
    interleaving next = from;
    before(next);
    raise(next, event, name);
    explore(next, depth - 1);
  }

  request_kind kind_;
  route_table_ptr table_;
};

/** The slot queue with what was decided about each request. */
struct slot_interleaving
{
  slot_queue queue;
  std::map<slot_ticket, char> state; ///< `w` waits, `r` runs, `x` is over.
  mono_ms now = 0;
  std::string path; ///< Events so far, for reports.
};

/** Raises an event at a slot queue and checks what must hold afterwards. */
static void
raise_slot(slot_interleaving& at, const slot_event& event, std::size_t slots, mono_ms deadline)
{
  for (const slot_effect& effect : at.queue.handle(event, at.now)) {
    std::visit(overloaded{ [&](const slot_start& item) {
                            check(at.state[item.id] == 'w', at.path);
                            check(at.now < deadline, at.path);
                            at.state[item.id] = 'r';
                          },
                           [&](const slot_refuse& item) {
                             check(at.state[item.id] == 'w', at.path);
                             at.state[item.id] = 'x';
                           } },
               effect);
  }
  const auto running = std::count_if(
    at.state.begin(), at.state.end(), [](const auto& item) { return item.second == 'r'; });
  const auto waiting = std::count_if(
    at.state.begin(), at.state.end(), [](const auto& item) { return item.second == 'w'; });
  check(static_cast<std::size_t>(running) <= slots, at.path);
  check(at.queue.report().running == static_cast<std::uint32_t>(running), at.path);
  check(at.queue.report().waiting == static_cast<std::uint32_t>(waiting), at.path);
}

/** Explores all orders of events at a queue with one slot. Returns the number of states. */
static int
explore_slots(const slot_interleaving& from, int depth)
{
  static constexpr mono_ms DEADLINE = 200;
  static constexpr mono_ms STEP = 60;
  if (depth == 0) {
    return 1;
  }
  int states = 1;
  const auto step = [&](const slot_event& event, const std::string& name, auto&& before) {
    slot_interleaving next = from;
    next.path += name + " ";
    before(next);
    raise_slot(next, event, 1, DEADLINE);
    states += explore_slots(next, depth - 1);
  };
  const slot_ticket added = from.state.size() + 1;
  if (added <= 3) {
    step(slot_arrival{ added, "work", 1, 150, DEADLINE, 0, {} },
         "+" + std::to_string(added),
         [&](auto& at) { at.state[added] = 'w'; });
  }
  for (const auto& [id, state] : from.state) {
    const auto end = [id = id](auto& at) { at.state[id] = 'x'; };
    if (state == 'r') {
      step(slot_finished{ id, true }, "finish" + std::to_string(id), end);
      step(slot_timed_out{ id }, "expire" + std::to_string(id), end);
    }
    if (state != 'x') {
      step(slot_cancelled{ id }, "cancel" + std::to_string(id), end);
    } else {
      step(slot_finished{ id, true }, "late" + std::to_string(id), [](auto&) {});
    }
  }
  step(slot_tick{}, "tick", [](auto& at) { at.now += STEP; });
  return states;
}

BOOST_AUTO_TEST_SUITE(interleavings)

BOOST_AUTO_TEST_CASE(request_runs_at_most_once_in_any_order_of_events)
{
  interleaving_checker checker(request_kind::at_most_once);
  checker.run(7);
  BOOST_TEST(checker.states > 10'000);
}

BOOST_AUTO_TEST_CASE(idempotent_request_is_answered_once_and_reported_truly_in_any_order_of_events)
{
  interleaving_checker checker(request_kind::idempotent);
  checker.run(6);
  BOOST_TEST(checker.states > 10'000);
}

BOOST_AUTO_TEST_CASE(slot_is_given_to_each_request_at_most_once_in_any_order_of_events)
{
  slot_interleaving start;
  start.queue.handle(slot_server_changed{ 1, true, true }, 0);
  BOOST_TEST(explore_slots(start, 7) > 10'000);
}

BOOST_AUTO_TEST_SUITE_END()
