// Decides which part a server has in the roll-out of its service, which requests go to the target
// version, and how many of them the proxy beside such a server lets through.
#pragma once
#include "process/process.h"
#include "route_policy.h"

#include <optional>

namespace shallotfield {

/** The part of a server in the roll-out of its service. */
enum class rollout_part
{
  established, ///< It gets the requests that don't go to the target version.
  target,      ///< It gets the share of the target version.
  excluded,    ///< It gets no request.
};

inline constexpr enum_table<rollout_part, 3> ROLLOUT_PART_ROWS = { {
  { rollout_part::established, "established" },
  { rollout_part::target, "target" },
  { rollout_part::excluded, "excluded" },
} };
static_assert(is_complete(ROLLOUT_PART_ROWS, rollout_part::excluded));

/** Returns the name table of parts. */
constexpr const auto&
enum_rows(rollout_part)
{
  return ROLLOUT_PART_ROWS;
}

/** Returns the part of the server of a node. `rollout` is the roll-out of its service, or nullptr.
 */
rollout_part
part_of_server(const rollout_record* rollout,
               const node_id& node,
               const server_status& server,
               mono_ms now);

/** Returns the part of a server as callers' proxies see it. Of the canaries, only the first one in
 * order of preference gets requests, so that it is busy; the others may still have some. */
rollout_part
part_for_callers(const rollout_record* rollout, const node_beacon& node, mono_ms now);

/** Finds the roll-out of a service. Returns nullptr if there is none. */
const rollout_record*
find_rollout(const rollout_view& rollouts, const service_id& service);

/** Draws whether a request goes to the target version. */
bool
draw_target(const rollout_record& rollout, random_source& random);

/** Load of the local server, as far as a gate looks at it. */
struct gate_load
{
  std::uint32_t active = 0; ///< Requests that run or wait.
  std::uint32_t slots = 0;  ///< Requests that the server processes concurrently.
};

/**
 * The gate in front of the local server. Each request reaches a server through the proxy beside it
 * only, so the gate limits what a version gets whatever the callers' proxies have heard. It also
 * counts how the server answers.
 */
class rollout_gate
{
public:
  explicit rollout_gate(node_id self)
    : self_(std::move(self))
  {
  }

  /** Replaces what is known of the roll-outs. */
  void set_rollouts(rollout_view_ptr rollouts, mono_ms now);

  /** Replaces the status of the local server. */
  void set_server(const server_status& server, mono_ms now);

  /** Decides whether a request may go to the server, and counts it against the limit. */
  bool try_admit(const gate_load& load, mono_ms now);

  /** Counts a request that is sent to the server. */
  void record_sent() { evidence_.taken += evidence_.order != 0 ? 1 : 0; }

  /** Counts an answer of the server to a request of a rule. `is_failure`: it is an error, or its
   * bytes are wrong. */
  void record_answer(std::string_view rule, bool is_failure);

  /** Returns what was counted since the order became known. */
  const rollout_evidence& evidence() const { return evidence_; }

private:
  void update(mono_ms now);
  /** Counts an answer for its rule. */
  void record_rule(std::string_view rule, bool is_failure);
  /** Reports the rules on which the server fails most often; of equal ones, those that it answered
   * last. */
  void report_rules();
  /** Takes one request from the rate that the decider allows. */
  bool try_take_token(const rollout_record& rollout, mono_ms now);

  node_id self_;
  rollout_view_ptr rollouts_ = std::make_shared<const rollout_view>();
  server_status server_;
  rollout_evidence evidence_;
  std::vector<rule_evidence> rules_; ///< Counts by rule; the one that was answered last first.
  std::string counted_instance_;     ///< Server to which the evidence belongs.
  double tokens_ = 0;                ///< Requests that may be admitted at once.
  mono_ms refilled_at_ = 0;          ///< When the tokens were last computed.
};

} // namespace shallotfield
