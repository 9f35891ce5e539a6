// Concurrency limit of one backend server, learned from what the server does with requests. It
// handles servers that run fewer requests than they announce, servers that reject every request
// although their health check succeeds, and their recovery. The proxy beside the server owns it, as
// it sees all requests to the server; other proxies learn the limit from its load reports.
#pragma once
#include "connection/connection.h"

#include <set>
#include <variant>

namespace shallotfield {

/** Event: the server was replaced or announced another number of slots. */
struct limit_server_changed
{
  std::uint32_t slots = 0; ///< Number of requests that the server says it runs concurrently.
  bool is_new = false;     ///< Whether another process replaced the server.
};

/** A request that was sent to the server. */
struct limited_request
{
  std::uint32_t concurrency = 0; ///< Requests at the server when this one started, including it.
  bool is_probe = false;         ///< Whether it was sent to find out whether the server takes work.
  mono_ms started_at = 0;        ///< When it was sent.
};

/** Event: the server completed a request. */
struct limit_completed
{
  limited_request request; ///< The request.
};

/** Event: the server stated that it did not run a request. */
struct limit_rejected
{
  limited_request request; ///< The request.
};

/** Event: the deadline of a request passed without a response. Some servers never respond to what
 * they have no capacity for. */
struct limit_timed_out
{
  limited_request request; ///< The request.
};

/** Event: a request ended without telling anything about the capacity of the server, for example
 * because the caller left. */
struct limit_inconclusive
{
  limited_request request; ///< The request.
};

using limit_event = std::variant<limit_server_changed,
                                 limit_completed,
                                 limit_rejected,
                                 limit_timed_out,
                                 limit_inconclusive>;

/** What the limit of a server is based on. */
enum class limit_state
{
  open,    ///< The server takes requests up to its limit.
  closed,  ///< The server rejected all of the latest requests, and gets none for a time.
  probing, ///< One request is at the server to find out whether it takes requests again.
};

inline constexpr enum_table<limit_state, 3> LIMIT_STATE_ROWS = { {
  { limit_state::open, "open" },
  { limit_state::closed, "closed" },
  { limit_state::probing, "probing" },
} };
static_assert(is_complete(LIMIT_STATE_ROWS, limit_state::probing));

/** Returns the name table of limit states. */
constexpr const auto&
enum_rows(limit_state)
{
  return LIMIT_STATE_ROWS;
}

/**
 * Learns how many requests a server runs concurrently.
 *
 * The limit starts at the announced slots. A rejection above the concurrency at which the server
 * recently took requests lowers it by a factor, but not below that concurrency; a run of rejections
 * outdates what was seen before it. Completions at the limit raise it again, slowly at first. If
 * the server takes a later request at the concurrency of a rejected one or above, the rejection had
 * another reason than room. While that happens repeatedly, the limit is the announced slots.
 *
 * A server that takes none of a long run of requests is closed: it gets one request as a probe
 * after a time that doubles with each probe that is rejected. A server that takes a part of its
 * requests stays open, because the rejected ones can be retried, and all servers may reject a part.
 */
class server_limit
{
public:
  /** Handles an event. */
  void handle(const limit_event& event, mono_ms now);

  /** Returns whether a request may be sent to the server now, apart from the concurrency. A closed
   * server takes its probe when that is due. */
  bool admits(mono_ms now) const;

  /** Records that a request is sent to the server, and returns what its events have to hold.
   * `concurrency` includes the request. It becomes the probe if the server is closed. */
  limited_request record_start(std::uint32_t concurrency, mono_ms now);

  /** Returns the number of requests that the server may run concurrently; 0 while it is closed and
   * no probe is due. */
  std::uint32_t limit(mono_ms now) const;

  /** Returns the time until the next probe of a closed server, in ms; 0 if the server takes
   * requests. */
  std::int64_t wait_ms(mono_ms now) const;

  /** Returns what the limit is based on. */
  limit_state state() const { return state_; }

  /** Returns the fraction of the latest requests that the server rejected. */
  double rejection_rate() const { return rejection_rate_; }

private:
  void on(const limit_server_changed& event, mono_ms now);
  void on(const limit_completed& event, mono_ms now);
  void on(const limit_rejected& event, mono_ms now);
  void on(const limit_timed_out& event, mono_ms now);
  void on(const limit_inconclusive& event, mono_ms now);
  /** Returns the largest concurrency at which the server recently took requests. */
  std::uint32_t proven_concurrency(mono_ms now) const;
  /** Returns whether a request that was sent since the run of rejections began is at work. The
   * server takes requests then. */
  bool has_taken_request(mono_ms now) const;
  /** Returns whether the server rejects requests for another reason than its room. */
  bool has_unrelated_rejections() const;
  /** Lowers the limit after a rejection that only the number of requests explains. */
  void lower_limit(const limited_request& request, mono_ms now);
  /** Closes the server until the next probe. */
  void close(mono_ms now);
  /** Records that the server took a request, and opens it if it was closed. */
  void reopen();
  /** Forgets a request that has ended. */
  void record_end(const limited_request& request);

  limit_state state_ = limit_state::open; ///< What the limit is based on.
  std::uint32_t announced_ = 0;           ///< Slots that the server announced.
  double limit_ = 0;                      ///< Current limit; rises by fractions.
  double increase_ = 1;                   ///< Rise of the limit per limit_ completed requests.
  double rejection_rate_ = 0;             ///< Moving average of the fraction of rejected requests.
  std::uint32_t rejection_run_ = 0;       ///< Latest requests, all of which the server rejected.
  mono_ms run_started_at_ = 0;            ///< When the first of them was sent.
  std::uint32_t timeout_run_ = 0; ///< Requests that timed out while the server completed none.
  mono_ms outdated_at_ = 0;       ///< Completed requests sent before then don't show room.
  std::uint32_t rejected_concurrency_ = 0; ///< Lowest concurrency of a rejected request, until a
                                           ///< later request contradicts it; 0: none.
  mono_ms rejected_at_ = 0;                ///< When that request was sent.
  /** Contradicted rejections in this and the previous window. */
  std::uint32_t contradictions_ = 0;
  std::uint32_t former_contradictions_ = 0;
  std::multiset<mono_ms> open_requests_; ///< When the requests at the server were sent.
  mono_ms last_completed_at_ = 0;        ///< When the server last completed a request.
  mono_ms probe_at_ = 0;                 ///< When the next probe is due.
  std::int64_t probe_interval_ms_ = 0;   ///< Time from closing the server to the next probe.
  /** Largest concurrency of completed requests in this and the previous window. */
  std::uint32_t window_proven_ = 0;
  std::uint32_t former_window_proven_ = 0;
  mono_ms window_started_at_ = 0; ///< When this window began.
};

} // namespace shallotfield
