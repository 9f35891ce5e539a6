// What proxies tell each other about the use of client accounts, so that the quota of an account
// holds over the whole fleet.
#pragma once
#include "clock_type.h"
#include "enum_table.h"
#include "member_type.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace shallotfield {

/** Names a client account in messages. It is a hash of the account's name, not of a key. */
using account_digest = std::uint64_t;

/** Returns the digest of the name of an account (FNV-1a). */
constexpr account_digest
digest_account(std::string_view name)
{
  constexpr std::uint64_t OFFSET_BASIS = 14'695'981'039'346'656'037U;
  constexpr std::uint64_t PRIME = 1'099'511'628'211U;
  std::uint64_t hash = OFFSET_BASIS;
  for (const char byte : name) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * PRIME;
  }
  return hash;
}

/** The quota of one client account. */
struct account_quota
{
  account_digest account = 0;
  std::string name;          ///< For log lines.
  double rate_per_s = 0;     ///< Requests a second over all proxies; more than 0.
  double burst_requests = 0; ///< Requests in addition, at once.
};

/** By how much, and over which time, the use of an account may exceed its quota. */
struct quota_tolerance
{
  std::int64_t window_ms = 5000; ///< Sliding window over which requests are counted.
  double overage = 0.1;          ///< Part of the quota by which it may be exceeded in a window.
  double slack = 20;             ///< Number of requests by which it may be exceeded besides.
};

/** Number of requests of an account at one proxy since the previous count. */
struct account_count
{
  account_digest account = 0;
  std::uint32_t asked = 0;    ///< Requests that arrived.
  std::uint32_t admitted = 0; ///< Of these, requests within the quota.
  std::uint32_t returned = 0; ///< Admitted ones, of this count or an earlier one, that never ran.
};

/** Use of an account, averaged over a moment. */
struct account_usage
{
  account_digest account = 0;
  double asked_per_s = 0;    ///< Requests that arrive.
  double admitted_per_s = 0; ///< Requests that count against the quota.
  bool operator==(const account_usage&) const = default;
};

/** Whose use a report adds up. */
enum class quota_scope
{
  node, ///< One proxy, which reports to the ledgers of its zone.
  zone, ///< All proxies of a zone, whose ledger reports to the ledgers of other zones.
};

inline constexpr enum_table<quota_scope, 2> QUOTA_SCOPE_ROWS = { {
  { quota_scope::node, "node" },
  { quota_scope::zone, "zone" },
} };
static_assert(is_complete(QUOTA_SCOPE_ROWS, quota_scope::zone));

/** Returns the name table of scopes. */
constexpr const auto&
enum_rows(quota_scope)
{
  return QUOTA_SCOPE_ROWS;
}

/** A report of use. An account that it leaves out is unchanged since the sender's last report that
 * names it. */
struct quota_report
{
  quota_scope scope = quota_scope::node;
  node_id node;              ///< Sender.
  std::string zone;          ///< Zone of the sender.
  mono_ms sent_at = 0;       ///< Clock of the sender, for the order of its reports.
  std::uint32_t proxies = 1; ///< Number of proxies whose use the report adds up.
  std::vector<account_usage> usage;
};

/** The part of an account's requests that may be admitted. */
struct account_limit
{
  account_digest account = 0;
  double admitted_fraction = 1; ///< From 0 to 1.
  bool operator==(const account_limit&) const = default;
};

/** The answer of a ledger to a proxy of its zone. Within its range of digests it is complete: an
 * account that it leaves out is not limited. */
struct quota_answer
{
  mono_ms report_sent_at = 0; ///< Time in the proxy's report that is answered, by its own clock.
  account_digest first = 0;   ///< Range of the accounts that the answer is about.
  account_digest last = UINT64_MAX;
  std::vector<account_limit> limits; ///< The accounts that are limited.
};

/** A message about quotas. */
using quota_message = std::variant<quota_report, quota_answer>;

/** The limits in force at a proxy; immutable, for the traffic thread. */
struct quota_limits
{
  mono_ms valid_until = 0; ///< After this, the proxy keeps to its own share of each quota.
  /** Part of the requests that may be admitted; accounts that are missing here are not limited. */
  std::unordered_map<account_digest, double> admitted_fractions;
  std::size_t proxies = 0; ///< Number of proxies that share each quota; 0 while it is unknown.
  quota_tolerance tolerance;
};

using quota_limits_ptr = std::shared_ptr<const quota_limits>;

} // namespace shallotfield
