// Decides at the caller's proxy whether a request is within the quota of its client account.
#pragma once
#include "process/process.h"
#include "version/version.h"

#include <cstdint>
#include <random>
#include <unordered_map>
#include <variant>
#include <vector>

namespace shallotfield {

/** The request may run. It counts against the quota. */
struct quota_admitted
{};

/** The account has used up its quota. */
struct quota_refused
{
  std::int64_t retry_after_ms = 0; ///< Time after which a retry has a fair chance.
};

using quota_decision = std::variant<quota_admitted, quota_refused>;

/**
 * Keeps the requests of the local callers to the quotas of their accounts, and counts them for the
 * ledger. While limits are in force, it admits the part of an account's requests that they name.
 * Without limits, this proxy keeps to its own share of each quota.
 */
class quota_gate
{
public:
  /** Replaces the limits. They are kept until they expire. */
  void set_limits(quota_limits_ptr limits) { limits_ = std::move(limits); }

  /** Decides about a request of an account, which may have no quota. */
  quota_decision decide(const client_account& account, mono_ms now, std::mt19937_64& random);

  /** Takes back the count of an admitted request that never ran. */
  void give_back(const client_account& account);

  /** Returns the counts since the previous call. */
  std::vector<account_count> take_counts();

  bool has_counts() const { return !counts_.empty(); }

private:
  /** The requests of one account at this proxy. */
  struct account_state
  {
    /** Accumulated fractions of requests that may be admitted. Carried from request to request,
     * they keep to the fraction more closely than a random choice. */
    double credit = 0;
    bool is_limited = false;      ///< Whether the latest request met a limit.
    bool uses_own_share = false;  ///< Whether the latest request found no limits in force.
    double tokens = 0;            ///< Token bucket of this proxy's own share.
    mono_ms tokens_filled_at = 0; ///< Time up to which tokens were added.
    double whole_tokens = 0;      ///< Token bucket of the whole quota.
    mono_ms whole_filled_at = 0;  ///< Time up to which its tokens were added; 0: it is full.
  };

  /** Takes a token of the whole quota, which this proxy alone must not exceed. Returns whether
   * there is one. */
  bool try_take_whole(account_state& state, const client_account& account, mono_ms now) const;

  quota_decision decide_by_fraction(account_state& state, double fraction, std::mt19937_64& random);
  quota_decision decide_by_own_share(account_state& state,
                                     const client_account& account,
                                     mono_ms now,
                                     std::mt19937_64& random);
  account_count& count_of(const client_account& account);

  quota_limits_ptr limits_;
  std::unordered_map<account_digest, account_state> accounts_;
  std::unordered_map<account_digest, account_count> counts_;
};

} // namespace shallotfield
