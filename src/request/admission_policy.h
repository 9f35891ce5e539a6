// Which requests get a slot of the backend server, which wait, and which are refused: the decision
// in front of the server's slots.
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

/** Number of a request at the node beside the server; never used again in the process. */
using ticket = std::uint64_t;

/** A request that arrived. */
struct admission_arrival
{
  ticket id = 0;                             ///< Number of the request.
  work_class kind = work_class::interactive; ///< Lane.
  std::string customer;                      ///< Who asks; may be empty.
  mono_ms deadline = 0;                      ///< When it has to be over.
};

/** A request that left its slot. */
struct admission_finish
{
  ticket id = 0; ///< Number of the request.
};

/** A request whose answer is no longer wanted. */
struct admission_cancel
{
  ticket id = 0; ///< Number of the request.
};

/** Some time passed. */
struct admission_tick
{};

/** The server changed its state or its slots. */
struct admission_server_changed
{
  server_info info; ///< What the server says.
};

/** The node is leaving: no new work. */
struct admission_close
{};

using admission_event = std::variant<admission_arrival,
                                     admission_finish,
                                     admission_cancel,
                                     admission_tick,
                                     admission_server_changed,
                                     admission_close>;

/** Run a request now. */
struct admission_start
{
  ticket id = 0; ///< Number of the request.
  bool operator==(const admission_start&) const = default;
};

/** Refuse a request; it has not run. */
struct admission_refuse
{
  ticket id = 0;                                      ///< Number of the request.
  failure_reason reason = failure_reason::queue_full; ///< Why.
  std::int64_t retry_after_ms = 0;                    ///< When a slot may be free.
  bool operator==(const admission_refuse&) const = default;
};

using admission_effect = std::variant<admission_start, admission_refuse>;

/** Limits of the queue. */
struct admission_limits
{
  std::int64_t queue_limit;        ///< Requests that may wait.
  std::int64_t bulk_slots_percent; ///< Share of the slots that bulk work may hold.
};

/**
 * Slots and queue of one backend server. Interactive work goes before bulk; among the requests of
 * one class the customers take turns; a request is refused at once when its deadline would pass
 * before it could be done.
 */
class admission
{
public:
  /** @param limits Limits of the queue. */
  explicit admission(admission_limits limits)
    : limits_(limits)
  {
  }

  /**
   * Takes an event.
   * @param event The event.
   * @param now Current time.
   * @return What to do, in order.
   */
  std::vector<admission_effect> handle(const admission_event& event, mono_ms now);

  /** @param now Current time. @return What callers' edges are told. */
  load_report report(mono_ms now) const;

  /** @return Whether nothing runs or waits. */
  bool is_idle() const { return running_.empty() && waiting_count() == 0; }

  /** @param now Current time. @return Slots in use by policy; fewer while the server is cold. */
  std::uint32_t usable_slots(mono_ms now) const;

private:
  /** A request on a slot. */
  struct running_request
  {
    work_class kind;    ///< Lane.
    mono_ms started_at; ///< When.
  };

  /** The waiting requests of one class. Customers take turns. */
  struct class_queue
  {
    std::list<std::string> turns;                                ///< Customers with requests.
    std::map<std::string, std::deque<admission_arrival>> queues; ///< By customer.
    std::size_t size = 0;                                        ///< Requests of all customers.
  };

  void handle_arrival(const admission_arrival& event, mono_ms now);
  void finish(ticket id, mono_ms now);
  void cancel(ticket id);
  /** Refuses waiting requests that can no longer be done in time. */
  void refuse_expired(mono_ms now);
  /** Takes requests off the queues. */
  void remove_waiting(const std::function<bool(const admission_arrival&)>& is_over);
  void set_server(const server_info& info, mono_ms now);
  /** Starts what can start, and refuses what is too late. */
  void advance(mono_ms now);
  /** Whether a slot is free for a class. */
  bool has_slot(work_class kind, mono_ms now) const;
  /** Takes the next request of a class off its queue. */
  std::optional<admission_arrival> take_next(work_class kind);
  void start(const admission_arrival& request, mono_ms now);
  void refuse(ticket id, failure_reason reason, mono_ms now);
  void refuse_all_waiting(failure_reason reason, mono_ms now);
  /** Time after which a request that joins the queue of a class could be done. */
  mono_ms expected_ms(work_class kind, mono_ms now) const;
  std::size_t waiting_count() const;
  class_queue& class_queue_of(work_class kind)
  {
    return class_queues_[static_cast<std::size_t>(kind)];
  }

  admission_limits limits_;                                      ///< Limits of the queue.
  server_info card_;                                             ///< What the server says.
  mono_ms cold_since_ = 0;                                       ///< When it became cold.
  bool is_closed_ = false;                                       ///< The node is leaving.
  std::map<ticket, running_request> running_;                    ///< On slots.
  std::array<class_queue, WORK_CLASS_ROWS.size()> class_queues_; ///< Waiting, by class.
  std::array<double, WORK_CLASS_ROWS.size()> service_ms_{};      ///< Average time on a slot.
  std::vector<admission_effect> effects_;                        ///< Gathered by handle().
};

} // namespace shallotfield
