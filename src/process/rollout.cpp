// Merges what nodes know about roll-outs.
#include "rollout_type.h"

#include <algorithm>
#include <tuple>

namespace shallotfield {

std::uint32_t
rule_evidence_id(std::string_view rule)
{
  // FNV-1a; all builds have to agree on the ids.
  std::uint32_t hash = 2'166'136'261U;
  for (const char letter : rule) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * 16'777'619U;
  }
  const std::uint32_t id = (hash ^ (hash >> RULE_ID_BITS)) & ((1U << RULE_ID_BITS) - 1);
  return id == 0 ? 1 : id;
}

std::uint64_t
pack_rule_evidence(const rule_evidence& evidence)
{
  return (std::uint64_t{ evidence.rule } << (2 * RULE_COUNT_BITS)) |
         (std::uint64_t{ std::min(evidence.answered, RULE_COUNT_MAX) } << RULE_COUNT_BITS) |
         std::min(evidence.failed, RULE_COUNT_MAX);
}

rule_evidence
unpack_rule_evidence(std::uint64_t packed)
{
  return { static_cast<std::uint32_t>(packed >> (2 * RULE_COUNT_BITS)),
           static_cast<std::uint32_t>(packed >> RULE_COUNT_BITS) & RULE_COUNT_MAX,
           static_cast<std::uint32_t>(packed) & RULE_COUNT_MAX };
}

void
record_rule_reports(rule_reports& known, const rollout_evidence& evidence)
{
  for (const rule_evidence& item : evidence.rules) {
    if (item.rule != 0 && (known.size() < RULE_REPORTS_MAX || known.contains(item.rule))) {
      known[item.rule] = item;
    }
  }
}

bool
merge_rollout(rollout_record& known, const rollout_record& news)
{
  const auto rank = [](const rollout_record& item) {
    // A final state that isn't stored yet gives way to one that is.
    const int finality = item.state == rollout_state::running ? 0 : item.is_stored ? 2 : 1;
    return std::tuple(item.order.number, finality, item.step, item.canary_turn);
  };
  const bool is_same_order = known.order.number == news.order.number;
  const mono_ms began_at = is_same_order ? std::min(known.began_at, news.began_at) : news.began_at;
  const bool is_older = rank(news) == rank(known) && news.heard_at < known.heard_at;
  if (rank(news) < rank(known) || is_older) {
    known.began_at = is_same_order ? began_at : known.began_at;
    return false;
  }
  const bool has_changed = rank(news) != rank(known) || known.server_rate != news.server_rate ||
                           known.share_permille != news.share_permille ||
                           known.canaries != news.canaries;
  const mono_ms heard_at = std::max(known.heard_at, news.heard_at);
  if (has_changed) {
    known = news;
  }
  known.began_at = began_at;
  known.heard_at = heard_at;
  return has_changed;
}

} // namespace shallotfield
