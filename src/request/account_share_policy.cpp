// Implements the division of a server's slots between client accounts.
#include "account_share_policy.h"

#include <algorithm>
#include <cmath>

namespace shallotfield {

/** Time in which the weight of past use falls to 1/e. It covers several requests, and is short
 * enough for an account that was over its share to be served as before some seconds later. */
static constexpr double USE_LIFETIME_MS = 2000;

/** Fraction of its part up to which an account has the first band. With a higher one, an account
 * far beyond its part would still take enough slots ahead of the others to be felt by them. */
static constexpr double SHARE_TOLERANCE = 0.5;

/** Ratio of the uses at which two neighbouring bands begin. */
static constexpr double BAND_FACTOR = 1.5;

/** Number of requests that an account may have in addition to its part. With many accounts, the
 * part of most of them is less than one request. */
static constexpr double ALLOWED_REQUESTS = 3;

/** Slot time below which the use of an account is forgotten. */
static constexpr double FORGOTTEN_USE_MS = 1;

/** Interval at which unused accounts are removed. */
static constexpr mono_ms CLEANING_INTERVAL_MS = 1000;

double
account_shares::decayed(double used_ms, mono_ms from, mono_ms now)
{
  return used_ms *
         std::exp(-static_cast<double>(std::max<mono_ms>(now - from, 0)) / USE_LIFETIME_MS);
}

double
account_shares::due_ms(double weight, std::uint32_t slots, mono_ms now) const
{
  const double total = std::max(decayed(total_used_ms_, total_updated_at_, now),
                                static_cast<double>(slots) * USE_LIFETIME_MS);
  return total_weight_ > 0 ? total * weight / std::max(total_weight_, weight) : total;
}

std::size_t
account_shares::band_of(const std::string& account,
                        double weight,
                        double expected_ms,
                        std::uint32_t slots,
                        mono_ms now) const
{
  const auto found = accounts_.find(account);
  if (found == accounts_.end() || found->second.open_count == 0) {
    return 0;
  }
  const account_use& use = found->second;
  const double used = decayed(use.used_ms, use.updated_at, now) + expected_ms;
  const double beyond = used - ALLOWED_REQUESTS * expected_ms;
  const double tolerated = SHARE_TOLERANCE * due_ms(weight, slots, now);
  if (beyond <= tolerated || tolerated <= 0) {
    return 0;
  }
  const double steps = std::floor(std::log(beyond / tolerated) / std::log(BAND_FACTOR));
  return std::min(static_cast<std::size_t>(steps) + 1, SHARE_BANDS - 1);
}

void
account_shares::add(account_use& use, double slot_ms, mono_ms now)
{
  const double before = decayed(use.used_ms, use.updated_at, now);
  use.used_ms = std::max(before + slot_ms, 0.0);
  use.updated_at = now;
  total_used_ms_ =
    std::max(decayed(total_used_ms_, total_updated_at_, now) + use.used_ms - before, 0.0);
  total_updated_at_ = now;
}

bool
account_shares::open(const std::string& account, double weight, double expected_ms, mono_ms now)
{
  if (now - cleaned_at_ >= CLEANING_INTERVAL_MS) {
    remove_unused(now);
  }
  auto found = accounts_.find(account);
  if (found == accounts_.end()) {
    if (accounts_.size() >= ACCOUNTS_MAX) {
      return false;
    }
    found = accounts_.emplace(account, account_use{ weight, 0, now, 0 }).first;
    total_weight_ += weight;
  }
  account_use& use = found->second;
  total_weight_ += weight - use.weight;
  use.weight = weight;
  ++use.open_count;
  add(use, expected_ms, now);
  return true;
}

void
account_shares::close(const std::string& account, double expected_ms, double used_ms, mono_ms now)
{
  const auto found = accounts_.find(account);
  if (found == accounts_.end() || found->second.open_count == 0) {
    return;
  }
  --found->second.open_count;
  add(found->second, used_ms - expected_ms, now);
}

double
account_shares::use_of(const std::string& account, std::uint32_t slots, mono_ms now) const
{
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) {
    return 0;
  }
  const account_use& use = found->second;
  const double due = due_ms(use.weight, slots, now);
  return due > 0 ? decayed(use.used_ms, use.updated_at, now) / due : 0;
}

void
account_shares::remove_unused(mono_ms now)
{
  cleaned_at_ = now;
  std::erase_if(accounts_, [now](const auto& item) {
    const account_use& use = item.second;
    return use.open_count == 0 && decayed(use.used_ms, use.updated_at, now) < FORGOTTEN_USE_MS;
  });
  // The sums are computed anew, so that rounding errors do not add up.
  total_weight_ = 0;
  total_used_ms_ = 0;
  total_updated_at_ = now;
  for (const auto& [name, use] : accounts_) {
    total_weight_ += use.weight;
    total_used_ms_ += decayed(use.used_ms, use.updated_at, now);
  }
}

} // namespace shallotfield
