// The server thread: receives requests for the local backend server from the edge threads of all
// nodes, admits them to the server's slots and streams the responses back.
#pragma once
#include "request/request.h"

#include "listener_base.h"
#include "worker_thread_base.h"

#include <QTimer>
#include <unordered_map>

namespace shallotfield {

/**
 * The traffic thread of the local backend server. `admission` decides which requests get a slot,
 * and `key_table` and decide_key() whether a request with an idempotency key may run; this class
 * performs what they decide. The private functions run on the thread itself.
 */
class server_thread
{
public:
  /** Starts the thread and opens the traffic port; port() tells whether that succeeded. */
  explicit server_thread(const settings& options);
  ~server_thread();
  server_thread(const server_thread&) = delete;
  server_thread& operator=(const server_thread&) = delete;

  /** Returns the traffic port; 0 if it could not be opened. */
  std::uint16_t port() const { return port_; }

  /** Sets the address and the announcement of the backend server. Thread-safe. */
  void set_server(const endpoint& address, const server_info& info);

  /** Sets the members of the fleet. Thread-safe. */
  void set_members(member_view_ptr view);

  /** Sets the configuration version in force. Thread-safe. */
  void set_version(compiled_version_ptr version);

  /**
   * Sets the end of the node's fleet lease. Requests with an idempotency key run only before it,
   * since afterwards other nodes may consider this node gone and run requests with its keys.
   * Thread-safe.
   */
  void set_lease(mono_ms until);

  /** Rejects new requests from now on; open ones run to their end. Thread-safe. */
  void start_draining();

  /**
   * Returns the number of open requests, plus the links with unsent response bytes. Waits for the
   * thread, so it must not be called on it.
   */
  std::size_t open_requests();

private:
  using session_id = std::uint64_t;

  /** A traffic link that an edge thread opened. A ticket is this node's own id of a request. */
  struct edge_session
  {
    std::unique_ptr<framed_socket> socket;     ///< Connection to the edge.
    std::unordered_map<call_id, ticket> calls; ///< Open requests, by their call id on the link.
  };

  /** An open request. */
  struct server_call
  {
    session_id session = 0;    ///< Link that it arrived on.
    call_open request;         ///< The request as received.
    mono_ms deadline = 0;      ///< When the caller stops waiting.
    bool is_key_owner = false; ///< This is the one request that runs for its key.
    bool is_admitted = false;  ///< Admission gave it a slot and it was sent to the server.
    bool is_wanted = true;     ///< The edge still wants the response.
    std::unique_ptr<http_client> client; ///< Connection to the server while the request has a slot.
    std::int64_t credit = 0; ///< Response bytes that the edge accepts before it grants more credit.
    std::uint64_t sent_bytes = 0;                 ///< Response body bytes passed on so far.
    std::optional<cached_response> response_copy; ///< Copy of the response for the key table.
    std::size_t open_queries = 0;                 ///< Former homes that have not replied yet.
    /** Paused by the rate limit of bulk traffic between regions, whose links are paid. */
    bool is_throttled = false;
  };

  /** An open key_query to a former home of a key. Each has its own connection. */
  struct key_home_query
  {
    std::unique_ptr<framed_socket> socket; ///< Connection to the former home.
    ticket waiting_call = 0;               ///< Request that waits for the reply.
  };

  /** An idle connection to the backend server. */
  struct idle_client
  {
    std::unique_ptr<http_client> client; ///< Connection to the server.
    mono_ms since = 0;                   ///< When it became idle.
  };

  void accept(qintptr descriptor);
  void handle_frame(session_id id, frame&& received);
  void end_session(session_id id);
  void handle_call_open(session_id id, call_open&& request);
  void handle_call_cancel(session_id id, call_id call);
  void handle_call_credit(session_id id, const call_credit& credit);
  void handle_key_query(session_id id, const key_query& query);
  /** Looks up the key of a new request: replays, joins, rejects, or decides whether it may run. */
  void look_up_key(ticket id);
  void deny_key(ticket id, failure_reason reason);
  /** Decides whether this node may run a key that its key table does not know. */
  void decide_key_permission(ticket id);
  /** Asks former homes of the key to promise that they have not run it and never will. */
  void query_former_homes(ticket id, const std::vector<node_id>& former);
  /** Ends a key query; the request is admitted once all its queries ended with a promise. */
  void finish_key_query(std::uint64_t query_id, key_claim claim);
  /** Hands a request to admission, which gives it a slot, queues it or rejects it. */
  void request_admission(ticket id);
  /** Passes an event to admission and performs the effects that it returns. */
  void raise(const admission_event& event);
  /** Sends a request that got a slot to the server. */
  void send_to_server(ticket id);
  /** Takes an idle connection to the server, or opens one. Unless `may_be_stale` is set, it drops
   * connections that the server may be closing. */
  std::unique_ptr<http_client> acquire_client(bool may_be_stale);
  void handle_response_piece(ticket id, response_piece&& piece);
  void handle_client_failure(ticket id, http_client_error why);
  /** Frees the slot of a request, and keeps its connection for reuse or closes it. */
  void release_slot(ticket id, bool keeps_connection);
  /** Ends a request without a complete response and tells its edge why. */
  void fail_call(ticket id, failure_reason reason, outcome result, std::int64_t retry_after_ms);
  /** Records in the key table how the request that owns a key ended. */
  void record_key_outcome(ticket id, failure_reason reason, outcome result);
  /** Ends the requests that waited for another one with the same key. */
  void finish_joined(const std::vector<ticket>& joined,
                     const std::optional<cached_response>& response,
                     failure_reason reason,
                     outcome result);
  /** Ends a request with the response that the key table holds for its key. */
  void replay(ticket id, const cached_response& response);
  void send(const server_call& call, const traffic_message& message);
  /** Refills the token bucket for bulk traffic between regions and resumes paused responses. */
  void refill_bulk_bytes();
  /** Whether the response counts against that bucket: a bulk request from another region. */
  bool is_rate_limited(const server_call& call) const;
  void tick();
  /** Deletes an object from the event loop, as it may be running one of its callbacks now. */
  void defer_delete(std::shared_ptr<void> object);
  /** Digest that tells different requests with the same key apart. */
  std::string fingerprint(const call_open& request) const;

  settings options_;        ///< Settings of the node.
  unix_ms started_;         ///< Start of this process; an earlier process may have run older keys.
  std::uint16_t port_ = 0;  ///< Port that the listener got.
  endpoint server_address_; ///< Address of the backend server.
  service_id service_;      ///< Service that it runs.
  admission admission_;     ///< Slots of the server and the queue for them.
  key_table keys_;          ///< Idempotency keys that this node has seen.
  member_view_ptr view_;    ///< Members of the fleet.
  compiled_version_ptr version_;                        ///< Configuration version in force.
  mono_ms lease_until_ = 0;                             ///< End of the fleet lease.
  std::map<session_id, edge_session> sessions_;         ///< Links from edges.
  std::map<ticket, server_call> calls_;                 ///< Open requests.
  std::map<std::uint64_t, key_home_query> key_queries_; ///< Open key queries.
  std::vector<idle_client> idle_;         ///< Idle connections to the server, latest last.
  std::uint64_t next_id_ = 1;             ///< Next id of a link, request or key query.
  std::int64_t bulk_bytes_available_ = 0; ///< Tokens: bulk bytes that may cross regions.
  mono_ms bulk_refilled_at_ = 0;          ///< When the bucket was last refilled.
  std::unique_ptr<listener> listener_;    ///< Listens on the traffic port.
  std::unique_ptr<QTimer> timer_;         ///< Calls tick(); also the context of queued calls.
  worker_thread thread_; ///< Declared last, so that it stops before other members are destroyed.
};

} // namespace shallotfield
