// The control thread of a proxy: what it believes of its peers, its server and the configuration.
#pragma once
#include "beacon_relay.h"
#include "config_follower_base.h"
#include "connection/connection.h"
#include "listener_base.h"
#include "platform/platform.h"
#include "proxy_traffic_base.h"

#include <QTimer>
#include <QUdpSocket>
#include <boost/leaf/result.hpp>

namespace shallotfield {

/** Owns the control state of a proxy and its traffic thread. Lives on the main thread. */
class proxy_node
{
public:
  std::function<void()> on_stopped; ///< The process may end.

  /** @param options Settings. @param bounds The platform's bounds. */
  proxy_node(proxy_settings options, const platform::fleet_bounds& bounds);
  ~proxy_node();
  proxy_node(const proxy_node&) = delete;
  proxy_node& operator=(const proxy_node&) = delete;

  /** Opens the ports. @return Nothing; or setting_error that names the setting of a port. */
  boost::leaf::result<void> start();

  /** Takes no new work, finishes what is open, then ends. */
  void leave();

  /** Takes over bounds that changed. @param bounds The platform's bounds. */
  void set_bounds(const platform::fleet_bounds& bounds) { bounds_ = bounds; }

private:
  /** A transfer of a configuration from a peer. */
  struct pending_config_fetch
  {
    std::unique_ptr<framed_socket> socket; ///< Its connection.
    QTimer timeout;                        ///< Looks for silence of the peer.
    bool is_overdue = false;               ///< Another peer may be asked meanwhile.
    node_id node;                          ///< The peer.
    mono_ms started_at = 0;                ///< When the peer was asked.
  };

  // proxy_node.cpp: ticks, beacons and leaving.
  void tick();
  void detect_pause(mono_ms now);
  void refresh_beacon();
  void send_beacon_round();
  void send_urgent_beacons();
  void schedule_urgent_beacon(const node_id& id);
  void broadcast_beacon();
  void log_dropped_lines(mono_ms now);
  void send(const std::vector<beacon_batch>& plan);
  void receive_beacons();
  void handle_beacon(const node_beacon& beacon);
  void publish_peers();
  void advance_shutdown(mono_ms now);
  bool is_ready() const;

  // proxy_directory.cpp: finding peers through the store.
  void join();
  void read_directory(const std::string& after);
  void handle_directory_page(const platform::newest_page& page);
  void register_in_directory();
  void schedule_directory_retry();

  // proxy_config.cpp: the configuration.
  void raise_follow_event(const follow_event& event);
  void perform(const follow_effect& effect);
  void handle_newest_page(const platform::store_response& response);
  void handle_tail(const platform::store_response& response);
  void apply(const apply_config& effect);
  void start_config_fetch(const fetch_config& effect);
  void handle_fetched_config(std::uint64_t id, const frame& from);
  void handle_fetch_timeout(std::uint64_t id);
  void finish_fetch(std::uint64_t id, std::optional<std::string> text);
  void accept_config_request(qintptr descriptor);

  // proxy_announcements.cpp: the server beside the proxy, and the platform's questions.
  void accept_announcements(qintptr descriptor);
  void handle_announcement(http_session& session, const http_request& request);
  void accept_readiness_probe(qintptr descriptor);
  void accept_metrics_scrape(qintptr descriptor);
  void publish_server_status();
  void probe_server();

  /** Keeps HTTP sessions of the control thread until they end. */
  http_session& add_http_session(qintptr descriptor);

  proxy_settings options_;          ///< Settings.
  platform::fleet_bounds bounds_;   ///< The platform's bounds.
  node_beacon self_;                ///< This node, as its peers see it.
  QObject context_;                 ///< Owner of queued calls.
  peer_table peers_;                ///< The peers.
  server_watch server_;             ///< The server beside this proxy.
  config_follower follower_;        ///< Keeps the configuration up to date.
  route_table_ptr table_;           ///< In force.
  config_history configs_;          ///< The latest ones as they stand in the store.
  platform::store_client store_;    ///< The platform's store.
  proxy_traffic traffic_;           ///< The traffic thread.
  QUdpSocket beacon_socket_;        ///< Carries beacons.
  listener config_listener_;        ///< Answers peers that ask for the configuration.
  listener announcements_listener_; ///< The server announces itself here.
  listener readiness_listener_;     ///< The platform asks here.
  listener metrics_listener_;       ///< Serves the metrics.
  QTimer tick_timer_;               ///< Raises tick().
  std::map<std::uint64_t, std::unique_ptr<http_session>> sessions_; ///< Of the last three ports.
  std::map<std::uint64_t, std::unique_ptr<framed_socket>> config_connections_; ///< Peers that ask.
  std::map<std::uint64_t, std::unique_ptr<pending_config_fetch>> config_fetches_; ///< Asked peers.
  std::unique_ptr<http_client> probe_;       ///< Health check of a server not heard of yet.
  std::uint64_t next_id_ = 1;                ///< Number of the next session or transfer.
  mono_ms started_at_ = 0;                   ///< Start of the process.
  mono_ms last_tick_at_ = 0;                 ///< When tick() ran last.
  mono_ms next_beacon_at_ = 0;               ///< When to send beacons.
  std::uint64_t beacon_round_ = 0;           ///< Counts them.
  std::set<node_id> urgent_nodes_;           ///< Nodes whose beacons are passed on at once.
  std::set<node_id> new_peers_;              ///< New peers that get a beacon at once.
  int broadcasts_remaining_ = 0;             ///< Beacons that tell everybody of a new version.
  mono_ms next_dropped_lines_report_at_ = 0; ///< When to say how many log lines were left out.
  std::uint64_t dropped_lines_reported_ = 0; ///< As said last.
  bool is_peer_view_stale_ = false;          ///< The traffic thread has an older view.
  mono_ms next_probe_at_ = 0;                ///< When to look for the server.
  mono_ms no_live_peer_since_ = 0;           ///< Since when no peer lives.
  bool is_in_directory_ = false;             ///< This node's address stands there.
  bool is_directory_read_ = false;           ///< It was read at least once.
  bool is_directory_call_pending_ = false;   ///< A call for it is under way.
  mono_ms next_directory_call_at_ = 0;       ///< When to try again.
  mono_ms leaving_since_ = 0;                ///< When leave() was called; 0: not yet.
  bool is_leave_announced_ = false;          ///< Peers were told that this process ends.
  bool is_draining_ = false;                 ///< Callers' connections are being closed.
  bool are_requests_ended_ = false;          ///< What was still open has been answered.
  bool was_ready_ = false;                   ///< As told last.
};

} // namespace shallotfield
