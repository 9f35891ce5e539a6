// Recognises requests that come back after they ended without a result, so that their latency
// objective is counted from the caller's first try. The policy is made for an overload that refuses
// a part of the requests: if a request that comes back counted as new, it would wait as long as a
// new one, end late, and hold a slot that another request could have used in time.
#pragma once
#include "connection/connection.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace shallotfield {

/** What a request has in common with the earlier try of the same caller. */
struct caller_try
{
  std::string rule;        ///< Name of the rule that matched.
  std::string account;     ///< Client account of the caller; empty: none.
  mono_ms waits_until = 0; ///< Time until which the caller waits for a result.
  mono_ms wait_ms = 0;     ///< Time that it said it waits when it sent the request.
};

/**
 * The requests of one proxy that ended without a result, and that may come back.
 *
 * A caller that sends a request again states how long it still waits, so the end of its wait stays
 * where it was. A request of the same rule and account with the same end of the wait is therefore
 * taken for one that came back, if its caller waits for less time than at the earlier try. A new
 * request of a caller that always waits for the same time is not.
 */
class returning_callers
{
public:
  /** Number of requests that are remembered. Further ones count as new when they come back. */
  static constexpr std::size_t REQUESTS_MAX = 4096;

  /**
   * Records that a request ended without a result.
   * @param first_asked_at When its caller first sent it.
   */
  void record_failed(const caller_try& request, mono_ms first_asked_at, mono_ms now);

  /** Returns when the caller first sent a request that arrives now, or no value if it is new. The
   * record of the earlier try is removed. */
  std::optional<mono_ms> take(const caller_try& request);

  /** Returns the number of requests that are remembered. */
  std::size_t size() const { return failed_.size(); }

private:
  using key = std::tuple<std::string, std::string, mono_ms>;

  /** A request that failed. */
  struct failed_try
  {
    mono_ms first_asked_at = 0; ///< When its caller first sent it.
    mono_ms wait_ms = 0;        ///< Time that the caller said it waits at the try that failed.
  };

  /** Returns whether the wait became shorter while time passed, as it does from try to try. */
  static bool has_shorter_wait(const caller_try& request, const key& earlier, mono_ms wait_ms);
  /** Removes the requests whose callers no longer wait. */
  void remove_expired(mono_ms now);

  std::multimap<key, failed_try> failed_; ///< Failed requests, by rule, account and end of wait.
  mono_ms cleaned_at_ = 0;                ///< When expired requests were last removed.
};

} // namespace shallotfield
