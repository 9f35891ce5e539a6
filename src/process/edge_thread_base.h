// A traffic thread that serves callers: their connections, and the links to the nodes beside
// backend servers.
#pragma once
#include "request/request.h"

#include "worker_thread_base.h"

#include <QTimer>
#include <unordered_map>

namespace shallotfield {

/** Performs the effects of the requests of the callers that are connected to it. */
class edge_thread
{
public:
  /**
   * @param options Settings.
   * @param index Number of the thread in this node, for request ids.
   * @param version The version in force.
   * @param view The members.
   */
  edge_thread(const settings& options,
              std::size_t index,
              compiled_version_ptr version,
              member_view_ptr view);
  ~edge_thread();
  edge_thread(const edge_thread&) = delete;
  edge_thread& operator=(const edge_thread&) = delete;

  /** Takes a caller's connection over. Any thread. @param descriptor Its socket descriptor. */
  void accept(qintptr descriptor);

  /** Swaps the version that new requests begin with. Any thread. @param version The version. */
  void set_version(compiled_version_ptr version);

  /** Swaps the members. Any thread. @param view The members. */
  void set_members(member_view_ptr view);

  /** Counts the open requests. Any thread but this one. @return How many there are. */
  std::size_t open_requests();

  /** Closes idle connections, and others after their request. Any thread. */
  void start_draining();

private:
  using caller_id = std::uint64_t;

  /** A caller's connection with its open request. */
  struct caller
  {
    std::unique_ptr<http_session> session;                 ///< The connection.
    std::unique_ptr<call_state> call;                      ///< The open request.
    std::vector<std::pair<std::string, call_id>> attempts; ///< Link and number of each attempt.
    std::uint64_t generation = 0;                          ///< Grows with each request.
    std::int64_t pending_credit_bytes = 0;                 ///< Bytes for which no credit went back.
    bool is_gone = false;                                  ///< The connection ended.
  };

  /** Where the answers to a call go. */
  struct response_target
  {
    caller_id owner = 0;          ///< The caller.
    std::uint64_t generation = 0; ///< Its request.
    attempt_index attempt = 0;    ///< The attempt.
  };

  /** A link to the node beside a server. */
  struct traffic_link
  {
    std::unique_ptr<framed_socket> socket;              ///< The connection.
    call_id next_call = 1;                              ///< Number of the next call.
    std::unordered_map<call_id, response_target> calls; ///< Calls under way.
  };

  void accept_on_thread(qintptr descriptor);
  void handle_request(caller_id id, http_request&& request);
  void raise(caller_id id, std::uint64_t generation, const call_event& event);
  void perform(caller_id id, const call_effect& effect);
  void open(caller_id id, const open_attempt& effect);
  void cancel(caller& owner, const cancel_attempt& effect);
  void credit(caller& owner, const grant_credit& effect);
  void refuse(caller& owner, const refuse_caller& effect);
  void end_call(caller_id id);
  void remove_caller(caller_id id);
  void replenish_credit(caller_id id);
  traffic_link& get_or_open_link(const std::string& name, const member_record& node);
  void handle_frame(const std::string& name, frame&& from);
  void handle_link_end(const std::string& name, link_close_reason why);

  settings options_;                          ///< Settings.
  std::string request_prefix_;                ///< Start of the request ids of this thread.
  std::uint64_t next_request_ = 1;            ///< Number of the next request.
  compiled_version_ptr version_;              ///< What new requests begin with.
  edge_state edge_;                           ///< What the requests share.
  std::map<caller_id, caller> callers_;       ///< By number.
  caller_id next_caller_ = 1;                 ///< Number of the next connection.
  std::map<std::string, traffic_link> links_; ///< By node, incarnation and lane.
  bool is_draining_ = false;                  ///< The node is leaving.
  std::unique_ptr<QObject> context_;          ///< Owns the timers; lives on the thread.
  worker_thread thread_;                      ///< The thread; last, so that it ends first.
};

} // namespace shallotfield
