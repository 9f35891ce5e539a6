// Merges what nodes know about roll-outs.
#include "rollout_type.h"

#include <tuple>

namespace shallotfield {

bool
merge_rollout(rollout_record& known, const rollout_record& news)
{
  const auto rank = [](const rollout_record& item) {
    // A final state that isn't stored yet gives way to one that is.
    const int finality = item.state == rollout_state::running ? 0 : item.is_stored ? 2 : 1;
    return std::tuple(item.order.number, finality, item.step, item.canary_turn);
  };
  const mono_ms began_at = known.order.number == news.order.number
                             ? std::min(known.began_at, news.began_at)
                             : news.began_at;
  const bool is_older = rank(news) == rank(known) && news.heard_at < known.heard_at;
  if (rank(news) < rank(known) || is_older) {
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
