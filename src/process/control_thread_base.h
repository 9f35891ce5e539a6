// The control thread of a node: owns the control state, performs its effects, and hands
// configuration versions and member views to the traffic threads.
#pragma once
#include "control_base.h"
#include "edge_thread_base.h"
#include "listener_base.h"
#include "operator_api_base.h"
#include "server_thread_base.h"

#include <QTimer>
#include <memory>
#include <unordered_map>

namespace shallotfield {

/**
 * A node process: the control state with its links and ports, one thread for requests to the local
 * backend server and several edge threads for callers. This class starts no thread for itself: the
 * control thread is the thread that created the object, and all calls and callbacks happen in the
 * event loop of that thread.
 */
class control_thread
{
public:
  std::function<void()> on_stopped; ///< Called when the node has left; the process may exit.

  explicit control_thread(settings options);
  ~control_thread();
  control_thread(const control_thread&) = delete;
  control_thread& operator=(const control_thread&) = delete;

  /**
   * Opens the ports and starts serving. Fails with setting_error, which names the setting of a port
   * that can't be opened.
   */
  boost::leaf::result<void> start();

  /**
   * Starts leaving the fleet: new requests are rejected and open ones may finish, within
   * drain_timeout_ms if it is set. A second call aborts the open requests and stops at once.
   */
  void leave();

private:
  /** Passes an event to the control state and performs the effects that it returns. */
  void raise(const control_event& event);
  void perform(const control_effect& effect);
  void open(const open_link& effect);
  void accept(qintptr descriptor);
  /** Sets the callbacks that every control link needs. */
  void set_link_callbacks(link_id id, framed_socket& socket);
  void handle_frame(link_id id, frame&& received);
  /** Closes the socket of a link. A link_ended event may follow, which the control state ignores if
   * it has dropped the link itself. */
  void close_link_socket(link_id id);
  void send(const send_control& effect);
  /** Reads from the log service. */
  void read(const read_log& effect);
  /** Appends to the log service; write_log() writes to the log of this process instead. */
  void append(const append_log& effect);
  /** Stops the process after the grace period, as soon as no request is open or the drain timeout
   * has passed. */
  void check_drained();
  /** Listens on a port; `key` is the setting to name in an error. */
  boost::leaf::result<std::uint16_t> open_port(listener& port,
                                               std::int64_t number,
                                               std::string_view key);

  settings options_;                           ///< Settings of the node.
  listener callers_port_;                      ///< Accepts callers' HTTP connections.
  listener control_port_;                      ///< Accepts control links from peers.
  std::unique_ptr<control> state_;             ///< Makes all control decisions.
  std::unique_ptr<operator_api> operator_api_; ///< HTTP API for operators.
  std::unique_ptr<log_service_client> log_;    ///< Client of the platform's log service.
  std::unique_ptr<server_thread> server_;      ///< Serves requests to the local backend server.
  std::vector<std::unique_ptr<edge_thread>> edge_threads_; ///< Threads that serve callers.
  std::size_t next_edge_ = 0; ///< Counts the callers; the edge threads get them in turn.
  /** Sockets of the control links. */
  std::unordered_map<link_id, std::unique_ptr<framed_socket>> link_sockets_;
  link_id next_accepted_link_ = 2; ///< Id of the next accepted link; outgoing links have odd ids.
  endpoint server_address_;        ///< Address that the backend server announced last.
  QTimer tick_timer_;              ///< Raises control_tick.
  QTimer drain_check_timer_;       ///< Runs check_drained() while the node is leaving.
  bool is_stopping_ = false;       ///< Set by the destructor; events are ignored from then on.
  mono_ms leaving_since_ = 0;      ///< When leave() was first called; 0 while serving.
};

} // namespace shallotfield
