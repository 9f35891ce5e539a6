// The control thread: owns all control state, performs its effects, and hands versions and members
// to the traffic threads.
#pragma once
#include "control_base.h"
#include "edge_thread_base.h"
#include "listener_base.h"
#include "operators_port_base.h"
#include "server_thread_base.h"

#include <QTimer>
#include <memory>
#include <unordered_map>

namespace shallotfield {

/** Everything that one node process runs. Lives on the thread whose event loop is the control loop.
 */
class control_thread
{
public:
  std::function<void()> on_stopped; ///< The node has left; the process may end.

  /** @param options Settings. */
  explicit control_thread(settings options);
  ~control_thread();
  control_thread(const control_thread&) = delete;
  control_thread& operator=(const control_thread&) = delete;

  /**
   * Opens the ports and starts to serve.
   * @return Nothing; or setting_error that names the port that can't be opened.
   */
  boost::leaf::result<void> start();

  /** Begins to leave: no new work, what is open runs to its end. A second call ends at once. */
  void leave();

private:
  /** Raises an event and performs what follows. */
  void raise(const control_event& event);
  void perform(const control_effect& effect);
  void open(const open_link& effect);
  void accept(qintptr descriptor);
  void schedule_link_check(link_id id, framed_socket& socket);
  void handle_frame(link_id id, frame&& from);
  void close_link_socket(link_id id);
  void send(const send_control& effect);
  void read(const read_log& effect);
  void append(const append_log& effect);
  void check_drained();
  boost::leaf::result<std::uint16_t> open_port(listener& port,
                                               std::int64_t number,
                                               std::string_view key);

  settings options_;                                       ///< Settings.
  listener callers_port_;                                  ///< Callers' HTTP.
  listener control_port_;                                  ///< Control links from peers.
  std::unique_ptr<control> state_;                         ///< The decisions.
  std::unique_ptr<operators_port> operator_api_;           ///< Operators' HTTP.
  std::unique_ptr<log_service_client> log_;                ///< The platform's log.
  std::unique_ptr<server_thread> server_;                  ///< Traffic beside the server.
  std::vector<std::unique_ptr<edge_thread>> edge_threads_; ///< Traffic with callers.
  std::size_t next_edge_ = 0;                              ///< Edge for the next caller.
  std::unordered_map<link_id, std::unique_ptr<framed_socket>> link_sockets_; ///< Control links.
  link_id next_accepted_link_ = 2; ///< Even numbers: accepted links.
  endpoint server_address_;        ///< Where the server is.
  QTimer tick_timer_;              ///< The control tick.
  QTimer drain_check_timer_;       ///< Looks whether all is done.
  bool is_stopping_ = false;       ///< Nothing is raised any more.
  mono_ms leaving_since_ = 0;      ///< When leaving began.
};

} // namespace shallotfield
