// The limits on client accounts that the ledgers of a proxy's zone have answered.
#pragma once
#include "quota_type.h"

#include <map>

namespace shallotfield {

/** Collects the answers of the ledgers and makes the limits for the traffic thread from them. */
class quota_limits_table
{
public:
  /**
   * Takes an answer in. The limits hold for some time from the report on that it answers, so an
   * answer that was delayed, or that arrived while the process was paused, does not prolong them.
   * Returns whether the limits have changed, which includes how long they hold.
   */
  bool apply(const quota_answer& answer, mono_ms now);

  /** Returns the limits for the traffic thread. `proxies` is the number of proxies that share the
   * quotas; 0 if it is unknown. */
  quota_limits_ptr build(std::size_t proxies, const quota_tolerance& tolerance) const;

  mono_ms valid_until() const { return valid_until_; }

private:
  std::map<account_digest, double> fractions_; ///< Of the accounts that are limited.
  mono_ms answered_at_ = 0;                    ///< Time of the latest report that was answered.
  mono_ms valid_until_ = 0;
};

} // namespace shallotfield
