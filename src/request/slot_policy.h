// Which requests run on the slots of the backend server, which wait, and which are refused. Answers
// the pattern of a crest: more requests arrive for some seconds than the server can run.
#pragma once
#include "table/failure_response_table.h"

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace shallotfield {

/** Number of a request beside the server; never used again in the process. */
using slot_ticket = std::uint64_t;

/** A request that asks for a slot. */
struct slot_arrival
{
  slot_ticket id = 0;        ///< Number of the request.
  std::string work;          ///< Kind of work, by which service times are learnt.
  std::int64_t priority = 0; ///< Rank; 0 is the highest.
  mono_ms objective_at = 0;  ///< Until when its answer is fully useful.
  mono_ms deadline = 0;      ///< When it has to be over.
  std::int64_t fleet_service_ms =
    0; ///< Time that such requests take on slots of any server; 0: not known.
};

/** A request that left its slot. */
struct slot_finished
{
  slot_ticket id = 0; ///< Number of the request.
  bool has_complete_response =
    false; ///< The server answered, so that its time says how long work takes.
};

/** A request that was given up on its slot, since its time was over. */
struct slot_timed_out
{
  slot_ticket id = 0; ///< Number of the request.
};

/** A request whose answer is no longer wanted. */
struct slot_cancelled
{
  slot_ticket id = 0; ///< Number of the request.
};

/** The server's slots changed, or whether it takes work. */
struct slot_server_changed
{
  std::uint32_t slots = 0; ///< Requests that it runs at once.
  bool takes_work = false; ///< Whether new requests may go there.
  bool is_new = false;     ///< Another incarnation, of which nothing is known.
};

/** Some time passed. */
struct slot_timer
{};

using slot_event = std::variant<slot_arrival,
                                slot_finished,
                                slot_timed_out,
                                slot_cancelled,
                                slot_server_changed,
                                slot_timer>;

/** Send a request to the server now. */
struct slot_start
{
  slot_ticket id = 0; ///< Number of the request.
  bool operator==(const slot_start&) const = default;
};

/** Refuse a request; it has not run. */
struct slot_refuse
{
  slot_ticket id = 0;                                 ///< Number of the request.
  failure_reason reason = failure_reason::queue_full; ///< Why.
  std::int64_t retry_after_ms = 0;                    ///< When a slot may be free.
  bool operator==(const slot_refuse&) const = default;
};

using slot_effect = std::variant<slot_start, slot_refuse>;

/**
 * The slots of one server with a queue in front. The queue is ordered by priority, then by
 * objective, so the short calls of running requests go before new requests of their rank. Requests
 * that can no longer be in time get what those of their rank leave, for a while. What can't be
 * served is refused at once.
 */
class slot_queue
{
public:
  /** Takes an event. @param event The event. @param now Current time. @return What to do. */
  std::vector<slot_effect> handle(const slot_event& event, mono_ms now);

  /** @return What callers' nodes are told. */
  load_report report() const;

  /** @return Requests that run or wait. */
  std::size_t size() const { return running_.size() + waiting_.size(); }

  /** @return Whether requests wait for a slot. */
  bool has_waiting() const { return !queue_.empty(); }

  /** @param work Kind of work. @return Expected time on a slot, in ms. */
  double expected_ms(const std::string& work) const;

private:
  /** Order of the queue. */
  using rank = std::tuple<std::int64_t, mono_ms, slot_ticket>;

  /** A request in the queue. */
  struct waiting_request : slot_arrival
  {
    mono_ms latest_start_at = 0; ///< When it has to start at the latest.
  };

  /** A request on a slot. */
  struct running_request
  {
    std::string work;                  ///< Kind of work.
    mono_ms started_at = 0;            ///< When.
    std::int64_t fleet_service_ms = 0; ///< As its arrival said.
  };

  void on(const slot_arrival& event, mono_ms now);
  void on(const slot_finished& event, mono_ms now);
  void on(const slot_timed_out& event, mono_ms now);
  void on(const slot_cancelled& event, mono_ms now);
  void on(const slot_server_changed& event, mono_ms now);
  void on(const slot_timer& event, mono_ms now);
  /** Notes how long a request took, or has taken so far. */
  void record_service_time(const running_request& request, double taken_ms);
  /** Starts what can start; refuses what is too late. */
  void advance(mono_ms now);
  /** Whether a request can be expected to be in time if it starts at a moment. */
  bool can_meet_objective(const slot_arrival& request, mono_ms start_at) const;
  /** Time until a slot is free for a request, if it counts as one that can be in time or not. */
  double expected_wait_ms(const slot_arrival& request, bool counts_as_timely, mono_ms now) const;
  /** When a request has to start at the latest. */
  mono_ms latest_start_of(const slot_arrival& request, mono_ms now) const;
  /** The waiting request that gets the next slot. */
  std::set<rank>::iterator next_to_start(mono_ms now);
  void refuse(slot_ticket id, failure_reason reason, double retry_after_ms);
  static rank rank_of(const slot_arrival& request)
  {
    return { request.priority, request.objective_at, request.id };
  }

  std::uint32_t slots_ = 0;                        ///< Of the server.
  bool takes_work_ = false;                        ///< Whether new requests may start.
  std::map<slot_ticket, running_request> running_; ///< On slots.
  std::map<slot_ticket, waiting_request> waiting_; ///< In the queue.
  std::set<rank> queue_;                           ///< Order of the queue.
  std::map<std::string, double> service_ms_;       ///< Average time on a slot, by kind of work.
  double average_ms_ = 0;                          ///< The same over all kinds; 0: not known.
  double slowness_ = 1;                            ///< Time on a slot against what is usual.
  std::size_t compared_requests_ = 0;              ///< Requests that it rests on.
  std::vector<slot_effect> effects_;               ///< Gathered by handle().
};

} // namespace shallotfield
