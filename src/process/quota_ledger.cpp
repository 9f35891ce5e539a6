// Implements the ledger of quotas.
#include "quota_ledger.h"

#include <algorithm>
#include <cmath>

namespace shallotfield {

/** Time over which the use at a proxy is averaged. A longer one would hide a surge for too long. */
static constexpr double USAGE_AVERAGE_MS = 200;

/** Below this, an account counts as unused. */
static constexpr double USAGE_MIN_PER_S = 0.05;

/** An account is reported at least at this interval while it is in use, and for some time after. */
static constexpr mono_ms REPORT_REPEAT_MS = 500;

/** Time for which the use of an account holds unless it is reported again. */
static constexpr mono_ms USAGE_VALIDITY_MS = 1600;

/** An account is reported at once if its use has changed by this part, or by this rate. */
static constexpr double REPORT_CHANGE_RATIO = 0.1;
static constexpr double REPORT_CHANGE_PER_S = 0.5;

/** Time over which a level is used up, or repaid. Shorter than the time after which reports and
 * limits take effect, it would make the use oscillate. */
static constexpr double LEVEL_TIME_MS = 1000;

/** Parts of the tolerance that the burst of an account includes. The rest covers the use that is
 * not reported yet, and proxies that keep to their own shares. */
static constexpr double BURST_OVERAGE_PART = 0.1;
static constexpr double BURST_SLACK_PART = 0.5;

/** As long as at most this part of the proxies can't be reached, the whole quota is given out, so
 * that a few proxies that are lost don't lower the quotas. */
static constexpr double UNREACHED_SHARE_MAX = 0.05;

/** Time for which a ledger listens before it answers. Until then it may not know all use. */
static constexpr mono_ms SETTLE_MS = 600;

/** A report that is older than the latest one by more than this was not overtaken in the network:
 * the clock of its sender started anew, since its VM did. */
static constexpr mono_ms OVERTAKEN_MAX_MS = 2 * USAGE_VALIDITY_MS;

/** Time between two calls of advance() after which the process counts as paused. */
static constexpr mono_ms PAUSE_MIN_MS = 700;

/** Limits on what is stored of one source. */
static constexpr std::size_t SOURCES_MAX = 8192;
static constexpr std::size_t SENDERS_MAX = 64;

static constexpr double MS_PER_S = 1000;

void
quota_meter::add(const std::vector<account_count>& counts)
{
  for (const account_count& item : counts) {
    entry& into = entries_[item.account];
    into.average.account = item.account;
    into.asked += item.asked;
    into.admitted += static_cast<double>(item.admitted) - static_cast<double>(item.returned);
  }
}

void
quota_meter::advance(mono_ms now)
{
  const auto elapsed = static_cast<double>(now - advanced_at_);
  if (advanced_at_ == 0 || elapsed <= 0) {
    advanced_at_ = now;
    return;
  }
  advanced_at_ = now;
  const double weight = 1 - std::exp(-elapsed / USAGE_AVERAGE_MS);
  const auto step = [&](double& average, double& count) {
    average += weight * (count * MS_PER_S / elapsed - average);
    count = 0;
  };
  for (auto& [account, item] : entries_) {
    step(item.average.asked_per_s, item.asked);
    step(item.average.admitted_per_s, item.admitted);
  }
  std::erase_if(entries_, [](const auto& item) {
    const account_usage& average = item.second.average;
    return average.asked_per_s < USAGE_MIN_PER_S &&
           std::abs(average.admitted_per_s) < USAGE_MIN_PER_S;
  });
}

std::vector<account_usage>
quota_meter::usage() const
{
  std::vector<account_usage> result;
  result.reserve(entries_.size());
  for (const auto& [account, item] : entries_) {
    result.push_back(item.average);
  }
  return result;
}

std::vector<account_usage>
quota_report_filter::select(const std::vector<account_usage>& usage, mono_ms now)
{
  const auto differs = [](double value, double reported) {
    return std::abs(value - reported) >
           std::max(REPORT_CHANGE_PER_S, REPORT_CHANGE_RATIO * std::abs(reported));
  };
  std::vector<account_usage> result;
  const auto report = [&](entry& item, const account_usage& current) {
    const bool is_due = now - item.reported_at >= REPORT_REPEAT_MS ||
                        differs(current.asked_per_s, item.reported.asked_per_s) ||
                        differs(current.admitted_per_s, item.reported.admitted_per_s);
    if (is_due) {
      item.reported = current;
      item.reported_at = now;
      result.push_back(current);
    }
  };
  for (const account_usage& item : usage) {
    entry& known = entries_[item.account];
    known.in_use_at = now;
    report(known, item);
  }
  for (auto& [account, item] : entries_) {
    if (item.in_use_at != now) {
      report(item, account_usage{ account, 0, 0 });
    }
  }
  std::erase_if(
    entries_, [now](const auto& item) { return now - item.second.in_use_at > USAGE_VALIDITY_MS; });
  return result;
}

void
quota_ledger::set_quotas(const std::vector<account_quota>& quotas, const quota_tolerance& tolerance)
{
  tolerance_ = tolerance;
  quotas_.clear();
  std::map<account_digest, account_level> levels;
  for (const account_quota& quota : quotas) {
    quotas_[quota.account] = quota;
    account_level& level = levels[quota.account];
    const auto before = levels_.find(quota.account);
    if (before != levels_.end()) {
      level = before->second;
    }
    level.name = quota.name;
  }
  levels_ = std::move(levels);
}

void
quota_ledger::store(source& into, const quota_report& report, mono_ms now)
{
  if (into.sent_at.size() >= SENDERS_MAX && !into.sent_at.contains(report.node)) {
    into.sent_at.clear();
  }
  mono_ms& latest = into.sent_at[report.node];
  const bool was_overtaken = report.sent_at < latest && latest - report.sent_at <= OVERTAKEN_MAX_MS;
  if (was_overtaken) {
    return;
  }
  latest = report.sent_at;
  into.received_at = now;
  into.proxies = report.proxies;
  for (const account_usage& item : report.usage) {
    if (quotas_.contains(item.account)) {
      into.usage[item.account] = { item, now };
    }
  }
}

void
quota_ledger::handle_report(const quota_report& report, mono_ms now)
{
  if (settled_at_ == 0 || now - heard_at_ > QUOTA_REPORT_VALIDITY_MS) {
    settled_at_ = std::max(settled_at_, now + SETTLE_MS);
  }
  heard_at_ = now;
  if (report.scope == quota_scope::node) {
    if (report.zone == zone_ && (nodes_.size() < SOURCES_MAX || nodes_.contains(report.node))) {
      store(nodes_[report.node], report, now);
    }
  } else if (report.zone != zone_ &&
             (zones_.size() < SOURCES_MAX || zones_.contains(report.zone))) {
    store(zones_[report.zone], report, now);
  }
}

void
quota_ledger::set_own_usage(const node_id& self,
                            const std::vector<account_usage>& usage,
                            mono_ms now)
{
  source& own = nodes_[self];
  own.usage.clear();
  store(own, { quota_scope::node, self, zone_, now, 1, usage }, now);
}

void
quota_ledger::add_usage(std::map<account_digest, account_usage>& into,
                        const source& from,
                        mono_ms now)
{
  if (!is_fresh(from, now)) {
    return;
  }
  for (const auto& [account, item] : from.usage) {
    if (now - item.received_at <= USAGE_VALIDITY_MS) {
      account_usage& sum = into[account];
      sum.account = account;
      sum.asked_per_s += item.usage.asked_per_s;
      sum.admitted_per_s += item.usage.admitted_per_s;
    }
  }
}

std::vector<account_usage>
quota_ledger::zone_usage(mono_ms now) const
{
  std::map<account_digest, account_usage> sums;
  for (const auto& [id, item] : nodes_) {
    add_usage(sums, item, now);
  }
  std::vector<account_usage> result;
  result.reserve(sums.size());
  for (const auto& [account, sum] : sums) {
    result.push_back(sum);
  }
  return result;
}

std::uint32_t
quota_ledger::zone_proxies(mono_ms now) const
{
  return static_cast<std::uint32_t>(std::count_if(
    nodes_.begin(), nodes_.end(), [now](const auto& item) { return is_fresh(item.second, now); }));
}

void
quota_ledger::reset(mono_ms now)
{
  for (auto& [account, item] : levels_) {
    item.level = std::min(item.level, 0.0);
  }
  settled_at_ = now + SETTLE_MS;
}

void
quota_ledger::advance(std::size_t known_proxies, mono_ms now)
{
  const mono_ms elapsed = now - advanced_at_;
  const bool is_first = advanced_at_ == 0;
  advanced_at_ = now;
  if (is_first || elapsed > PAUSE_MIN_MS) {
    reset(now);
    return;
  }
  const auto is_forgotten = [now](const auto& item) {
    return now - item.second.received_at > 2 * USAGE_VALIDITY_MS;
  };
  std::erase_if(nodes_, is_forgotten);
  std::erase_if(zones_, is_forgotten);
  std::map<account_digest, account_usage> sums;
  std::size_t reached = zone_proxies(now);
  for (const auto& [id, item] : nodes_) {
    add_usage(sums, item, now);
  }
  for (const auto& [zone, item] : zones_) {
    add_usage(sums, item, now);
    reached += is_fresh(item, now) ? item.proxies : 0;
  }
  const double reached_share =
    static_cast<double>(reached) / static_cast<double>(std::max<std::size_t>(known_proxies, 1));
  const double share = reached_share >= 1 - UNREACHED_SHARE_MAX ? 1 : reached_share;
  // The proxies that were just lost may have used their part of each burst before that was noticed.
  const double lost_share = std::max(share_ - share, 0.0);
  share_ = share;
  const double seconds = static_cast<double>(elapsed) / MS_PER_S;
  for (auto& [account, item] : levels_) {
    const account_quota& quota = quotas_.at(account);
    const double window_s = static_cast<double>(tolerance_.window_ms) / MS_PER_S;
    const double in_window = quota.rate_per_s * window_s + quota.burst_requests;
    const double burst = quota.burst_requests +
                         BURST_OVERAGE_PART * tolerance_.overage * in_window +
                         BURST_SLACK_PART * tolerance_.slack;
    const auto sum = sums.find(account);
    item.usage = sum == sums.end() ? account_usage{ account, 0, 0 } : sum->second;
    const double rate = share * quota.rate_per_s;
    item.level += (rate - item.usage.admitted_per_s) * seconds - lost_share * burst;
    // The debt is bounded by what may be counted in one window, since older use no longer counts.
    item.level = std::clamp(item.level, -in_window, share * burst);
    const double target = rate + item.level * MS_PER_S / LEVEL_TIME_MS;
    const double admitted = std::max(target, 0.0);
    // An account that paused while it is in debt asks for nothing, and must not begin with a free
    // second. Where less than one request may be made, the first one would already be an overrun;
    // such a share is met by admitting a part of the first requests.
    item.admitted_fraction = item.usage.asked_per_s > admitted ? admitted / item.usage.asked_per_s
                                                               : std::min(admitted, 1.0);
  }
}

bool
quota_ledger::is_settled(mono_ms now) const
{
  return settled_at_ != 0 && now >= settled_at_;
}

std::vector<account_limit>
quota_ledger::limits() const
{
  std::vector<account_limit> result;
  for (const auto& [account, item] : levels_) {
    if (item.admitted_fraction < 1) {
      result.push_back({ account, item.admitted_fraction });
    }
  }
  return result;
}

std::optional<mono_ms>
quota_ledger::latest_report_of(const node_id& node, mono_ms now) const
{
  const auto found = nodes_.find(node);
  if (found == nodes_.end() || !is_fresh(found->second, now)) {
    return std::nullopt;
  }
  const auto sent = found->second.sent_at.find(node);
  return sent == found->second.sent_at.end() ? std::nullopt : std::optional(sent->second);
}

} // namespace shallotfield
