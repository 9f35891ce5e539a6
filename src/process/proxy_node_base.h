// The control thread of a proxy. It maintains the state of the peers, of the local backend server
// and of the configuration, and passes changes on to the traffic thread.
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

/** Owns the control state of a proxy and its traffic thread. It is used on the main thread only. */
class proxy_node
{
public:
  std::function<void()> on_stopped; ///< Called when the shutdown is complete; the process may exit.

  proxy_node(proxy_settings options, const platform::fleet_bounds& bounds);
  ~proxy_node();
  proxy_node(const proxy_node&) = delete;
  proxy_node& operator=(const proxy_node&) = delete;

  /** Opens all ports and starts the traffic thread. If a port cannot be opened, the error is a
   * setting_error with the name of the port's setting. */
  boost::leaf::result<void> start();

  /**
   * Starts a graceful shutdown: the proxy reports that it is not ready, stops accepting work and
   * completes the open requests within the platform's grace period, then calls on_stopped. A second
   * call ends the shutdown at once and leaves open requests unanswered.
   */
  void leave();

  /** Replaces the platform's bounds. Only the grace period takes effect; the limits on retries stay
   * as they were at the start. */
  void set_bounds(const platform::fleet_bounds& bounds) { bounds_ = bounds; }

private:
  /** A pending fetch of a configuration from a peer. */
  struct pending_config_fetch
  {
    std::unique_ptr<framed_socket> socket; ///< Connection to the peer.
    QTimer timeout;                        ///< Restarted whenever bytes arrive from the peer.
    bool is_overdue = false;               ///< The peer is slow, and another one may be asked too.
    node_id node;                          ///< Peer that was asked.
    mono_ms started_at = 0;                ///< When the peer was asked.
  };

  /** A call to the store about a rejected request that is due or under way. */
  struct suspect_write
  {
    mono_ms due_at = 0;
    int remaining = 0;        ///< Remaining number of attempts.
    std::uint64_t change = 0; ///< Number of the change that is to be written.
  };

  /** A crash record that is sent to all peers. */
  struct crash_news
  {
    crash_record record;
    int remaining = 0; ///< Remaining number of times.
  };

  // proxy_node.cpp: timer ticks, beacons and shutdown.
  void tick();
  void detect_pause(mono_ms now);
  void refresh_beacon();
  void send_beacon_round();
  void send_urgent_beacons();
  void schedule_urgent_beacon(const node_id& id);
  /** Sends this node's beacon to all peers, including those that are down. */
  void broadcast_beacon();
  void log_dropped_lines(mono_ms now);
  void send(const std::vector<beacon_batch>& plan);
  /** Sends datagrams to the control port of the proxy on a host. */
  void send_datagrams(const std::vector<std::string>& datagrams, const std::string& host);
  void receive_datagrams();
  /** Handles a datagram with beacons. Returns whether it changed what is known of the peers. */
  bool receive_beacons(std::string_view datagram);
  /** Handles the beacon of a peer. Returns whether it changed what is known of the peer. */
  bool handle_beacon(const node_beacon& beacon);
  void publish_peers();
  /** Returns when requests that are still open are ended in a shutdown. */
  mono_ms shutdown_at() const;
  /** Performs the steps of the shutdown that are due. */
  void advance_shutdown(mono_ms now);
  bool is_ready() const;

  // proxy_crash_news.cpp: requests that were at work when servers crashed.
  /** Records that the local server crashed. */
  void record_crash(const report_crash& report);
  /** Records that a lost request was not at work at a crash. */
  void withdraw(const withdraw_crash& withdrawal);
  /** Records that a rejected request is on trial at the local server. */
  void record_trial(const report_trial& report);
  /** Records that the local server completed a request that crashes speak against. */
  void record_acquittal(const request_digest& request);
  /** Sends records to all peers, and passes the changed suspects on to the traffic thread. */
  void announce_crash_news(const std::vector<crash_record>& news);
  void publish_suspects();
  void send_crash_news();
  void send_crash_records(const std::vector<crash_record>& records,
                          const std::vector<node_id>& targets);
  void remind_of_crashes(mono_ms now);
  /** Raises an event of trial_review and announces the records that it changes. */
  void review_trial(const review_event& event, mono_ms now);
  /** Returns the number of peers whose server provides the service of the local one. */
  std::size_t count_other_servers() const;
  void tell_new_peers_of_crashes();
  /** Handles the crash records of a peer. Returns whether they changed what is known. */
  bool receive_crash_records(std::string_view datagram, const QHostAddress& sender);

  // proxy_quota.cpp: quotas of client accounts, which hold over the whole fleet.
  /** Takes the quotas of the configuration in force. */
  void apply_quotas();
  /** Adds requests of client accounts that the traffic thread has counted. */
  void record_quota_use(const std::vector<account_count>& counts);
  void advance_quotas(mono_ms now);
  void perform(const quota_effect& effect);
  void receive_quota_message(std::string_view datagram, const QHostAddress& sender);

  // proxy_suspect_store.cpp: rejected requests in the store, which outlive all processes.
  /** Schedules a call that stores a request, or removes it if it is no longer rejected. */
  void schedule_suspect_write(const request_digest& request);
  void write_due_suspects(mono_ms now);
  void write_suspect(const request_digest& request);
  /** Adds a rejected request that a node has stored. */
  void restore_suspect(const platform::keyed_record& record);

  // proxy_directory.cpp: discovery of peers through the store.
  /** Registers this node in the directory or reads the directory, whichever is due. */
  void advance_discovery();
  void read_directory(const std::string& after);
  /** Adds the peers of a page, which follows the key `after`, and reads the next page. */
  void handle_directory_page(const platform::newest_page& page, const std::string& after);
  void register_in_directory();
  void schedule_directory_retry();
  /** Reports records of the store that were left out because they are invalid. */
  void report_rejected_records(std::string_view edge, std::size_t records);

  // proxy_config.cpp: reading, fetching, applying and serving the configuration.
  void raise_follow_event(const follow_event& event);
  void perform(const follow_effect& effect);
  /** Reads a page of the operator's topic, which holds the configuration. `after` is the last key
   * of the previous page, and `end` is the end of the topic as the first page gave it. */
  void read_newest_page(const std::string& after, std::optional<std::uint64_t> end);
  void handle_newest_page(const platform::store_response& response,
                          const std::string& after,
                          std::optional<std::uint64_t> end);
  void handle_tail(const platform::store_response& response);
  void apply(const apply_config& effect);
  void start_config_fetch(const fetch_config& effect);
  void handle_fetched_config(std::uint64_t id, const frame& from);
  /** Allows a fetch from another peer after the first timeout, and aborts the fetch after the
   * second one. */
  void handle_fetch_timeout(std::uint64_t id);
  void finish_fetch(std::uint64_t id, std::optional<std::string> text);
  void accept_config_request(qintptr descriptor);

  // proxy_rollouts.cpp: roll-outs that the operator ordered.
  void raise_rollout_event(const rollout_event& event);
  void perform(const rollout_effect& effect);
  /** Takes the orders among records of the operator's topic. */
  void take_rollout_orders(const std::vector<platform::keyed_record>& records);
  /** Takes the orders again whose service was unknown. */
  void retake_rollout_orders();
  void tick_rollouts(mono_ms now);
  /** Sends what is known of all roll-outs to all nodes, including those that are down. */
  void send_rollout_news();
  void tell_new_peers_of_rollouts();
  void receive_rollout_news(std::string_view datagram, const QHostAddress& sender);
  void read_status(const read_rollout_status& effect);
  void write_status(const write_rollout_status& effect);
  /** Updates what roll-outs mean for the local server. Returns whether it has changed. */
  bool update_standing(const instant& now);
  /** Returns the status of the local server with its standing. */
  server_status status_of_server() const;
  /** Sends this node's beacon early while the decider waits for what it says. */
  void hasten_evidence(mono_ms now);

  // proxy_announcements.cpp: announcements of the local server, readiness checks and metrics.
  void accept_announcements(qintptr descriptor);
  void handle_announcement(http_session& session, const http_request& request);
  void accept_readiness_probe(qintptr descriptor);
  void accept_metrics_scrape(qintptr descriptor);
  void publish_server_status();
  /** Checks the health of a server that is unknown, or whose heartbeat waits for a confirmation. */
  void probe_server();
  void handle_health_check(const response_head& head);

  /** Accepts a connection and stores its HTTP session until the connection ends. */
  http_session& add_http_session(qintptr descriptor);

  proxy_settings options_;        ///< Settings as they were at the start.
  platform::fleet_bounds bounds_; ///< Bounds that the platform sets, such as the grace period.
  node_beacon self_;              ///< Beacon of this node.
  QObject context_;               ///< Receiver of queued calls and timers.
  peer_table peers_;              ///< Peers and their latest beacons.
  server_watch server_;           ///< State of the local backend server.
  config_follower follower_;      ///< Decides when to read or fetch the configuration.
  route_table_ptr table_;         ///< Configuration in force; null until the first is applied.
  config_history configs_;        ///< Texts of the latest configurations, as the store holds them.
  platform::store_client store_;  ///< Client of the platform's metadata store.
  proxy_traffic traffic_;         ///< The traffic thread.
  refused_input_log refused_inputs_; ///< Reports invalid input on the control thread.
  QUdpSocket beacon_socket_;         ///< Sends and receives beacons.
  listener config_listener_;         ///< Accepts peers that request the configuration.
  listener announcements_listener_;  ///< Accepts announcements of the local server.
  listener readiness_listener_;      ///< Accepts readiness checks of the platform.
  listener metrics_listener_;        ///< Accepts scrapes of the metrics.
  QTimer tick_timer_;                ///< Calls tick() at regular intervals.
  std::map<std::uint64_t, std::unique_ptr<http_session>>
    sessions_; ///< Open connections of the announcements, readiness and metrics ports.
  std::map<std::uint64_t, std::unique_ptr<framed_socket>>
    config_connections_; ///< Connections of peers that request the configuration.
  std::map<std::uint64_t, std::unique_ptr<pending_config_fetch>>
    config_fetches_;                   ///< Pending fetches.
  std::unique_ptr<http_client> probe_; ///< Health check under way; null if there is none.
  std::uint64_t next_id_ = 1;          ///< Id of the next session, connection or fetch.
  mono_ms started_at_ = 0;             ///< Start of the process.
  mono_ms last_tick_at_ = 0;           ///< When tick() was last called.
  mono_ms next_beacon_at_ = 0;         ///< When the next beacon round is due.
  std::uint64_t beacon_round_ = 0;     ///< Number of the latest beacon round.
  std::set<node_id> urgent_nodes_;     ///< Nodes whose beacons are sent ahead of the next round.
  std::set<node_id> new_peers_;        ///< New peers that are sent this node's beacon immediately.
  int broadcasts_remaining_ = 0;       ///< Remaining broadcasts that announce a new version.
  crash_registry crashes_;             ///< Crashes of all servers.
  crash_view_ptr suspects_ =
    std::make_shared<const crash_view>(); ///< As the traffic thread has it.
  std::vector<crash_news> crash_news_;    ///< Records that are being sent to all peers.
  rollout_controller rollouts_;           ///< Knows and decides about roll-outs.
  int rollout_news_remaining_ = 0;        ///< Remaining number of times that they are sent.
  std::vector<platform::keyed_record> unknown_service_orders_; ///< Orders for services that no
                                                               ///< configuration names yet.
  rollout_standing rollout_standing_; ///< What past roll-outs mean for the local server.
  server_standing standing_ = server_standing::none; ///< As the traffic thread has it.
  rollout_evidence evidence_sent_;                   ///< What the latest early beacon said.
  mono_ms next_evidence_at_ = 0;                     ///< Earliest time of the next one.
  trial_review trial_review_;               ///< Reviews crashes of the local server at trials.
  std::uint64_t published_incarnation_ = 0; ///< Process of the local server as last published.
  std::map<request_digest, suspect_write> suspect_writes_; ///< Calls that are due or under way.
  std::uint64_t suspect_changes_ = 0;                      ///< Number of the latest change.
  std::size_t suspects_restored_ = 0;        ///< Rejected requests read from the store.
  quota_control quotas_;                     ///< Use of the client accounts in the fleet.
  random_source crash_reminder_random_;      ///< Chooses the peers to remind.
  mono_ms next_crash_reminder_at_ = 0;       ///< When peers are next reminded.
  mono_ms next_dropped_lines_report_at_ = 0; ///< When dropped log lines are next reported.
  std::uint64_t dropped_lines_reported_ = 0; ///< Total of dropped log lines in the latest report.
  bool is_peer_view_stale_ = false;      ///< A peer changed since the traffic thread got its view.
  mono_ms next_probe_at_ = 0;            ///< Earliest time of the next health check.
  std::string checked_instance_;         ///< Instance whose heartbeat was last checked.
  std::optional<unix_ms> checked_start_; ///< Start of that incarnation, if announced.
  mono_ms no_live_peer_since_ = 0;       ///< When a peer was last alive or the directory was read.
  bool is_in_directory_ = false;         ///< The directory holds this node's address.
  bool is_directory_read_ = false;       ///< The directory was read at least once.
  bool is_directory_call_pending_ = false; ///< A call to the directory is pending.
  mono_ms next_directory_call_at_ = 0;     ///< Earliest time of the next call to the directory.
  mono_ms leaving_since_ = 0;              ///< When leave() was called; 0: not yet.
  bool is_leave_announced_ = false;   ///< Peers were informed that this process is about to end.
  bool is_draining_ = false;          ///< Callers' connections are being closed.
  bool are_requests_expired_ = false; ///< The requests that were still open were ended.
  bool was_ready_ = false;            ///< Readiness as it was last logged.
};

} // namespace shallotfield
