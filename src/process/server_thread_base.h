// The traffic thread beside the backend server: takes requests from the edges of all nodes, lets
// them onto the server's slots, and passes the answers back.
#pragma once
#include "request/request.h"

#include "listener_base.h"
#include "worker_thread_base.h"

#include <QTimer>
#include <unordered_map>

namespace shallotfield {

/** Performs what admission and the key book decide. */
class server_thread
{
public:
  /**
   * Starts the thread and opens the traffic port.
   * @param options Settings.
   */
  explicit server_thread(const settings& options);
  ~server_thread();
  server_thread(const server_thread&) = delete;
  server_thread& operator=(const server_thread&) = delete;

  /** @return The traffic port; 0 if it could not be opened. */
  std::uint16_t port() const { return port_; }

  /** Sets where the server is and what it says. Any thread. @param at Address. @param card Card. */
  void set_server(const endpoint& at, const server_info& info);

  /** Swaps the members. Any thread. @param view The members. */
  void set_members(member_view_ptr view);

  /** Swaps the version. Any thread. @param version The version. */
  void set_version(compiled_version_ptr version);

  /** Sets until when the node counts as in touch. Any thread. @param until End of the lease. */
  void set_lease(mono_ms until);

  /** Refuses new work from now on. Any thread. */
  void start_draining();

  /** Counts the open requests. Any thread but this one. @return How many there are. */
  std::size_t open_requests();

private:
  using session_id = std::uint64_t;

  /** A link from an edge. */
  struct edge_session
  {
    std::unique_ptr<framed_socket> socket;     ///< The connection.
    std::unordered_map<call_id, ticket> calls; ///< Calls under way.
  };

  /** A request under way. */
  struct server_call
  {
    session_id session = 0;              ///< Where it came from.
    call_open request;                   ///< The request.
    mono_ms deadline = 0;                ///< When it has to be over.
    bool is_key_owner = false;           ///< The one request that runs for its key.
    bool is_admitted = false;            ///< It has a slot.
    bool is_wanted = true;               ///< Its edge still wants the answer.
    std::unique_ptr<http_client> client; ///< The server's connection, while it has a slot.
    std::int64_t credit = 0;             ///< Bytes of the answer that may be sent.
    std::uint64_t sent_bytes = 0;        ///< Bytes of the answer that were sent.
    std::optional<cached_response> kept; ///< The answer so far, for the key book.
    std::size_t open_queries = 0;        ///< Former homes that have not answered.
    bool is_throttled = false;           ///< It waits for the paid link's rate.
  };

  /** A query to a former home, on a link of its own. */
  struct key_home_query
  {
    std::unique_ptr<framed_socket> socket; ///< The connection.
    ticket waiting_call = 0;               ///< The request that waits.
  };

  /** A connection to the server that can be used again. */
  struct idle_client
  {
    std::unique_ptr<http_client> client; ///< The connection.
    mono_ms since = 0;                   ///< When it became idle.
  };

  void accept(qintptr descriptor);
  void handle_frame(session_id id, frame&& from);
  void end_session(session_id id);
  void handle_call_open(session_id id, call_open&& request);
  void handle_call_cancel(session_id id, call_id call);
  void handle_call_credit(session_id id, const call_credit& credit);
  void handle_key_query(session_id id, const key_query& query);
  void look_up_key(ticket id);
  void deny_key(ticket id, failure_reason reason);
  void decide_key_permission(ticket id);
  void query_former_homes(ticket id, const std::vector<node_id>& former);
  void finish_key_query(std::uint64_t check, key_claim claim);
  void request_admission(ticket id);
  void raise(const admission_event& event);
  void start(ticket id);
  std::unique_ptr<http_client> acquire_client(bool may_be_stale);
  void take_piece(ticket id, response_piece&& piece);
  void handle_client_failure(ticket id, http_client_error why);
  void finish(ticket id, bool keeps_connection);
  void refuse(ticket id, failure_reason reason, outcome result, std::int64_t retry_after_ms);
  void record_key_outcome(ticket id, failure_reason reason, outcome result);
  void finish_joined(const std::vector<ticket>& joined,
                     const std::optional<cached_response>& answer,
                     failure_reason reason,
                     outcome result);
  void replay(ticket id, const cached_response& answer);
  void send(const server_call& call, const traffic_message& message);
  void refill_bulk_bytes();
  bool is_rate_limited(const server_call& call) const;
  void tick();
  void defer_delete(std::shared_ptr<void> object);
  std::string fingerprint(const call_open& request) const;

  settings options_;                                    ///< Settings.
  unix_ms started_;                                     ///< Start of the process.
  std::uint16_t port_ = 0;                              ///< The traffic port.
  endpoint server_address_;                             ///< Where the server is.
  service_id service_;                                  ///< What the server runs.
  admission admission_;                                 ///< Slots and queue.
  key_table keys_;                                      ///< Request keys.
  member_view_ptr view_;                                ///< The members.
  compiled_version_ptr version_;                        ///< The version in force.
  mono_ms lease_until_ = 0;                             ///< In touch until then.
  std::map<session_id, edge_session> sessions_;         ///< Links from edges.
  std::map<ticket, server_call> calls_;                 ///< Requests under way.
  std::map<std::uint64_t, key_home_query> key_queries_; ///< Queries under way.
  std::vector<idle_client> idle_;                       ///< Connections to the server.
  std::uint64_t next_id_ = 1;                           ///< Next session, ticket or query.
  std::int64_t bulk_bytes_available_ = 0;               ///< Bulk bytes that may cross regions now.
  mono_ms bulk_refilled_at_ = 0;                        ///< When they were counted.
  std::unique_ptr<listener> listener_;                  ///< The traffic port.
  std::unique_ptr<QTimer> timer_;                       ///< Ticks; also the owner of deferred work.
  worker_thread thread_; ///< The thread; last, so that it ends first.
};

} // namespace shallotfield
