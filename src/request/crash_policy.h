// Finds requests that crash the backend servers which run them, and decides when such a request is
// rejected. The proxy beside a server sees which requests were at work when it crashed; all proxies
// count the crashes of each request, and reject one that was at work at several. Most requests that
// were at work at a crash are innocent. They are acquitted as soon as a server completes one of
// them, and a request that servers have completed a short time ago is not suspected at all. A
// request that is rejected gets out by a trial: one server of the fleet runs it.
#pragma once
#include "route_policy.h"
#include "slot_policy.h"

#include <array>
#include <deque>
#include <optional>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

namespace shallotfield {

/** Number of crashes from which on a request is rejected. */
inline constexpr std::size_t REJECTED_FROM_CRASHES = 3;

/** Number of failed trials, or of late crashes, after which a request is not tried again until it
 * is forgotten. */
inline constexpr std::size_t FAILED_TRIALS_MAX = 3;

/** What identifies a request that comes again, at any proxy and with another request id: all that
 * decides which work a server does. */
struct request_identity
{
  std::string_view method;
  std::string_view host;   ///< Value of the Host header, with or without a port.
  std::string_view target; ///< Path and query.
  std::string_view body;
  std::string_view caller_service; ///< Service on the VM of the caller.
  std::string_view service;        ///< Service that the request was routed to.
};

/**
 * The digests of a request. Whether its caller and its service matter is unknown, so each request
 * is followed both with and without them: a request that crashes servers whoever sends it, and
 * wherever a new configuration routes it to, is found although these differ, and one that does so
 * for one caller is found although others are served.
 */
struct request_digests
{
  request_digest any_caller; ///< Of the request without its caller and service.
  request_digest exact;      ///< Of the request with both.
};

/** Returns the digests of a request. */
request_digests
digest_request(const request_identity& request);

/** Returns the number of crashes that speak against a request, by the digest with more of them. */
std::size_t
count_crashes(const crash_view& suspects, const request_digests& request);

/** Decision: the request may run anywhere. */
struct suspect_may_run
{};

/** Decision: the request may run at the server of its next trial, and nowhere else. */
struct suspect_trial_due
{
  request_digest request;         ///< The digest that is suspected.
  std::uint64_t latest_trial = 0; ///< Id of the trial before; see choose_trial_server().
};

/** Decision: the request is rejected. */
struct suspect_rejected
{
  std::int64_t retry_after_ms = 0; ///< Time until it may be tried again.
};

using suspect_decision = std::variant<suspect_may_run, suspect_trial_due, suspect_rejected>;

/** Decides whether a request may run, by what is known of its crashes and trials. */
suspect_decision
decide_suspect(const crash_view& suspects, const request_digests& request, mono_ms now);

/** Returns how long a request is still rejected, in ms; 0 if it may run or be tried. */
std::int64_t
rejection_ms(const crash_view& suspects, const request_digests& request, mono_ms now);

/** Returns whether a request that got no response may be sent to another server. If its server has
 * crashed, the retry could crash one more than is needed to find the request. */
bool
may_retry_suspect(const crash_view& suspects, const request_digests& request);

// Events at the proxy beside a server.

/** Event: a request waits to be sent to the server. Raised when it arrives, and again while it
 * waits when the suspects have changed. */
struct request_queued
{
  request_identity request;
  slot_ticket ticket = 0;
  bool is_trial_server = false; ///< The server was chosen for the next trial of the request.
};

/** Event: a request is sent to the server. */
struct request_sent
{
  slot_ticket ticket = 0;
};

/** Event: the server answered a request. */
struct request_survived
{
  request_identity request;
  slot_ticket ticket = 0;
  mono_ms started_at = 0;    ///< When it was sent to the server; 0 if unknown.
  bool has_succeeded = true; ///< False if the server failed. A server may fail before the part of
                             ///< the work at which it would crash.
};

/** Event: the connection ended while a request was at work. */
struct request_lost
{
  request_identity request;
  slot_ticket ticket = 0;
  mono_ms started_at = 0; ///< When it was sent to the server; 0 if unknown.
};

/** Event: the proxy closed the connection of a request at work, since nobody waits for it. */
struct request_abandoned
{
  request_identity request;
  slot_ticket ticket = 0;
  mono_ms started_at = 0; ///< When it was sent to the server; 0 if unknown.
};

/** Event: a request left and showed nothing about the server, since it did not run or got an
 * invalid response. */
struct request_inconclusive
{
  slot_ticket ticket = 0;
};

/** Event: a request could not be sent, because the connection was not established. */
struct connection_failed
{};

/** Event: nothing listens on the server's port. */
struct server_port_closed
{};

/** Event: the server no longer announces itself. */
struct server_silent
{};

/** Event: the server takes work, which it did not do before. */
struct server_started
{
  bool is_new_incarnation = false; ///< It is another process than the one known before.
};

/** Event: the server announced that it leaves, so that its end will not be a crash. */
struct server_leaving
{};

using crash_event = std::variant<request_queued,
                                 request_sent,
                                 request_survived,
                                 request_lost,
                                 request_abandoned,
                                 request_inconclusive,
                                 connection_failed,
                                 server_port_closed,
                                 server_silent,
                                 server_started,
                                 server_leaving>;

// Effects.

/** Effect: find out after a short time whether the server's port is closed. */
struct probe_server_port
{};

/** Effect: refuse a request that waits. */
struct reject_suspect
{
  slot_ticket ticket = 0;
  std::int64_t retry_after_ms = 0;
};

/** Effect: tell all proxies that a trial began or ended. */
struct report_trial
{
  request_digest request;
  std::uint64_t trial = 0; ///< Id of the trial.
  mono_ms began_at = 0;
  bool has_ended = false; ///< It ended and told nothing.
};

/** What shows that a server crashed. */
enum class crash_proof
{
  lost_suspect,    ///< A request that is suspected already was lost. This may be withdrawn.
  port_closed,     ///< Nothing listens on its port.
  silence,         ///< Its announcements have ceased.
  new_incarnation, ///< Another process announces itself in its place.
};

inline constexpr enum_table<crash_proof, 4> CRASH_PROOF_ROWS = { {
  { crash_proof::lost_suspect, "lost_suspect" },
  { crash_proof::port_closed, "port_closed" },
  { crash_proof::silence, "silence" },
  { crash_proof::new_incarnation, "new_incarnation" },
} };
static_assert(is_complete(CRASH_PROOF_ROWS, crash_proof::new_incarnation));

/** Returns the name table of proofs of a crash. */
constexpr const auto&
enum_rows(crash_proof)
{
  return CRASH_PROOF_ROWS;
}

/** A request that is suspected after a crash. */
struct crash_suspicion
{
  request_digest request;
  bool is_on_trial = false;
  std::int64_t at_work_ms = 0; ///< Time from its start to the end of its connection.
  mono_ms lost_at = 0;         ///< When its connection ended.
};

/** Effect: tell all proxies that the server crashed, and which requests were at work. */
struct report_crash
{
  std::uint64_t crash = 0; ///< Id of the crash.
  crash_proof proof = crash_proof::port_closed;
  std::vector<crash_suspicion> requests;
  std::size_t cleared = 0; ///< Number of digests that are not suspected, since the server had
                           ///< completed the request a short time before.
};

/** Effect: tell all proxies that a suspected request was completed. */
struct acquit_request
{
  request_digest request;
};

/** Effect: tell all proxies that a lost request was not at work at a crash, since the server has
 * run on. */
struct withdraw_crash
{
  request_digest request;
  std::uint64_t crash = 0; ///< Id under which the loss was reported.
  mono_ms lost_at = 0;
};

using crash_effect = std::variant<probe_server_port,
                                  reject_suspect,
                                  report_trial,
                                  report_crash,
                                  acquit_request,
                                  withdraw_crash>;

/** Returns the records that tell other proxies of a crash. */
std::vector<crash_record>
make_crash_records(const report_crash& report);

/** Returns the record that tells other proxies of a trial. */
crash_record
make_trial_record(const report_trial& report);

/** Returns the record that tells other proxies that a crash is withdrawn. */
crash_record
make_withdrawal_record(const withdraw_crash& withdrawal);

/** Remembers for a short time which requests were completed, in a table of fixed size in which a
 * request replaces another one. A popular request is soon recorded again. */
class survival_memory
{
public:
  void record(std::uint64_t key, mono_ms now);

  /** Returns whether a request was completed within the time for which that clears it. */
  bool has_survived(std::uint64_t key, mono_ms now) const;

  void forget(std::uint64_t key);

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
 * Decides at the proxy beside a server which requests may run there, and which were at work when
 * the server crashed. A lost connection alone is no crash: servers also close connections when they
 * are full, or lose single responses. The server has crashed if its port is closed, its
 * announcements cease or a new incarnation announces itself, it had not announced that it leaves,
 * and nothing shows that it has run since the connection was lost.
 */
class crash_detector
{
public:
  /** `random` draws the ids of crashes and trials. */
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
  struct lost_request
  {
    request_digests digests;
    std::uint64_t any_caller_key = 0; ///< Key of any_caller in survivals_.
    std::uint64_t exact_key = 0;      ///< Key of exact in survivals_.
    std::int64_t at_work_ms = 0;      ///< Time from its start to the end of its connection.
    bool is_on_trial = false;
    bool is_reported = false; ///< The loss was reported, as the request was suspected before.
    mono_ms lost_at = 0;
    mono_ms until = 0; ///< Until when a crash is ascribed to it, even if the server ran since.
  };

  /** The trial at this server. */
  struct trial
  {
    slot_ticket ticket = 0;
    request_digest request;
    mono_ms queued_at = 0;
    std::uint64_t id = 0; ///< 0 until the request is sent to the server.
    mono_ms began_at = 0; ///< When it was sent.
  };

  void on(const request_queued& event, const crash_view& suspects, mono_ms now);
  void on(const request_survived& event, const crash_view& suspects, mono_ms now);
  /** Adds a request that was at work when its connection ended. */
  void add_lost(const request_lost& event, mono_ms suspected_ms, mono_ms now);
  /** Reports the request that was added last if it is suspected already. */
  void report_loss(const crash_view& suspects, mono_ms now);
  /** Withdraws the reported losses before `alive_at`, when the server ran. */
  void withdraw_losses(mono_ms alive_at);
  /** Tells that the trial ended and told nothing. */
  void end_trial();
  /** Reports a crash of the server. */
  void report(crash_proof proof, mono_ms now);
  /** The server runs again. */
  void end_crash();
  std::uint64_t draw_id();

  random_source random_;              ///< Random number generator.
  survival_memory survivals_;         ///< Requests that the server has completed.
  std::deque<lost_request> lost_;     ///< Oldest first.
  std::optional<trial> trial_;        ///< The request on trial, until its end is known.
  mono_ms last_alive_at_ = 0;         ///< Start of the latest request that the server answered.
  std::uint64_t crash_ = 0;           ///< Id of the latest crash; 0 once the server runs again.
  std::uint64_t loss_ = 0;            ///< Id of reported losses that may be a crash; 0: none.
  std::set<std::uint64_t> cleared_;   ///< Keys of the requests that were cleared of that crash.
  bool is_leaving_ = false;           ///< The server announced that it leaves.
  std::vector<crash_effect> effects_; ///< Effects of the event that is being handled.
};

// Events of trial_review.

/** Event: the local server crashed with a request on trial. */
struct trial_crashed
{
  std::vector<crash_record> records; ///< Those of the request on trial.
};

/** Event: a server of the service has another process than before, and the former one had not
 * announced that it leaves. */
struct server_replaced
{
  node_id node;          ///< Node of the server.
  bool is_local = false; ///< It is the local server.
};

/** Event: time has passed. */
struct review_tick
{
  std::size_t other_servers = 0; ///< Number of other servers of the service.
};

using review_event = std::variant<trial_crashed, server_replaced, review_tick>;

/**
 * Decides whether the crash of the local server at a trial was one of many at the same time, which
 * then have another reason. An idle server that crashes is noticed only when it is back, so the
 * times at which the servers are back are compared.
 */
class trial_review
{
public:
  /** Handles an event. Returns the records that no longer speak against a request on trial. */
  std::vector<crash_record> handle(const review_event& event, mono_ms now);

private:
  std::vector<crash_record> records_;      ///< Of the latest crash at a trial.
  mono_ms back_at_ = 0;                    ///< When the local server was back; 0: not yet.
  std::map<node_id, mono_ms> replaced_at_; ///< When other servers were last back.
};

} // namespace shallotfield
