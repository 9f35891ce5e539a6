// Decides how the traffic of a service moves to the servers of another version: the steps, the
// verdict on the version, and what is written to the store. It takes events and returns effects,
// and does no input or output itself.
#pragma once
#include "beacon_type.h"
#include "log_func.h"

#include <deque>
#include <variant>

namespace shallotfield {

/** Limits of the platform on roll-outs. */
struct rollout_limits
{
  double exposure_share = 0.1; ///< Part of a service's requests that a bad version may get.
  double exposure_slack = 50;  ///< Requests that it may get besides.
};

/** Why a version was judged as it was. */
enum class rollout_reason
{
  none,          ///< Nothing speaks against it.
  failures,      ///< It fails more often than the other versions.
  rule_failures, ///< It fails more often than the other versions on a single rule.
  slowness,      ///< It is several times slower than the other versions.
  deadline,      ///< Its time is over and it could not be judged.
  other_writer,  ///< The store holds a final state that another node has written.
  superseded,    ///< A later order replaced it.
};

inline constexpr enum_table<rollout_reason, 7> ROLLOUT_REASON_ROWS = { {
  { rollout_reason::none, "none" },
  { rollout_reason::failures, "failures" },
  { rollout_reason::rule_failures, "rule_failures" },
  { rollout_reason::slowness, "slowness" },
  { rollout_reason::deadline, "deadline" },
  { rollout_reason::other_writer, "other_writer" },
  { rollout_reason::superseded, "superseded" },
} };
static_assert(is_complete(ROLLOUT_REASON_ROWS, rollout_reason::superseded));

/** Returns the name table of reasons, as they appear in log lines. */
constexpr const auto&
enum_rows(rollout_reason)
{
  return ROLLOUT_REASON_ROWS;
}

// Events.

/** An order was read from the store. */
struct rollout_order_read
{
  rollout_order order;
};

/** Another node sent what it knows of a roll-out. Its times are by this node's clock. */
struct rollout_news_received
{
  rollout_record record;
};

/** The status of a service's roll-out was read from the store. */
struct rollout_status_read
{
  service_id service;
  std::optional<rollout_status> status; ///< Nothing: the store holds none.
  std::uint64_t end = 0;                ///< Offset at which the next record would stand.
};

/** A call about the status of a service failed, or its result is unknown. */
struct rollout_status_failed
{
  service_id service;
};

/** A status was written. */
struct rollout_status_written
{
  service_id service;
  std::uint64_t order = 0;
  rollout_state state = rollout_state::running;
};

/** Time passed. */
struct rollout_tick
{
  bool is_decider = false;          ///< This node decides at present.
  std::vector<node_beacon> servers; ///< Live nodes, including this one.
  std::int64_t unix_ms = 0;         ///< Wall-clock time, for the status.
};

using rollout_event = std::variant<rollout_order_read,
                                   rollout_news_received,
                                   rollout_status_read,
                                   rollout_status_failed,
                                   rollout_status_written,
                                   rollout_tick>;

// Effects.

/** The view has changed; pass it on to the traffic thread. */
struct publish_rollouts
{};

/** Send what is known of all roll-outs to all nodes. */
struct announce_rollouts
{
  int repetitions = 0; ///< Number of times, one per tick.
};

/** Read the status of a service from the store. */
struct read_rollout_status
{
  service_id service;
};

/** Write the status of a service, unless the topic has grown beyond the offset `at`. */
struct write_rollout_status
{
  service_id service;
  rollout_status status;
  std::uint64_t at = 0;
};

/** Write a log line. */
struct log_rollout
{
  std::vector<log_field> fields;
};

using rollout_effect = std::variant<publish_rollouts,
                                    announce_rollouts,
                                    read_rollout_status,
                                    write_rollout_status,
                                    log_rollout>;

/** Sums of what the servers of one side of a roll-out did. */
struct rollout_sums
{
  std::uint64_t taken = 0;
  std::uint64_t answered = 0;
  std::uint64_t failed = 0;
};

/**
 * Knows all roll-outs and decides about them while this node is the decider. Two deciders at once
 * do no harm: both only go forward, and of two final states the one that the store accepts first
 * holds.
 */
class rollout_controller
{
public:
  explicit rollout_controller(rollout_limits limits)
    : limits_(limits)
  {
  }

  /** Handles an event. Returns the effects, in the order in which to perform them. */
  std::vector<rollout_effect> handle(const rollout_event& event, mono_ms now);

  /** Returns what is known of all roll-outs. */
  const rollout_view& view() const { return view_; }

private:
  /** Sums at one time. */
  struct sample
  {
    mono_ms at = 0;
    rollout_sums target;
    rollout_sums others;
  };

  /** A process of a server that took part. */
  struct participant
  {
    rollout_evidence evidence;
    rule_reports rules;
    bool is_target = false;
  };

  /** What this node needs to decide about a roll-out, besides its record. */
  struct rollout_progress
  {
    std::uint64_t order = 0;
    std::map<std::pair<node_id, std::string>, participant> participants; ///< By node and instance.
    std::deque<sample> samples;                                          ///< Latest last.
    mono_ms step_since = 0;
    rollout_sums at_step;         ///< Sums of the target version when the step began.
    mono_ms slow_since = 0;       ///< Since when the version has been slow; 0: it is not.
    mono_ms idle_since = 0;       ///< Since when other servers have been idle; 0: they are not.
    mono_ms rotated_at = 0;       ///< When the canaries were last changed.
    bool wants_completed = false; ///< It is complete as soon as the store says so.
    std::optional<rollout_state> stored; ///< State that the store holds for this order.
    bool is_canary_paused = false;       ///< Step canary pauses until its exposure allows more.
    std::int64_t began_unix_ms = 0;      ///< Wall-clock time at which the order was first read.
    bool is_start_corrected = false;     ///< The start of the order was compared with the store's.
    bool is_call_pending = false;        ///< A call to the store is pending.
    mono_ms next_call_at = 0;            ///< Earliest time of the next call.
    mono_ms next_announcement_at = 0;    ///< When the record is next repeated.
  };

  /** The servers of a service as they are now. */
  struct fleet_state
  {
    std::vector<const node_beacon*> targets; ///< Servers of the target version that know the order.
    std::vector<const node_beacon*> others;  ///< All other servers.
    std::uint32_t active = 0;                ///< Requests that run at servers of the service.
    bool are_others_idle = true;             ///< The others know step full and have no request.
  };

  void on(const rollout_order_read& event, mono_ms now);
  void on(const rollout_news_received& event, mono_ms now);
  void on(const rollout_status_read& event, mono_ms now);
  void on(const rollout_status_failed& event, mono_ms now);
  void on(const rollout_status_written& event, mono_ms now);
  void on(const rollout_tick& event, mono_ms now);
  rollout_progress& progress_of(const rollout_record& record, mono_ms now);
  static fleet_state survey(const rollout_record& record, const std::vector<node_beacon>& servers);
  static void collect(rollout_progress& progress,
                      const rollout_record& record,
                      const fleet_state& fleet,
                      mono_ms now);
  /** Returns what speaks against the version. */
  static rollout_reason judge(rollout_progress& progress, const fleet_state& fleet, mono_ms now);
  /** Returns whether the version fails on one rule more often than the other versions do there. */
  static bool is_failing_on_rule(const rollout_progress& progress, const fleet_state& fleet);
  /** Returns whether something may speak against the version, so that it must not go forward. */
  static bool is_suspicious(const rollout_progress& progress);
  void decide(rollout_record& record, const fleet_state& fleet, mono_ms now);
  /** Returns whether the version may get more. */
  bool may_advance(const rollout_record& record,
                   const rollout_progress& progress,
                   const fleet_state& fleet,
                   mono_ms now) const;
  void choose_canaries(rollout_record& record,
                       rollout_progress& progress,
                       const fleet_state& fleet,
                       mono_ms now);
  /** Sets the share of the version and the rate of its servers. */
  void set_share(rollout_record& record, rollout_progress& progress, const fleet_state& fleet);
  void set_step(rollout_record& record, rollout_step step, mono_ms now);
  void roll_back(rollout_record& record, rollout_reason reason, mono_ms now);
  void advance_status(const rollout_record& record, std::int64_t unix_ms, mono_ms now);
  void announce_change();
  void log(const rollout_record& record, rollout_reason reason, mono_ms now);

  rollout_limits limits_;
  rollout_view view_;
  std::map<service_id, rollout_progress> progress_by_service_;
  std::vector<rollout_effect> effects_; ///< Collects the effects of one call of handle().
};

} // namespace shallotfield
