// Implements the control state of the quotas at one proxy.
#include "quota_control.h"

#include <algorithm>
#include <cmath>

namespace shallotfield {

/** Interval at which the ledgers and the number of proxies are derived from the peers. */
static constexpr mono_ms FLEET_UPDATE_INTERVAL_MS = 500;

/** Shortest interval of the reports of a proxy to the ledgers of its zone. */
static constexpr mono_ms REPORT_INTERVAL_MIN_MS = 100;

/** The interval is at least this value times the number of proxies of the zone, so that a ledger
 * receives at most 250 reports a second. */
static constexpr mono_ms REPORT_INTERVAL_MS_PER_PEER = 4;

/** Interval of the reports of a proxy whose use has not changed, and of the answers while no limit
 * changes. */
static constexpr mono_ms KEEPALIVE_INTERVAL_MS = 300;

/** A limit that has changed by this part is sent to the proxies of the zone at once. */
static constexpr double LIMIT_CHANGE_RATIO = 0.15;

/** Interval of the lines about limited accounts, and their number. */
static constexpr mono_ms LINES_INTERVAL_MS = 10'000;
static constexpr std::size_t LINES_MAX = 20;

void
quota_control::set_quotas(const std::vector<account_quota>& quotas)
{
  has_quotas_ = !quotas.empty();
  ledger_.set_quotas(quotas, tolerance_);
}

std::vector<quota_effect>
quota_control::advance(const peer_table& peers,
                       const node_beacon& self,
                       bool is_fleet_known,
                       mono_ms now)
{
  std::vector<quota_effect> effects;
  if (!has_quotas_) {
    return effects;
  }
  is_fleet_known_ = is_fleet_known;
  if (now >= next_fleet_update_at_) {
    next_fleet_update_at_ = now + FLEET_UPDATE_INTERVAL_MS;
    fleet_.update(peers, self, now);
    if (now >= limits_.valid_until()) {
      // Own shares depend on the number of proxies, of which no answer tells.
      effects.emplace_back(publish_quota_limits{
        limits_.build(is_fleet_known ? fleet_.known_proxies() : 0, tolerance_) });
    }
  }
  meter_.advance(now);
  if (now >= next_report_at_) {
    send_report(effects, now);
  }
  if (fleet_.is_ledger(zone_, self_)) {
    advance_ledger(effects, now);
  }
  return effects;
}

void
quota_control::send_report(std::vector<quota_effect>& effects, mono_ms now)
{
  const auto peers = static_cast<mono_ms>(fleet_.zone_peers().size());
  std::vector<account_usage> usage = node_filter_.select(meter_.usage(), now);
  next_report_at_ =
    now + (usage.empty() ? KEEPALIVE_INTERVAL_MS
                         : std::max(REPORT_INTERVAL_MIN_MS, peers * REPORT_INTERVAL_MS_PER_PEER));
  std::vector<node_id> targets = fleet_.ledgers_of(zone_);
  std::erase(targets, self_);
  if (!targets.empty()) {
    effects.emplace_back(send_quota_message{
      std::move(targets),
      quota_report{ quota_scope::node, self_, zone_, now, 1, std::move(usage) } });
  }
}

void
quota_control::advance_ledger(std::vector<quota_effect>& effects, mono_ms now)
{
  ledger_.set_own_usage(self_, meter_.usage(), now);
  ledger_.advance(fleet_.known_proxies(), now);
  if (ledger_.is_settled(now)) {
    report_zone(effects, now);
    send_answers(effects, now);
    log_limited(effects, now);
  }
}

void
quota_control::report_zone(std::vector<quota_effect>& effects, mono_ms now)
{
  std::vector<account_usage> usage = zone_filter_.select(ledger_.zone_usage(now), now);
  if (usage.empty() && now < next_zone_report_at_) {
    return;
  }
  next_zone_report_at_ = now + KEEPALIVE_INTERVAL_MS;
  std::vector<node_id> targets;
  for (const auto& [zone, ledgers] : fleet_.ledgers()) {
    if (zone != zone_) {
      targets.insert(targets.end(), ledgers.begin(), ledgers.end());
    }
  }
  if (!targets.empty()) {
    effects.emplace_back(send_quota_message{
      std::move(targets),
      quota_report{
        quota_scope::zone, self_, zone_, now, ledger_.zone_proxies(now), std::move(usage) } });
  }
}

/** Returns whether some limit has changed enough to be sent at once. Both lists ascend by digest.
 */
static bool
has_changed(const std::vector<account_limit>& before, const std::vector<account_limit>& after)
{
  const auto is_similar = [](const account_limit& a, const account_limit& b) {
    return a.account == b.account && std::abs(a.admitted_fraction - b.admitted_fraction) <=
                                       LIMIT_CHANGE_RATIO * a.admitted_fraction;
  };
  return !std::equal(before.begin(), before.end(), after.begin(), after.end(), is_similar);
}

void
quota_control::send_answers(std::vector<quota_effect>& effects, mono_ms now)
{
  const std::vector<account_limit> limits = ledger_.limits();
  apply_answer(effects, { now, 0, UINT64_MAX, limits }, now);
  const bool is_due = now >= next_answer_at_ || has_changed(answered_, limits);
  if (is_due) {
    next_answer_at_ = now + KEEPALIVE_INTERVAL_MS;
    answered_ = limits;
    answered_peers_.clear();
  }
  for (const node_id& peer : fleet_.zone_peers()) {
    // A proxy that has just started is answered at once, since it has no limits yet.
    const std::optional<mono_ms> sent_at = ledger_.latest_report_of(peer, now);
    if (sent_at && answered_peers_.insert(peer).second) {
      effects.emplace_back(
        send_quota_message{ { peer }, quota_answer{ *sent_at, 0, UINT64_MAX, limits } });
    }
  }
}

void
quota_control::log_limited(std::vector<quota_effect>& effects, mono_ms now)
{
  if (now < next_lines_at_) {
    return;
  }
  next_lines_at_ = now + LINES_INTERVAL_MS;
  std::set<account_digest> limited;
  std::size_t lines = 0;
  for (const auto& [account, item] : ledger_.accounts()) {
    const bool is_limited = item.admitted_fraction < 1;
    if (is_limited) {
      limited.insert(account);
    }
    if ((is_limited || logged_.contains(account)) && lines < LINES_MAX) {
      ++lines;
      effects.emplace_back(log_limited_account{ item });
    }
  }
  logged_ = std::move(limited);
}

void
quota_control::apply_answer(std::vector<quota_effect>& effects,
                            const quota_answer& answer,
                            mono_ms now)
{
  if (limits_.apply(answer, now)) {
    effects.emplace_back(publish_quota_limits{
      limits_.build(is_fleet_known_ ? fleet_.known_proxies() : 0, tolerance_) });
  }
}

std::vector<quota_effect>
quota_control::handle(const quota_message& message, const node_beacon& sender, mono_ms now)
{
  std::vector<quota_effect> effects;
  const auto* report = std::get_if<quota_report>(&message);
  const bool is_forged = report != nullptr
                           ? report->node != sender.id || report->zone != sender.zone
                           : sender.zone != zone_; // Limits come from the own zone only.
  if (is_forged) {
    effects.emplace_back(reject_quota_message{});
  } else if (report != nullptr) {
    ledger_.handle_report(*report, now);
  } else {
    apply_answer(effects, std::get<quota_answer>(message), now);
  }
  return effects;
}

} // namespace shallotfield
