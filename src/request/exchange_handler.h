// The state machine of one request at its caller's proxy, behind handle_exchange_event(). Only the
// files that implement it include this header.
#pragma once
#include "exchange_policy.h"

namespace shallotfield {

/** If less than this is left until the deadline, a request is not sent to another server, which
 * could not respond in time. */
inline constexpr mono_ms REMAINING_TIME_MIN_MS = 20;

/** Handles one event of a request and collects the effects. */
class exchange_handler
{
public:
  exchange_handler(exchange_state& exchange, proxy_state& proxy, mono_ms now)
    : exchange_(exchange)
    , proxy_(proxy)
    , now_(now)
  {
  }

  void operator()(const exchange_started& event);
  void operator()(const attempt_responded& event);
  void operator()(const attempt_failed& event);
  void operator()(const exchange_expired& event);
  void operator()(const exchange_abandoned& event);

  /** Returns the collected effects, in the order in which to perform them. */
  std::vector<exchange_effect> take_effects() { return std::move(effects_); }

private:
  /** Finds the client account of the caller's key. Returns false if the request needs a key and has
   * none, or an unknown one. */
  bool identify_account();
  /** Counts the request against the quota of its account. Returns false after it was refused. */
  bool is_within_quota();
  /** Finds out when the caller first sent the request. */
  void find_first_try();
  /** Returns what the request has in common with another try of its caller, or no value if it has
   * no client account or the caller did not say how long it waits. */
  std::optional<caller_try> caller_try_of() const;
  /** Chooses one of the rule's services by weight. */
  service_id choose_service();
  /** Chooses a server that was not tried yet and sends the request to it. Returns false if there is
   * none, or none with capacity. */
  bool try_server();
  /** Chooses a server among those of the version that the request goes to. */
  choice_result choose(const choice_request& request);
  /** Sends a request that is rejected to the server of its next trial. Returns false if there is
   * none. */
  bool try_trial_server(const suspect_trial_due& trial);
  /** Sends the request to a server. */
  void send_to(const server_choice& choice, double expected_bytes);
  /** Counts and reports a request that leaves the zone, if its share is limited. */
  void record_spill(const server_choice& choice, double expected_bytes);
  /** Returns the expected size of the request and its response together, averaged over earlier
   * requests of the rule. */
  double expected_bytes() const;
  /** Returns the average service time of the rule's requests in the fleet, in ms; 0 if unknown. */
  std::int64_t fleet_service_ms() const;
  /** Records the service time of the request. */
  void record_service_time(std::int64_t service_time_ms);
  /** Records the size of the request and its response together. */
  void record_bytes(std::size_t response_body_bytes);
  /** Returns whether the request may be retried after an attempt that reached a server, and if
   * so takes a retry from the budget. `result` tells whether that attempt ran. */
  bool may_retry(outcome result);
  /** Returns the digests of the request, or no value while no request is suspected of crashing
   * servers. */
  const std::optional<request_digests>& suspect_digests();
  /** Decides whether the request may run although servers may have crashed on it. */
  suspect_decision decide_on_suspect();
  /** Returns whether the request may be sent to a further server. */
  bool may_go_elsewhere();
  /** Marks an attempt as closed and removes it from the in-flight counts. */
  void close(exchange_attempt_index attempt);
  /** Records the network time of an attempt to another region, if its expected size in bytes counts
   * as short; see congestion_control::is_short. */
  void record_transit(exchange_attempt_index attempt, std::int64_t residence_ms);
  /** Cancels all open attempts. */
  void cancel_open_attempts();
  /** Returns whether an attempt is open. */
  bool is_open(exchange_attempt_index attempt) const
  {
    return !exchange_.is_done && attempt < exchange_.attempts.size() &&
           exchange_.attempts[attempt].is_open;
  }
  /** Ends the request with an error response. */
  void refuse(unsigned status, failure_reason reason, std::int64_t retry_after_ms);
  /** Records the time after which a server may have capacity. The caller gets the shortest one. */
  void record_retry_after(std::int64_t wait_ms);
  /** Returns a retry-after time with a jitter, which keeps callers that were refused at the same
   * time from retrying at the same time. */
  std::int64_t spread(std::int64_t retry_after_ms);
  /** Ends the request after its last attempt failed, or if there is no server for it. */
  void fail_request(failure_reason reason);
  /** Logs the outcome and marks the request as done. */
  void finish(std::string_view result, std::string_view reason, unsigned status);

  exchange_state& exchange_;             ///< The request.
  proxy_state& proxy_;                   ///< State shared with the other requests of the proxy.
  mono_ms now_;                          ///< Current time.
  std::vector<exchange_effect> effects_; ///< The effects so far.
};

} // namespace shallotfield
