// Implements the part of a request in a roll-out.
#include "rollout_policy.h"

#include <algorithm>

namespace shallotfield {

/** Time without a word of the decider after which servers of the target version take nothing below
 * step full. A decider repeats the record twice a second. */
static constexpr mono_ms PERMISSION_MS = 3000;

/** Time for which servers of other versions get nothing after a roll-out was completed. Their VMs
 * stop within seconds. */
static constexpr mono_ms COMPLETED_EXCLUSION_MS = 15'000;

/** Requests that may come at once after a pause, as a time at the allowed rate. */
static constexpr mono_ms BURST_MS = 300;

/** Failures, and their part of the answers, at which a server of the target version takes nothing
 * more below step full, whatever the decider knows. */
static constexpr std::uint64_t CIRCUIT_BREAKER_FAILURES = 25;
static constexpr std::uint64_t CIRCUIT_BREAKER_DIVISOR = 5;

/** Number of rules that are counted. For a further one, the counts of the rule that was not
 * answered for longest are dropped, first of those without a failure. */
static constexpr std::size_t RULES_MAX = 32;

static constexpr double MS_PER_S = 1000;
static constexpr std::uint32_t PERMILLE = 1000;

rollout_part
part_of_server(const rollout_record* rollout,
               const node_id& node,
               const server_status& server,
               mono_ms now)
{
  if (rollout == nullptr) {
    return rollout_part::established;
  }
  const bool is_target = server.version == rollout->order.target_version;
  if (!is_target && server.standing == server_standing::condemned) {
    return rollout_part::excluded;
  }
  switch (rollout->state) {
    case rollout_state::completed: {
      const bool is_recent = now - rollout->final_at < COMPLETED_EXCLUSION_MS;
      return is_target || !is_recent ? rollout_part::established : rollout_part::excluded;
    }
    case rollout_state::rolled_back: {
      const bool is_open = !is_target || server.standing == server_standing::cleared;
      return is_open ? rollout_part::established : rollout_part::excluded;
    }
    case rollout_state::running:
      break;
  }
  if (!is_target) {
    return rollout->step == rollout_step::full ? rollout_part::excluded : rollout_part::established;
  }
  if (rollout->step == rollout_step::hold) {
    return rollout_part::excluded;
  }
  const bool is_canary =
    std::find(rollout->canaries.begin(), rollout->canaries.end(), node) != rollout->canaries.end();
  return rollout->step > rollout_step::canary || is_canary ? rollout_part::target
                                                           : rollout_part::excluded;
}

rollout_part
part_for_callers(const rollout_record* rollout, const node_beacon& node, mono_ms now)
{
  const rollout_part part = part_of_server(rollout, node.id, node.server, now);
  const bool is_spare = part == rollout_part::target && rollout->step == rollout_step::canary &&
                        rollout->canaries.front() != node.id;
  return is_spare ? rollout_part::excluded : part;
}

const rollout_record*
find_rollout(const rollout_view& rollouts, const service_id& service)
{
  const auto found = rollouts.find(service);
  return found == rollouts.end() ? nullptr : &found->second;
}

bool
draw_target(const rollout_record& rollout, random_source& random)
{
  if (rollout.state != rollout_state::running) {
    return false;
  }
  std::uniform_int_distribution<std::uint32_t> draw(0, PERMILLE - 1);
  return draw(random) < rollout.share_permille;
}

void
rollout_gate::set_rollouts(rollout_view_ptr rollouts, mono_ms now)
{
  rollouts_ = std::move(rollouts);
  update(now);
}

void
rollout_gate::set_server(const server_status& server, mono_ms now)
{
  server_ = server;
  update(now);
}

void
rollout_gate::update(mono_ms now)
{
  const rollout_record* rollout = find_rollout(*rollouts_, server_.service);
  // Nothing is decided by what servers do after the final state.
  const bool is_running = rollout != nullptr && rollout->state == rollout_state::running;
  const std::uint64_t order = is_running ? rollout->order.number : 0;
  if (order != evidence_.order || counted_instance_ != server_.instance) {
    evidence_ = {};
    evidence_.order = order;
    rules_.clear();
    counted_instance_ = server_.instance;
    tokens_ = 0;
    refilled_at_ = now;
  }
  evidence_.step = rollout == nullptr ? rollout_step::hold : rollout->step;
}

bool
rollout_gate::try_admit(const gate_load& load, mono_ms now)
{
  const rollout_record* rollout = find_rollout(*rollouts_, server_.service);
  if (rollout == nullptr) {
    return true;
  }
  // Before its first heartbeat, a server may be of any version.
  if (server_.version.empty() && rollout->state != rollout_state::completed) {
    return false;
  }
  switch (part_of_server(rollout, self_, server_, now)) {
    case rollout_part::established:
      return true;
    case rollout_part::excluded:
      return false;
    case rollout_part::target:
      break;
  }
  if (rollout->step == rollout_step::full) {
    return true;
  }
  const bool is_circuit_open = evidence_.failed >= CIRCUIT_BREAKER_FAILURES &&
                               evidence_.failed * CIRCUIT_BREAKER_DIVISOR >= evidence_.answered;
  const bool is_full = rollout->step == rollout_step::canary && load.active >= load.slots;
  if (now - rollout->heard_at > PERMISSION_MS || is_circuit_open || is_full) {
    return false;
  }
  return try_take_token(*rollout, now);
}

bool
rollout_gate::try_take_token(const rollout_record& rollout, mono_ms now)
{
  const double rate = rollout.server_rate;
  const double most = rate > 0 ? std::max(1.0, rate * BURST_MS / MS_PER_S) : 0;
  tokens_ = std::min(most, tokens_ + rate * static_cast<double>(now - refilled_at_) / MS_PER_S);
  refilled_at_ = now;
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void
rollout_gate::record_answer(std::string_view rule, bool is_failure)
{
  if (evidence_.order != 0) {
    ++evidence_.answered;
    evidence_.failed += is_failure ? 1 : 0;
    record_rule(rule, is_failure);
  }
}

void
rollout_gate::record_rule(std::string_view rule, bool is_failure)
{
  const std::uint32_t id = rule_evidence_id(rule);
  auto item = std::find_if(
    rules_.begin(), rules_.end(), [id](const rule_evidence& known) { return known.rule == id; });
  if (item == rules_.end()) {
    if (rules_.size() == RULES_MAX) {
      const auto faultless =
        std::find_if(rules_.rbegin(), rules_.rend(), [](const rule_evidence& known) {
          return known.failed == 0;
        });
      rules_.erase(faultless == rules_.rend() ? rules_.end() - 1 : std::prev(faultless.base()));
    }
    item = rules_.insert(rules_.begin(), { id, 0, 0 });
  }
  if (item->answered < RULE_COUNT_MAX) {
    ++item->answered;
    item->failed += is_failure ? 1 : 0;
  }
  std::rotate(rules_.begin(), item, item + 1);
  report_rules();
}

void
rollout_gate::report_rules()
{
  auto& reported = evidence_.rules;
  reported = {};
  for (const rule_evidence& known : rules_) {
    const auto fails_less = [&known](const rule_evidence& other) {
      return other.rule == 0 || std::uint64_t{ other.failed } * known.answered <
                                  std::uint64_t{ known.failed } * other.answered;
    };
    const auto place = std::find_if(reported.begin(), reported.end(), fails_less);
    if (known.failed > 0 && place != reported.end()) {
      std::move_backward(place, reported.end() - 1, reported.end());
      *place = known;
    }
  }
}

} // namespace shallotfield
