// Implements the decision about quotas at the caller's proxy.
#include "quota_policy.h"

#include <algorithm>
#include <cmath>

namespace shallotfield {

/** Retry-after times of requests over the quota, in ms. A caller that comes back sooner than the
 * account has room for it only adds to the load. */
static constexpr double RETRY_AFTER_MIN_MS = 200;
static constexpr double RETRY_AFTER_MAX_MS = 2000;

/** Retry-after time while no limits are in force. They usually arrive within this time. */
static constexpr std::int64_t RETRY_AFTER_NO_LIMITS_MS = 300;

/** Part of the slack of the quota that one proxy may admit beyond rate and burst while it is told
 * no limit. */
static constexpr double UNLIMITED_SLACK_PART = 0.5;

static constexpr double MS_PER_S = 1000;

/** Most accounts of which state is kept. Beyond it, the state of all is dropped, which is safe, as
 * a new one starts without tokens. */
static constexpr std::size_t ACCOUNTS_MAX = 20'000;

account_count&
quota_gate::count_of(const client_account& account)
{
  const account_digest digest = digest_account(account.name);
  account_count& item = counts_[digest];
  item.account = digest;
  return item;
}

bool
quota_gate::try_take_whole(account_state& state, const client_account& account, mono_ms now) const
{
  const double cap =
    std::max(1.0, account.burst_requests + UNLIMITED_SLACK_PART * limits_->tolerance.slack);
  if (state.whole_filled_at == 0) {
    state.whole_tokens = cap;
  } else {
    const auto elapsed = static_cast<double>(std::max<mono_ms>(now - state.whole_filled_at, 0));
    state.whole_tokens =
      std::min(cap, state.whole_tokens + account.rate_per_s * elapsed / MS_PER_S);
  }
  state.whole_filled_at = now;
  if (state.whole_tokens < 1) {
    return false;
  }
  state.whole_tokens -= 1;
  return true;
}

quota_decision
quota_gate::decide_by_fraction(account_state& state, double fraction, std::mt19937_64& random)
{
  state.uses_own_share = false;
  if (fraction >= 1) {
    state.is_limited = false;
    return quota_admitted{};
  }
  if (!state.is_limited) {
    // A random start keeps the proxies of a fleet from admitting at the same moments.
    state.is_limited = true;
    state.credit = std::uniform_real_distribution<double>(0, 1)(random);
  }
  state.credit += fraction;
  if (state.credit >= 1) {
    state.credit -= 1;
    return quota_admitted{};
  }
  // The expected number of retries until one is admitted is 1 / fraction.
  const double wait = fraction > 0 ? RETRY_AFTER_MIN_MS / fraction : RETRY_AFTER_MAX_MS;
  return quota_refused{ std::llround(std::min(wait, RETRY_AFTER_MAX_MS)) };
}

quota_decision
quota_gate::decide_by_own_share(account_state& state,
                                const client_account& account,
                                mono_ms now,
                                std::mt19937_64& random)
{
  const quota_refused refusal{ RETRY_AFTER_NO_LIMITS_MS };
  if (!limits_ || limits_->proxies == 0) {
    return refusal;
  }
  const auto proxies = static_cast<double>(limits_->proxies);
  const double share_per_ms = account.rate_per_s / proxies / MS_PER_S;
  if (!state.uses_own_share) {
    // Proxies may lose their limits at the same moment. The random start spreads the times at which
    // their buckets hold a whole request. What the account used just before counts in the same
    // window, so that none of the slack is left for the start.
    state.tokens = std::uniform_real_distribution<double>(0, 1)(random);
    state.tokens_filled_at = now;
    state.uses_own_share = true;
  }
  const double cap = std::max(1.0, account.burst_requests / proxies);
  const auto elapsed = static_cast<double>(std::max<mono_ms>(now - state.tokens_filled_at, 0));
  state.tokens = std::min(std::max(cap, state.tokens), state.tokens + share_per_ms * elapsed);
  state.tokens_filled_at = now;
  if (state.tokens < 1) {
    return refusal;
  }
  state.tokens -= 1;
  return quota_admitted{};
}

quota_decision
quota_gate::decide(const client_account& account, mono_ms now, std::mt19937_64& random)
{
  if (account.rate_per_s <= 0) {
    return quota_admitted{};
  }
  if (accounts_.size() >= ACCOUNTS_MAX) {
    accounts_.clear();
  }
  const account_digest digest = digest_account(account.name);
  account_state& state = accounts_[digest];
  quota_decision decision = quota_refused{};
  if (limits_ && now < limits_->valid_until) {
    const auto limit = limits_->admitted_fractions.find(digest);
    const double fraction = limit == limits_->admitted_fractions.end() ? 1 : limit->second;
    decision = decide_by_fraction(state, fraction, random);
    // A limit takes some tenths of a second to arrive; until then one proxy admits no more than the
    // whole quota.
    if (std::holds_alternative<quota_admitted>(decision) && !try_take_whole(state, account, now)) {
      decision = quota_refused{ RETRY_AFTER_NO_LIMITS_MS };
    }
  } else {
    decision = decide_by_own_share(state, account, now, random);
  }
  account_count& item = count_of(account);
  ++item.asked;
  if (std::holds_alternative<quota_admitted>(decision)) {
    ++item.admitted;
  }
  return decision;
}

void
quota_gate::give_back(const client_account& account)
{
  if (account.rate_per_s > 0) {
    ++count_of(account).returned;
  }
}

std::vector<account_count>
quota_gate::take_counts()
{
  std::vector<account_count> result;
  result.reserve(counts_.size());
  for (const auto& [account, item] : counts_) {
    result.push_back(item);
  }
  counts_.clear();
  return result;
}

} // namespace shallotfield
