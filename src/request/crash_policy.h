// Finds requests that crash the backend servers which run them, and decides when such a request is
// rejected. The proxy beside a server sees which requests were at work when it crashed; all proxies
// count the crashes of each request, and reject one that was at work at several. Most requests that
// were at work at a crash are innocent. They are acquitted as soon as a server completes one of
// them, and a request that servers have completed a short time ago is not suspected at all.
#pragma once
#include "route_policy.h"

#include <array>
#include <deque>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace shallotfield {

/** Number of crashes from which on a request is rejected. */
inline constexpr std::size_t REJECTED_FROM_CRASHES = 3;

/** What identifies a request that comes again, at any proxy and with another request id. */
struct request_identity
{
  std::string_view method;
  std::string_view target; ///< Path and query.
  std::string_view body;
  std::string_view caller_service; ///< Service on the VM of the caller.
};

/**
 * The digests of a request. Whether its caller matters to the servers is unknown, so each request
 * is followed both with and without its caller: a request that crashes servers whoever sends it is
 * found although its callers differ, and one that does so for one caller is found although others
 * are served.
 */
struct request_digests
{
  request_digest any_caller; ///< Of the request without its caller.
  request_digest exact;      ///< Of the request and its caller.
};

/** Returns the digests of a request. */
request_digests
digest_request(const request_identity& request);

/** Returns the number of crashes that speak against a request, by the digest with more of them. */
std::size_t
count_crashes(const crash_view& suspects, const request_digests& request);

/**
 * Returns how long a request is still rejected, in ms; 0 if it may run. After that time one attempt
 * of it is allowed, and another crash makes the time twice as long.
 */
std::int64_t
rejection_ms(const crash_view& suspects, const request_digests& request, mono_ms now);

/** Returns whether a request that got no response may be sent to another server. If its server has
 * crashed, the retry could crash one more than is needed to find the request. */
bool
may_retry_suspect(const crash_view& suspects, const request_digests& request);

// Events at the proxy beside a server.

/** Event: the server completed a request, whatever the status of its response. */
struct request_survived
{
  request_identity request;
};

/** Event: the connection ended while a request was at work. */
struct request_lost
{
  request_identity request;
};

/** Event: the proxy closed the connection of a request at work, since nobody waits for it. */
struct request_abandoned
{
  request_identity request;
};

/** Event: a request could not be sent, because the connection was not established. */
struct connection_failed
{};

/** Event: nothing listens on the server's port. */
struct server_port_closed
{};

/** Event: the server takes work, which it did not do before. */
struct server_started
{
  bool is_new_incarnation = false; ///< It is another process than the one known before.
};

/** Event: the server announced that it leaves, so that its end will not be a crash. */
struct server_leaving
{};

using crash_event = std::variant<request_survived,
                                 request_lost,
                                 request_abandoned,
                                 connection_failed,
                                 server_port_closed,
                                 server_started,
                                 server_leaving>;

// Effects.

/** Effect: find out after a short time whether the server's port is closed. */
struct probe_server_port
{};

/** Effect: tell all proxies that requests were at work when the server crashed. */
struct report_crash
{
  std::uint64_t crash = 0; ///< Id of the crash.
  std::vector<request_digest> requests;
};

/** Effect: tell all proxies that a suspected request was completed. */
struct acquit_request
{
  request_digest request;
};

using crash_effect = std::variant<probe_server_port, report_crash, acquit_request>;

/** Remembers for a short time which requests were completed, in a table of fixed size in which a
 * request replaces another one. A popular request is soon recorded again. */
class survival_memory
{
public:
  void record(std::uint64_t key, mono_ms now);

  /** Returns whether a request was completed within the time for which that clears it. */
  bool has_survived(std::uint64_t key, mono_ms now) const;

private:
  struct slot
  {
    std::uint64_t key = 0;
    mono_ms at = 0;
  };

  static constexpr std::size_t SLOTS = 2048;
  std::vector<slot> slots_ = std::vector<slot>(SLOTS);
};

/**
 * Decides at the proxy beside a server which requests were at work when the server crashed. A lost
 * connection alone is no crash: servers also close connections when they are full, or lose single
 * responses. The server has crashed if its port is closed or a new incarnation announces itself
 * soon afterwards, and it had not announced that it leaves.
 */
class crash_detector
{
public:
  /** `random` draws the ids of crashes. */
  explicit crash_detector(random_source random)
    : random_(random)
  {
  }

  /** Handles an event. `suspects` are the requests that crashes speak against. Returns the effects,
   * in the order in which to perform them. */
  std::vector<crash_effect> handle(const crash_event& event,
                                   const crash_view& suspects,
                                   mono_ms now);

private:
  /** A request that was at work when its connection ended. */
  struct suspect
  {
    request_digests digests;
    std::uint64_t any_caller_key = 0; ///< Key of the request without its caller in survivals_.
    std::uint64_t exact_key = 0;      ///< Key of the request and its caller in survivals_.
    mono_ms until = 0;                ///< Until when a crash would be ascribed to it.
  };

  void add_suspect(const request_identity& request, mono_ms until);
  /** Reports the suspects after the server has crashed. */
  void report(std::vector<crash_effect>& effects, mono_ms now);

  random_source random_;         ///< Random number generator.
  survival_memory survivals_;    ///< Requests that the server has completed.
  std::deque<suspect> suspects_; ///< Oldest first.
  std::uint64_t crash_ = 0; ///< Id of the latest crash; 0 once the server is known to run again.
  bool is_leaving_ = false; ///< The server announced that it leaves.
};

} // namespace shallotfield
