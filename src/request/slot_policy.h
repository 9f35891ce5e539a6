// Decides which requests run on the concurrency slots of the backend server, which wait in a queue
// and which are refused. The policy is made for overloads in which, for some seconds, more requests
// arrive than the server can run. A proxy_node uses this queue, ordered by priority and latency
// objective. A control_thread node uses admission_policy.h, which serves classes and customers.
#pragma once
#include "account_share_policy.h"
#include "table/failure_response_table.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace shallotfield {

/** Identifies a request for the server of this node. Never reused within the process. */
using slot_ticket = std::uint64_t;

/** Event: a request asks for a slot. */
struct slot_arrival
{
  slot_ticket id = 0;                ///< The request.
  std::string work;                  ///< Kind of work; service times are averaged per kind.
  std::int64_t priority = 0;         ///< Priority; 0 is the highest.
  mono_ms objective_at = 0;          ///< Time until which a response meets the latency objective.
  mono_ms deadline = 0;              ///< Time at which the request times out.
  std::int64_t fleet_service_ms = 0; ///< Average service time of such requests over all servers of
                                     ///< the fleet; 0 if unknown.
  std::string account;               ///< Client account of the caller; empty: none.
  double account_weight = 1;         ///< Part of the account relative to other accounts; above 0.
  bool is_call = false; ///< Whether a request that runs at another server needs the response. Set
                        ///< only where requests of callers can be told apart by their account.
};

/** Event: a request left its slot. */
struct slot_finished
{
  slot_ticket id = 0;                 ///< The request.
  bool has_complete_response = false; ///< Whether the server gave a complete response. Only then
                                      ///< does the time on the slot count as a service time.
};

/** Event: the deadline of a request passed while it held a slot, and the request was ended. */
struct slot_timed_out
{
  slot_ticket id = 0; ///< The request.
};

/** Event: the caller no longer wants the response to a request. */
struct slot_cancelled
{
  slot_ticket id = 0; ///< The request.
};

/** Event: the state of the server changed. */
struct slot_server_changed
{
  std::uint32_t slots = 0; ///< Number of requests that the server runs concurrently.
  bool takes_work = false; ///< Whether the server accepts new requests.
  bool is_new = false;     ///< Whether another process replaced the server, so that the measured
                           ///< service times no longer apply.
};

/** Event: time has passed, so that waiting requests may have to be refused. */
struct slot_tick
{};

using slot_event = std::variant<slot_arrival,
                                slot_finished,
                                slot_timed_out,
                                slot_cancelled,
                                slot_server_changed,
                                slot_tick>;

/** Effect: send a request to the server now. */
struct slot_start
{
  slot_ticket id = 0; ///< The request.
  bool operator==(const slot_start&) const = default;
};

/** Effect: refuse a request that has not run. */
struct slot_refuse
{
  slot_ticket id = 0;                                 ///< The request.
  failure_reason reason = failure_reason::queue_full; ///< Why it is refused.
  std::int64_t retry_after_ms = 0;                    ///< Expected time until a slot is free.
  std::size_t share_band = 0;                         ///< Share band of its account.
  bool operator==(const slot_refuse&) const = default;
};

using slot_effect = std::variant<slot_start, slot_refuse>;

/**
 * The concurrency slots of one server, with a queue in front of them.
 *
 * The queue is ordered by priority and then by the end of the latency objective. Short requests,
 * such as the calls that running requests make, have short objectives and therefore go before
 * longer ones of the same priority. Requests that can no longer meet their objective wait for a
 * limited time for slots that other requests of their priority leave free. Requests that cannot be
 * served in time are refused on arrival.
 *
 * Requests with a client account are ordered by the share band of the account within a priority;
 * see account_shares. If an account is beyond its share, its latest requests are therefore the
 * first that no longer fit, and are refused as soon as others take their place. Calls of running
 * requests go before all other requests and may wait until their deadline, because a call that is
 * refused fails a request that has used a slot already.
 */
class slot_queue
{
public:
  /** Handles an event and returns the effects, in the order in which to perform them. */
  std::vector<slot_effect> handle(const slot_event& event, mono_ms now);

  /** Returns the load report that is sent with responses and beacons. */
  load_report report() const;

  /** Returns the number of requests that run or wait. */
  std::size_t size() const { return running_.size() + waiting_.size(); }

  /** Returns how long a request of the lowest rank is expected to wait for a slot, in ms. */
  double backlog_ms(mono_ms now) const;

  /** Returns whether requests wait for a slot. */
  bool has_waiting() const { return !queue_.empty(); }

  /** Returns the expected service time of a kind of work on this server, in ms. */
  double expected_ms(const std::string& work) const;

private:
  /** Sort key of the queue. */
  struct queue_key
  {
    bool is_new_work = true;   ///< False for the calls of running requests.
    std::int64_t priority = 0; ///< Priority.
    std::size_t band = 0;      ///< Share band of the account.
    mono_ms objective_at = 0;  ///< End of the latency objective.
    slot_ticket id = 0;        ///< The request.
    bool operator==(const queue_key&) const = default;
    bool operator<(const queue_key& other) const
    {
      return std::tie(is_new_work, priority, band, objective_at, id) <
             std::tie(other.is_new_work, other.priority, other.band, other.objective_at, other.id);
    }
    /** Returns whether the requests with this key start before those with the other key, even if
     * they can no longer meet their objective. */
    bool outranks(const queue_key& other) const
    {
      return is_new_work != other.is_new_work ? !is_new_work : priority < other.priority;
    }
  };

  /** A request in the queue. */
  struct waiting_request : slot_arrival
  {
    mono_ms latest_start_at = 0; ///< Latest time to start; the request is refused afterwards.
    queue_key key;               ///< Its place in the queue.
    double share_ms = 0; ///< Time on a slot that counts as use of its account; 0 if it has none.
  };

  /** A request that holds a slot. */
  struct running_request
  {
    std::string work;                  ///< Kind of work.
    mono_ms started_at = 0;            ///< When it got the slot.
    std::int64_t fleet_service_ms = 0; ///< Copied from its slot_arrival.
    std::string account;               ///< Client account; empty: none.
    double share_ms = 0; ///< Time on a slot that counts as use of its account until it ends.
  };

  void on(const slot_arrival& event, mono_ms now);
  void on(const slot_finished& event, mono_ms now);
  void on(const slot_timed_out& event, mono_ms now);
  void on(const slot_cancelled& event, mono_ms now);
  void on(const slot_server_changed& event, mono_ms now);
  void on(const slot_tick& event, mono_ms now);
  /** Updates the average service times and the slowness with the time that a request took, or with
   * the time that it had taken when it timed out. */
  void record_service_time(const running_request& request, double taken_ms);
  /** Refuses the waiting requests that are past their latest start, then fills the free slots. */
  void dispatch(mono_ms now);
  /** Returns whether a request is expected to meet its latency objective if it starts at a given
   * time. */
  bool can_meet_objective(const slot_arrival& request, mono_ms start_at) const;
  /**
   * Returns how long a request with a key is expected to wait for a slot, in ms. The request need
   * not be in the queue. `counts_as_timely` says whether to place it among the requests that can
   * still meet their objective, which go first, or behind them.
   */
  double expected_wait_ms(const queue_key& position, bool counts_as_timely, mono_ms now) const;
  /** Returns how long a request with a key is expected to wait, in ms, or no value if it can't be
   * served in time. */
  std::optional<double> acceptable_wait_ms(const slot_arrival& request,
                                           const queue_key& position,
                                           mono_ms now) const;
  /** Refuses the last requests of accounts beyond their share that no longer fit into the queue. */
  void refuse_displaced(mono_ms now);
  /** Removes a request from the queue and from the use of its account. */
  void remove_waiting(std::map<slot_ticket, waiting_request>::iterator request, mono_ms now);
  /** Removes a request from its slot, and charges its account for the time that it took. */
  void remove_running(std::map<slot_ticket, running_request>::iterator request, mono_ms now);
  /** Returns the latest time at which a request may start. It is refused afterwards. */
  mono_ms latest_start_of(const slot_arrival& request, mono_ms now) const;
  /** Returns the queued request that gets the next slot. The queue must not be empty. */
  std::set<queue_key>::iterator next_to_start(mono_ms now);
  void refuse(const queue_key& request, failure_reason reason, double retry_after_ms);
  /** Returns the place in the queue for a request that arrives now. */
  queue_key queue_key_of(const slot_arrival& request, mono_ms now) const;

  std::uint32_t slots_ = 0;                        ///< Concurrency limit of the server.
  bool takes_work_ = false;                        ///< Whether the server accepts new requests.
  std::map<slot_ticket, running_request> running_; ///< Requests that hold a slot.
  std::map<slot_ticket, waiting_request> waiting_; ///< Requests in the queue.
  std::set<queue_key> queue_;                      ///< Keys of the waiting requests, in order.
  account_shares shares_;                          ///< Use of the slots by account.
  std::map<std::string, double> service_ms_;       ///< Average service time, by kind of work.
  double average_ms_ = 0;                          ///< Average over all kinds; 0 if unknown.
  double slowness_ = 1; ///< Service time here divided by the average service time in the fleet.
  std::size_t compared_requests_ = 0; ///< Number of requests from which slowness_ was computed.
  std::vector<slot_effect> effects_;  ///< Effects of the event that is being handled.
};

} // namespace shallotfield
