// Roll-outs: an operator orders that the traffic of a service moves to servers of another version.
// These types say what has been ordered and how far the move has got.
#pragma once
#include "member_type.h"

#include <array>

namespace shallotfield {

/** State of a roll-out. The last two are final. */
enum class rollout_state
{
  running,     ///< The version gets a part of the requests and is being judged.
  completed,   ///< All requests go to the version; the servers of other versions may stop.
  rolled_back, ///< The version failed, or could not be judged in time, and gets no request.
};

inline constexpr enum_table<rollout_state, 3> ROLLOUT_STATE_ROWS = { {
  { rollout_state::running, "running" },
  { rollout_state::completed, "completed" },
  { rollout_state::rolled_back, "rolled_back" },
} };
static_assert(is_complete(ROLLOUT_STATE_ROWS, rollout_state::rolled_back));

/** Returns the name table of roll-out states, as they appear in the store and in log lines. */
constexpr const auto&
enum_rows(rollout_state)
{
  return ROLLOUT_STATE_ROWS;
}

/** How much of a service's traffic the version gets while the roll-out is running. Steps only
 * increase, so that two deciders at once do no harm. */
enum class rollout_step
{
  hold,   ///< None, until servers of the version are ready.
  canary, ///< A small share, at a few servers that it keeps busy.
  part,   ///< About a fifth, at all servers of the version.
  most,   ///< About half.
  full,   ///< All. Servers of other versions finish what they have.
};

inline constexpr enum_table<rollout_step, 5> ROLLOUT_STEP_ROWS = { {
  { rollout_step::hold, "hold" },
  { rollout_step::canary, "canary" },
  { rollout_step::part, "part" },
  { rollout_step::most, "most" },
  { rollout_step::full, "full" },
} };
static_assert(is_complete(ROLLOUT_STEP_ROWS, rollout_step::full));

/** Returns the name table of steps, as they appear in log lines. */
constexpr const auto&
enum_rows(rollout_step)
{
  return ROLLOUT_STEP_ROWS;
}

/** Share of the service's requests at each step, in thousandths. At step canary a decider varies
 * it, so that one server is busy at times even in a small service. */
inline constexpr std::array<std::uint32_t, ROLLOUT_STEP_ROWS.size()>
  ROLLOUT_SHARES_PERMILLE = { 0, 50, 200, 500, 1000 };

/** An operator's order. A later order for the same service replaces it. */
struct rollout_order
{
  service_id service;           ///< Service whose traffic is to move.
  std::string target_version;   ///< Version of the servers to which it is to move.
  std::int64_t duration_ms = 0; ///< Time within which the move is to be completed.
  std::uint64_t number = 0;     ///< Number of the order: 1 + offset of its record in the store.
  bool operator==(const rollout_order&) const = default;
};

/** What a node knows about a roll-out. Nodes send it to each other. */
struct rollout_record
{
  rollout_order order;
  mono_ms began_at = 0; ///< When the order was first read, by this node's clock.
  mono_ms heard_at = 0; ///< When the decider last confirmed the record, by this node's clock.
  mono_ms final_at = 0; ///< When the final state was reached; 0: it is running.
  rollout_state state = rollout_state::running;
  bool is_stored = false;                 ///< The final state is in the store, so it can't change.
  rollout_step step = rollout_step::hold; ///< Applies while the roll-out is running.
  std::vector<node_id> canaries;          ///< Nodes whose servers get requests at step canary, in
                                          ///< order of preference.
  std::uint32_t canary_turn = 0;          ///< Number of the latest change of the canaries.
  /** Requests per second that each server of the version may take below step full. */
  std::uint32_t server_rate = 0;
  std::uint32_t share_permille = 0; ///< Share of the service's requests, in thousandths.
};

/** Number of canaries that a record names at most. */
inline constexpr std::size_t CANARIES_MAX = 4;

/** The roll-outs that are known, by service; for the traffic thread and for messages. */
using rollout_view = std::map<service_id, rollout_record>;
using rollout_view_ptr = std::shared_ptr<const rollout_view>;

/** What the store holds as the state of a roll-out. */
struct rollout_status
{
  rollout_state state = rollout_state::running;
  std::string target_version;
  std::uint64_t order = 0; ///< Number of the order; 0: the status doesn't say.
  std::int64_t began_unix_ms =
    0; ///< Wall-clock time at which the order was first read; 0: unknown.
};

/** Why an order was refused. */
enum class rollout_fault
{
  not_json,        ///< The record is not a JSON object.
  bad_service,     ///< The service is missing, or isn't the one that the key names.
  bad_version,     ///< The version is missing, empty or too long.
  bad_duration,    ///< The duration is missing, not a number, or not within the limits.
  unknown_service, ///< The configuration in force has no such service.
};

inline constexpr enum_table<rollout_fault, 5> ROLLOUT_FAULT_ROWS = { {
  { rollout_fault::not_json, "not_json" },
  { rollout_fault::bad_service, "bad_service" },
  { rollout_fault::bad_version, "bad_version" },
  { rollout_fault::bad_duration, "bad_duration" },
  { rollout_fault::unknown_service, "unknown_service" },
} };
static_assert(is_complete(ROLLOUT_FAULT_ROWS, rollout_fault::unknown_service));

/** Returns the name table of order faults. */
constexpr const auto&
enum_rows(rollout_fault)
{
  return ROLLOUT_FAULT_ROWS;
}

/** Merges what is known of a roll-out with what another node says. The order of arrival doesn't
 * matter: later orders go first, then states that are stored, then final ones, then later steps.
 * Returns whether `known` changed. */
bool
merge_rollout(rollout_record& known, const rollout_record& news);

/** What earlier roll-outs of its version mean for a server. */
enum class server_standing
{
  none,      ///< Nothing.
  condemned, ///< Its version was rolled back, and it was started for that roll-out or before.
  cleared,   ///< Its version was rolled back, but it was started by an ordinary release later.
};

inline constexpr enum_table<server_standing, 3> SERVER_STANDING_ROWS = { {
  { server_standing::none, "none" },
  { server_standing::condemned, "condemned" },
  { server_standing::cleared, "cleared" },
} };
static_assert(is_complete(SERVER_STANDING_ROWS, server_standing::cleared));

/** Returns the name table of standings. */
constexpr const auto&
enum_rows(server_standing)
{
  return SERVER_STANDING_ROWS;
}

/** How a server answered the requests of one rule. The counts saturate. */
struct rule_evidence
{
  std::uint32_t rule = 0; ///< Id of the rule, as rule_evidence_id() returns it; 0: unused.
  std::uint32_t answered = 0;
  std::uint32_t failed = 0;
  bool operator==(const rule_evidence&) const = default;
};

/** Number of bits of the id of a rule, and of each count, in the packed form. */
inline constexpr unsigned RULE_ID_BITS = 24;
inline constexpr unsigned RULE_COUNT_BITS = 20;
inline constexpr std::uint32_t RULE_COUNT_MAX = (1U << RULE_COUNT_BITS) - 1;

/** Returns the id of a rule by its name, never 0. Rules with the same id are counted together. */
std::uint32_t
rule_evidence_id(std::string_view rule);

/** Packs the evidence of a rule into a word, so that it is read and sent as a whole. */
std::uint64_t
pack_rule_evidence(const rule_evidence& evidence);

/** Reverses pack_rule_evidence(). */
rule_evidence
unpack_rule_evidence(std::uint64_t packed);

/** Number of rules on which a beacon reports. */
inline constexpr std::size_t REPORTED_RULES = 3;

/** What the proxy beside a server has counted since an order was first known to it. */
struct rollout_evidence
{
  std::uint64_t order = 0;                ///< Number of the order; 0: none is known.
  rollout_step step = rollout_step::hold; ///< Step in force at the proxy.
  std::uint64_t taken = 0;                ///< Requests that were sent to the server.
  std::uint64_t answered = 0;             ///< Requests that it answered, with failures.
  std::uint64_t failed = 0;               ///< Of these, answers with an error or wrong bytes.
  /** Rules on which it failed; those of which it failed the largest part. */
  std::array<rule_evidence, REPORTED_RULES> rules = {};
  bool operator==(const rollout_evidence&) const = default;
};

/** Latest report on each rule of a server, by the id of the rule. */
using rule_reports = std::map<std::uint32_t, rule_evidence>;

/** Number of rules of a server on which reports are kept. They come from the network. */
inline constexpr std::size_t RULE_REPORTS_MAX = 32;

/** Keeps the reports of a server. One on a further rule is ignored once RULE_REPORTS_MAX are known.
 */
void
record_rule_reports(rule_reports& known, const rollout_evidence& evidence);

} // namespace shallotfield
