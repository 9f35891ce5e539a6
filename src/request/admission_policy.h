// Admission control in front of a backend server: decides which requests get a slot, which wait in
// a queue and which are refused. A control_thread node uses it; a proxy_node uses slot_policy.h.
#pragma once
#include "table/failure_response_table.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace shallotfield {

/** Identifies a request at the server's node. Never reused within the process. */
using ticket = std::uint64_t;

/** Event: a request arrived. */
struct admission_arrival
{
  ticket id = 0;                             ///< The request.
  work_class kind = work_class::interactive; ///< Class, which selects the queue.
  std::string customer;                      ///< Client account that sent it; may be empty.
  mono_ms deadline = 0;                      ///< Time by which it must be done.
};

/** Event: a request left its slot. */
struct admission_finish
{
  ticket id = 0; ///< The request.
};

/** Event: the caller no longer wants the response to a waiting request. */
struct admission_cancel
{
  ticket id = 0; ///< The request.
};

/** Event: time has passed, so that waiting requests may have to be refused. */
struct admission_tick
{};

/** Event: the server changed its state or its number of slots. */
struct admission_server_changed
{
  server_info info; ///< The latest announcement of the server.
};

/** Event: the node is shutting down, so it accepts no more work. */
struct admission_close
{};

using admission_event = std::variant<admission_arrival,
                                     admission_finish,
                                     admission_cancel,
                                     admission_tick,
                                     admission_server_changed,
                                     admission_close>;

/** Effect: run a request now. */
struct admission_start
{
  ticket id = 0; ///< The request.
  bool operator==(const admission_start&) const = default;
};

/** Effect: refuse a request that has not run. */
struct admission_refuse
{
  ticket id = 0;                                      ///< The request.
  failure_reason reason = failure_reason::queue_full; ///< Why it is refused.
  std::int64_t retry_after_ms = 0; ///< Expected time until a new interactive request could be done.
  bool operator==(const admission_refuse&) const = default;
};

using admission_effect = std::variant<admission_start, admission_refuse>;

/** Limits of the admission control. */
struct admission_limits
{
  std::int64_t queue_limit;        ///< Largest number of waiting requests of each class.
  std::int64_t bulk_slots_percent; ///< Percentage of the slots that bulk requests may hold.
};

/**
 * The slots of one backend server with the queues in front of them.
 *
 * Interactive requests go before bulk requests. Within a class, the customers are served round
 * robin. A request that finds a free slot and no queue is started at once. Any other request is
 * refused on arrival if it is not expected to be done before its deadline, or if the queue of its
 * class is full.
 */
class admission
{
public:
  explicit admission(admission_limits limits)
    : limits_(limits)
  {
  }

  /** Handles an event and returns the effects, in the order in which to perform them. */
  std::vector<admission_effect> handle(const admission_event& event, mono_ms now);

  /** Returns the load report that is sent with responses. */
  load_report report(mono_ms now) const;

  /** Returns whether no request runs or waits. */
  bool is_idle() const { return running_.empty() && waiting_count() == 0; }

  /** Returns how many slots may be used: none while the server is absent or draining, and a growing
   * part of them while it is cold. */
  std::uint32_t usable_slots(mono_ms now) const;

private:
  /** A request that holds a slot. */
  struct running_request
  {
    work_class kind;    ///< Its class.
    mono_ms started_at; ///< When it got the slot.
  };

  /** The waiting requests of one class, with a queue for each customer. */
  struct class_queue
  {
    std::list<std::string> rotation; ///< Customers with waiting requests, in round-robin order.
    std::map<std::string, std::deque<admission_arrival>> queues; ///< Queues by customer.
    std::size_t size = 0; ///< Number of waiting requests of all customers.
  };

  void handle_arrival(const admission_arrival& event, mono_ms now);
  void finish(ticket id, mono_ms now);
  void cancel(ticket id);
  /** Refuses the waiting requests that would not be done before their deadline even if they got a
   * slot now. */
  void refuse_expired(mono_ms now);
  /** Removes the waiting requests for which the predicate holds. */
  void remove_waiting(const std::function<bool(const admission_arrival&)>& should_remove);
  void set_server(const server_info& info, mono_ms now);
  /** Fills the free slots with waiting requests. A request whose turn comes too late to be done
   * before its deadline is refused instead. */
  void dispatch(mono_ms now);
  /** Returns whether a request of a class may take a slot now. */
  bool has_slot(work_class kind, mono_ms now) const;
  /** Removes the next request of a class from its queue and returns it, if there is one. */
  std::optional<admission_arrival> take_next(work_class kind);
  void start(const admission_arrival& request, mono_ms now);
  void refuse(ticket id, failure_reason reason, mono_ms now);
  void refuse_all_waiting(failure_reason reason, mono_ms now);
  /** Estimates the time until a request that joins the queue of a class now is done, in ms. */
  mono_ms expected_ms(work_class kind, mono_ms now) const;
  std::size_t waiting_count() const;
  class_queue& class_queue_of(work_class kind)
  {
    return class_queues_[static_cast<std::size_t>(kind)];
  }

  admission_limits limits_;                   ///< Limits of queues and slots.
  server_info server_;                        ///< Latest announcement of the server.
  mono_ms cold_since_ = 0;                    ///< When the server became cold.
  bool is_closed_ = false;                    ///< Whether the node is shutting down.
  std::map<ticket, running_request> running_; ///< Requests that hold a slot.
  std::array<class_queue, WORK_CLASS_ROWS.size()> class_queues_; ///< Waiting requests, by class.
  /** Average service time, by class; 0 if unknown. */
  std::array<double, WORK_CLASS_ROWS.size()> service_ms_{};
  std::vector<admission_effect> effects_; ///< Effects of the event that is being handled.
};

} // namespace shallotfield
