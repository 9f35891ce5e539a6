// An edge thread: serves the connections of callers and forwards their requests over traffic links
// to the backend servers' nodes.
#pragma once
#include "request/request.h"

#include "worker_thread_base.h"

#include <QTimer>
#include <unordered_map>

namespace shallotfield {

/**
 * A traffic thread with its share of a node's callers. The decisions about each request are made by
 * handle_call_event(); this class performs the effects. The private functions run on the thread
 * itself.
 */
class edge_thread
{
public:
  /**
   * Starts the thread. `index` is the index of the thread in its node; it is part of the request
   * ids, which makes them unique. `version` is the configuration version in force.
   */
  edge_thread(const settings& options,
              std::size_t index,
              compiled_version_ptr version,
              member_view_ptr view);
  ~edge_thread();
  edge_thread(const edge_thread&) = delete;
  edge_thread& operator=(const edge_thread&) = delete;

  /** Takes ownership of the socket of an accepted caller. Thread-safe. */
  void accept(qintptr descriptor);

  /** Sets the configuration version for new requests; open ones keep theirs. Thread-safe. */
  void set_version(compiled_version_ptr version);

  /** Sets the members of the fleet. Thread-safe. */
  void set_members(member_view_ptr view);

  /**
   * Returns the number of callers with an open request or with unsent response bytes. Waits for the
   * thread, so it must not be called on it.
   */
  std::size_t open_requests();

  /** Rejects new requests from now on; open ones run to their end. Thread-safe. */
  void start_draining();

private:
  using caller_id = std::uint64_t;

  /**
   * The connection of a caller with its open request. The `call` here is that request; on a link, a
   * call is one attempt of a request, and a call id identifies the attempt.
   */
  struct caller
  {
    std::unique_ptr<http_session> session; ///< HTTP side of the connection.
    std::unique_ptr<call_state> call;      ///< State of the open request; null if there is none.
    std::vector<std::pair<std::string, call_id>> attempts; ///< Link and call id of each attempt.
    std::uint64_t generation = 0; ///< Number of the request; events of older ones are ignored.
    std::int64_t pending_credit_bytes = 0; ///< Response bytes received, but not yet credited back.
    bool is_gone = false;                  ///< Whether the connection has ended.
  };

  /** Identifies the attempt that the response messages with a given call id on a link belong to. */
  struct response_target
  {
    caller_id owner = 0;          ///< Caller that sent the request.
    std::uint64_t generation = 0; ///< Which of its requests.
    attempt_index attempt = 0;    ///< Which attempt of the request.
  };

  /** A traffic link to a backend server's node. */
  struct traffic_link
  {
    std::unique_ptr<framed_socket> socket;              ///< Connection to the node.
    call_id next_call = 1;                              ///< Id of the next call on this link.
    std::unordered_map<call_id, response_target> calls; ///< Open calls.
  };

  /** The part of accept() that runs on the thread. */
  void accept_on_thread(qintptr descriptor);
  void handle_request(caller_id id, http_request&& request);
  /** Passes an event to a request and performs the effects, unless the request has ended. */
  void raise(caller_id id, std::uint64_t generation, const call_event& event);
  void perform(caller_id id, const call_effect& effect);
  void open(caller_id id, const open_attempt& effect);
  void send_cancel(caller& owner, const cancel_attempt& effect);
  void send_credit(caller& owner, const grant_credit& effect);
  void send_failure_response(caller& owner, const refuse_caller& effect);
  /** Ends the open request of a caller and removes its attempts from their links. */
  void end_call(caller_id id);
  void remove_caller(caller_id id);
  /** Raises response_bytes_written once enough response bytes have left the send buffer. */
  void replenish_credit(caller_id id);
  /** Finds the link with a name, or opens it. */
  traffic_link& get_or_open_link(const std::string& name, const member_record& node);
  void handle_frame(const std::string& name, frame&& received);
  /** Deletes a link that has ended and fails its open calls. */
  void handle_link_end(const std::string& name, link_close_reason why);

  settings options_;                          ///< Settings of the node.
  std::string request_prefix_;                ///< Common prefix of the request ids of this thread.
  std::uint64_t next_request_ = 1;            ///< Number of the next request.
  compiled_version_ptr version_;              ///< Configuration version for new requests.
  edge_state edge_;                           ///< State that the requests of this thread share.
  std::map<caller_id, caller> callers_;       ///< Connected callers.
  caller_id next_caller_ = 1;                 ///< Id of the next caller.
  std::map<std::string, traffic_link> links_; ///< Keyed by node, incarnation and work class.
  bool is_draining_ = false;                  ///< New requests are rejected.
  std::unique_ptr<QObject> context_; ///< Context of timers and queued calls; lives on the thread.
  worker_thread thread_; ///< Declared last, so that it stops before other members are destroyed.
};

} // namespace shallotfield
