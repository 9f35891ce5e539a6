// The traffic thread of a proxy. It serves callers' connections, links to other proxies and
// connections to the local backend server.
#pragma once
#include "log_rate_limiter.h"
#include "request/request.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/leaf/result.hpp>
#include <deque>
#include <list>
#include <thread>

namespace shallotfield {

/** Delay of requests that are read after a pause of this process. Meanwhile the cancellations and
 * closed connections that arrived during the pause are read. */
inline constexpr std::int64_t AFTER_PAUSE_DELAY_MS = 50;

using exchange_id = std::uint64_t; ///< Id of a request that a caller sent to this proxy.
using session_id = std::uint64_t;  ///< Id of a link that another proxy opened.

/** Target of an attempt: the local server. */
struct local_target
{
  slot_ticket ticket = 0; ///< Id of the request in the slot queue.
};

/** Target of an attempt: the server of another proxy. */
struct peer_target
{
  std::string link; ///< Name of the link.
  call_id call = 0; ///< Id of the call on the link.
};

using attempt_target = std::variant<local_target, peer_target>;

/** The origin of a request to the local server that a caller sent to this proxy. */
struct local_origin
{
  exchange_id exchange = 0;           ///< Id of the caller's request.
  exchange_attempt_index attempt = 0; ///< Index of the attempt.
};

/** The origin of a request to the local server that another proxy forwarded. */
struct peer_origin
{
  session_id session = 0; ///< Link on which it arrived.
  call_id call = 0;       ///< Id of the call on the link.
};

using request_origin = std::variant<local_origin, peer_origin>;

/**
 * Processes the requests that callers send to this proxy, and those that other proxies forward to
 * the local server. What to do is decided by handle_exchange_event() for callers' requests and by
 * slot_queue for requests to the local server; this class performs their effects. The public
 * functions are called from the control thread; everything else runs on the traffic thread.
 */
class proxy_traffic
{
public:
  std::function<void()> on_server_unreachable; ///< Called on the traffic thread when no connection
                                               ///< to the local server could be opened.
  std::function<void()> on_server_limit_changed; ///< Called on the traffic thread when the local
                                                 ///< server was closed or opened; see
                                                 ///< server_limit.
  /** Called on the traffic thread when the local server crashed, or may have and has not, when a
   * request that is suspected of crashing servers is on trial, and when the server completed such a
   * request. */
  std::function<void(const report_crash&)> on_server_crashed;
  std::function<void(const withdraw_crash&)> on_crash_withdrawn;
  std::function<void(const report_trial&)> on_suspect_tried;
  std::function<void(const request_digest&)> on_request_acquitted;
  /** Called on the traffic thread with the requests of client accounts since the previous call. */
  std::function<void(const std::vector<account_count>&)> on_quota_used;

  /** Creates the traffic thread's state without starting the thread. `limits` are the limits on
   * retries, and `self` is this node's beacon. */
  proxy_traffic(const proxy_settings& options, retry_limits limits, const node_beacon& self);
  ~proxy_traffic();
  proxy_traffic(const proxy_traffic&) = delete;
  proxy_traffic& operator=(const proxy_traffic&) = delete;

  /** Opens the ports and starts the thread. Fails with setting_error, which names the setting of a
   * port that can't be opened. */
  boost::leaf::result<void> start();

  /** Replaces the configuration for new requests. Open requests keep the one they started with. */
  void set_route_table(route_table_ptr table);

  /** Replaces the view of live nodes, which includes this node. Links to nodes that are no longer
   * alive are closed if they carry no open calls. */
  void set_peers(peer_view_ptr view);

  /** Replaces the status of the local server. `incarnation` numbers its processes. Idle connections
   * to a former one are closed. */
  void set_server(const server_status& status, std::uint64_t incarnation);

  /** Records that the local server no longer announces itself. */
  void report_server_silent();

  /** Replaces the requests that were at work when servers crashed. Those that wait for the local
   * server and may no longer run are refused. */
  void set_suspects(crash_view_ptr suspects);

  /** Replaces the limits on client accounts for new requests. */
  void set_quota_limits(quota_limits_ptr limits);

  /** Replaces the roll-outs that are known. */
  void set_rollouts(rollout_view_ptr rollouts);

  /** Returns what the local server did in the roll-out of its service. */
  rollout_evidence evidence() const;

  /** Refuses new requests, of callers and to the local server, from `refuses_from` on if their
   * deadline is after `shutdown_at`, the time at which open requests will be ended. */
  void plan_shutdown(mono_ms refuses_from, mono_ms shutdown_at);

  /** Starts to close callers' connections, each as soon as its requests are answered. From now on,
   * requests are refused as after plan_shutdown(). */
  void start_draining(mono_ms shutdown_at);

  /** Stops to take requests if none is open; see is_finished(). */
  void finish_if_idle();

  /** Returns whether no request is open and none is taken any more, so that the process may end
   * without cutting one off. */
  bool is_finished() const { return is_finished_.load(); }

  /** Ends all open requests of callers as if their deadline had passed, shortly before the process
   * ends. This also releases complete responses that are queued behind an open request on the same
   * connection. */
  void expire_requests();

  /** Returns the number of open requests, both of callers and of other proxies. During the shutdown
   * it includes the connections on which a response was not passed to the kernel completely. */
  std::size_t open_requests() const { return open_requests_.load(); }

  /** Records a regular tick of the control thread, by which pauses of the process are noticed. */
  void record_control_tick(mono_ms now) { pauses_.record_tick(now); }

  /** Returns the load of the local server. The number of slots is the learned limit, which is 0
   * while the server is closed. */
  load_report load() const;

  /** Returns the number of log lines dropped since the start: first all lines, then only those
   * about failed requests. */
  std::pair<std::uint64_t, std::uint64_t> lines_dropped() const
  {
    return { lines_dropped_.load(), failure_lines_dropped_.load() };
  }

private:
  using caller_id = std::uint64_t;

  /** A request that a caller sent to this proxy. */
  struct exchange
  {
    exchange_state state;                        ///< Request and state of its attempts.
    caller_id caller = 0;                        ///< Connection of the caller.
    request_number number = 0;                   ///< Number of the request on this connection.
    std::vector<attempt_target> attempt_targets; ///< Target of each attempt, by attempt index.
    timer_queue::timer_id timeout;               ///< Timer that raises exchange_expired.
  };

  /** A caller's connection. */
  struct caller
  {
    caller_stream_ptr stream;                        ///< The connection.
    std::map<request_number, exchange_id> exchanges; ///< Requests without a response yet.
    std::optional<timer_queue::timer_id>
      timeout;                                ///< Timer for a slow request or an idle connection.
    std::list<std::uint64_t>::iterator place; ///< Its place in caller_order_.
  };

  /** A call of which the body is offered to another proxy. */
  struct body_offer
  {
    send_attempt attempt;                          ///< The attempt.
    mono_ms offered_at = 0;                        ///< When the body was offered.
    std::optional<timer_queue::timer_id> fallback; ///< Sends the call if there is no reply.
  };

  /** A link that this proxy opened to another proxy. */
  struct peer_link
  {
    peer_stream_ptr stream; ///< The connection.
    node_id node;           ///< Node of the other proxy.
    call_id next_call = 1;  ///< Id of the next call.
    std::unordered_map<call_id, std::pair<exchange_id, exchange_attempt_index>>
      calls;                                        ///< Calls without a response yet.
    std::unordered_map<call_id, body_offer> offers; ///< Calls whose body is offered, not sent yet.
    bool is_check_scheduled = false;                ///< A call of check_link() is scheduled.
    mono_ms ping_sent_at = 0; ///< When the latest unanswered ping was sent; 0: none.
  };

  /** A frame that waits until the link of the VM can carry it. */
  struct held_frame
  {
    call_id call = 0;      ///< Call to which the frame belongs.
    encoded_traffic bytes; ///< The frame.
    bool is_paced{}; ///< Whether bulk_pacer decides when it is sent. Otherwise it only waits for
                     ///< the end of the frame before it.
  };

  /** A link that another proxy opened. */
  struct peer_session
  {
    peer_stream_ptr stream;                         ///< The connection.
    std::deque<held_frame> held_frames;             ///< Frames that wait to be sent.
    std::size_t sent_bytes = 0;                     ///< Bytes of the first of them that were sent.
    std::unordered_map<call_id, slot_ticket> calls; ///< Calls in the slot queue, or on a slot.
    std::map<call_id, call_open> pending_calls;     ///< Calls that arrived and are not queued yet.
  };

  /** A request to the local server. */
  struct server_request
  {
    request_origin origin;                        ///< Where the request came from.
    call_open call;                               ///< The request.
    std::string request_id;                       ///< Request id that the caller sent.
    mono_ms arrived_at = 0;                       ///< When the request arrived at this proxy.
    mono_ms started_at = 0;                       ///< When the request was sent to the server.
    mono_ms deadline = 0;                         ///< When the response is due.
    limited_request limited;                      ///< Set when it is sent.
    server_stream_ptr stream;                     ///< Connection to the server; null until sent.
    std::optional<request_digests> digests;       ///< Set once a request is suspected.
    std::optional<timer_queue::timer_id> timeout; ///< Timer that expires the request.
  };

  /** An idle connection to the local server. */
  struct idle_stream
  {
    server_stream_ptr stream; ///< The connection.
    mono_ms since = 0;        ///< When it became idle.
  };

  // proxy_traffic.cpp: ports, updates from the control thread, shutdown.
  /** Runs the event loop of the thread. */
  void run();
  void post(std::function<void()> work);
  void accept_callers();
  void accept_peers();
  /** Publishes what the gate has counted to the control thread. */
  void update_evidence();
  /** Updates the values that the control thread reads. */
  void update_load_counters();
  void drain(mono_ms shutdown_at);
  /** Returns the number of connections with a response that was not passed to the kernel yet. */
  std::size_t count_unsent_responses() const;
  /** Updates the number of open requests from time to time until the process ends. */
  void watch_unsent_responses();

  // proxy_callers.cpp: callers' connections and the processing of their requests.
  /** Returns the limits on requests that are in force. */
  caller_stream_limits limits_of_requests() const;
  void add_caller(boost::asio::ip::tcp::socket&& socket);
  /** Restarts the timeout of a connection that is idle or on which a request is arriving. */
  void reset_caller_timeout(caller_id id);
  void remove_caller(caller_id id);
  /** Closes connections that have been inactive for longest if there are too many. Returns whether
   * there is room for another one. */
  bool make_room_for_caller();
  void handle_request(caller_id id,
                      request_number number,
                      http_request&& request,
                      memory_lease&& lease);
  void start_exchange(exchange_id id);
  void raise(exchange_id id, const exchange_event& event);
  void perform(exchange_id id, const exchange_effect& effect);
  void send(exchange_id id, const send_attempt& effect);
  /** Offers the body of an upload on a link, and sends it when it is granted. */
  void offer_body(const std::string& link,
                  call_id call,
                  exchange_id id,
                  const send_attempt& effect);
  /** Sends a call whose offer got no reply in time. */
  void send_without_grant(const std::string& name, call_id call);
  /** Handles the reply to an offer: sends the call if `bytes` is above 0, and else waits for it. */
  void handle_grant(const std::string& link, const call_credit& grant);
  /** Removes an offer and returns it, or no value if there is none. */
  std::optional<body_offer> take_offer(peer_link& link, call_id call);
  void cancel(exchange_id id, const cancel_exchange_attempt& effect);
  void end_exchange(exchange_id id);
  void respond(exchange_id id, const response_head& head, const shared_body& body);
  /** Passes the counts of client accounts on to the control thread after a short time. */
  void schedule_quota_counts();
  call_open make_call(const exchange& from, const send_attempt& effect) const;

  // proxy_intake.cpp: bodies of uploads that other proxies offer, and refused requests.
  /** Decides when another proxy may send the body of an upload. */
  void handle_offer(session_id id, const call_credit& offer);
  void raise_intake_event(const intake_event& event);
  /** Writes the decision to refuse a request to the local server, with its inputs. */
  void log_slot_refusal(const slot_refuse& refusal);

  // proxy_links.cpp: links between proxies.
  /** Returns the link to a node for requests of a kind, and opens it if there is none. */
  peer_link& get_or_open_link(const node_id& node, request_kind kind);
  /** Returns the name of this link. */
  static std::string link_name_of(const node_id& node, request_kind kind);
  void handle_link_message(const std::string& name, traffic_message&& message);
  void handle_link_end(const std::string& name, stream_close_reason why);
  void schedule_link_check(const std::string& name);
  /** Sends a ping on a link with open calls if no bytes have arrived for some time, and closes the
   * link if an earlier ping remained without any reaction. */
  void check_link(const std::string& name);
  void add_session(boost::asio::ip::tcp::socket&& socket);
  void handle_session_message(session_id id, traffic_message&& message);
  /** Ends the call of a message for whose body there was no memory. */
  void refuse_dropped_call(session_id id, const traffic_message& message);
  void fail_dropped_response(const std::string& name, const traffic_message& message);
  /** Passes the calls that have arrived on a link to the slot queue. */
  void enqueue_pending_calls(session_id id);
  void end_session(session_id id);

  // proxy_egress.cpp: messages to other proxies, and the pacing of responses to downloads.
  /** Sends a message on a link that another proxy opened. */
  void send_to_session(session_id id, const traffic_message& message);
  /** Sends the response to a download when the link of the VM can carry it. */
  void send_bulk_to_session(session_id id, const call_full_response& message);
  /** Drops the response to a call if none of it was sent yet. */
  void drop_held_response(session_id id, call_id call);
  /** Sends the bulk data that is due, and schedules the next call. */
  void send_due_bulk();
  /** Sends the next bytes of the frames that wait on a link. */
  void advance_held_frames(peer_session& session, std::size_t bytes);
  /** Returns the load of the local server for a report to other proxies. */
  load_report current_load() const;

  // proxy_crash_detection.cpp: requests at work when the local server crashes.
  void raise_crash_event(const crash_event& event);
  /** Finds out after a short time whether the port of the local server is closed. */
  void check_server_port();
  void connect_to_server_port();
  /** Asks whether a request that waits for the local server may run. */
  void check_suspect(slot_ticket id);
  /** Logs that a request which was at work at a crash is sent to the server. */
  void log_suspect(const server_request& request);
  /** Ends the requests at work at a former process of the server. */
  void end_requests_of_former_server();
  /** Returns what identifies a request to the local server; refers to the request. */
  static request_identity identity_of(const server_request& request);

  // proxy_server_limit.cpp: the learned concurrency limit of the local server.
  void raise_limit_event(const limit_event& event);
  /** Returns the learned limit, or the announced slots if the limit is not learned. */
  std::uint32_t usable_slots() const;
  /** Returns whether the local server gets no requests because it rejected the latest ones. */
  bool is_server_closed() const { return usable_slots() == 0 && server_.slots > 0; }
  /** Tells the control thread that the limit changed, for the beacon of this node. */
  void announce_server_limit();
  /** Passes the limit to the slot queue if it changed. */
  void apply_server_limit();
  /** Refuses a request if the local server gets none at present. Returns whether it did. */
  bool refuse_if_server_is_closed(slot_ticket id);

  // proxy_server.cpp: requests to the local server.
  slot_ticket add_server_request(const request_origin& origin, call_open&& call);
  void raise_slot_event(const slot_event& event);
  void start_server_request(slot_ticket id);
  void handle_server_response(slot_ticket id, server_response&& response, bool is_reusable);
  void handle_server_failure(slot_ticket id, http_client_error why);
  /** Ends a request without a complete response and reports the failure to its origin. */
  void fail_server_request(slot_ticket id,
                           failure_reason reason,
                           outcome result,
                           std::int64_t retry_after_ms);
  void cancel_server_request(slot_ticket id);
  void expire_server_request(slot_ticket id);
  void end_server_request(slot_ticket id);
  /** Returns the idle connection that was used last, or a new one if all have been idle for too
   * long. */
  server_stream_ptr acquire_server_stream(bool is_idempotent);
  /** Adds a connection to the idle ones. */
  void release_server_stream(server_stream_ptr stream);

  proxy_settings options_;               ///< Settings.
  boost::asio::io_context context_{ 1 }; ///< Event loop of the thread.
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    work_; ///< Keeps the event loop running while it is idle.
  boost::asio::ip::tcp::acceptor callers_acceptor_;     ///< Accepts callers' connections.
  boost::asio::ip::tcp::acceptor peers_acceptor_;       ///< Accepts links from other proxies.
  timer_queue timers_;                                  ///< Timeouts of connections and requests.
  proxy_state proxy_;                                   ///< State that all callers' requests share.
  route_table_ptr table_;                               ///< Configuration for new requests.
  memory_budget_ptr budget_;                            ///< Memory of requests and responses.
  std::shared_ptr<refused_input_log> refusals_;         ///< Limits log lines about callers.
  std::unordered_map<caller_id, caller> callers_;       ///< Callers' connections.
  std::list<caller_id> caller_order_;                   ///< The least recently active one first.
  std::size_t callers_max_ = 0;                         ///< Maximum number of them.
  std::unordered_map<exchange_id, exchange> exchanges_; ///< Open requests of callers.
  std::map<std::string, peer_link> links_;              ///< Links by node and work class.
  std::unordered_map<session_id, peer_session> sessions_; ///< Links that other proxies opened.
  std::unordered_map<slot_ticket, server_request>
    server_requests_;                                ///< Open requests to the local server.
  std::shared_ptr<response_memory> response_memory_; ///< Limits the responses that are arriving.
  bulk_pacer bulk_pacer_;                  ///< Decides when responses to downloads are sent.
  bool is_draining_ = false;               ///< Callers' connections are being closed.
  bool is_count_scheduled_ = false;        ///< Counts of client accounts are passed on soon.
  bool is_bulk_scheduled_ = false;         ///< A call of send_due_bulk() is scheduled.
  upload_intake upload_intake_;            ///< Decides when the bodies of uploads are sent here.
  bool is_intake_check_scheduled_ = false; ///< A check of the transfers is scheduled.
  slot_queue slots_;                      ///< Decides which of them occupy the slots of the server.
  server_limit server_limit_;             ///< Learns how many requests the local server runs.
  std::uint32_t applied_limit_ = 0;       ///< Limit that the slot queue was told last.
  server_status server_;                  ///< Status of the local server.
  std::uint64_t server_incarnation_ = 0;  ///< Number of its process.
  rollout_gate rollout_gate_;             ///< Limits what the server gets in a roll-out.
  crash_detector crash_detector_;         ///< Finds the requests on which it crashes.
  bool is_port_check_pending_ = false;    ///< A check of its port is scheduled or under way.
  mono_ms next_port_check_at_ = 0;        ///< Earliest time of the next check.
  std::vector<idle_stream> idle_streams_; ///< Idle connections to the local server, latest last.
  pause_monitor pauses_;                  ///< Notices pauses of this process.
  log_rate_limiter log_rate_limiter_;     ///< Limits the rate of log lines about requests.
  std::uint64_t next_id_ = 1; ///< Id of the next caller, session, exchange or server request.

  // Written by the traffic thread, read by the control thread.
  std::atomic<std::uint64_t> lines_dropped_{ 0 };         ///< Dropped log lines.
  std::atomic<std::uint64_t> failure_lines_dropped_{ 0 }; ///< Dropped lines about failed requests.
  std::atomic<bool> is_finished_{ false };                ///< No further request is taken.
  std::atomic<std::size_t> open_requests_{ 0 };           ///< Open requests of callers and proxies.
  std::atomic<std::uint32_t> running_{ 0 };               ///< Requests on slots of the server.
  std::atomic<std::uint32_t> waiting_{ 0 };               ///< Requests that wait for a slot.
  std::atomic<std::uint32_t> usable_slots_{ 0 };          ///< Learned limit of the server.
  std::atomic<std::uint32_t> slowness_permille_{ 0 };     ///< Slowness of the server.
  std::atomic<std::uint32_t> bulk_wait_ms_{ 0 };          ///< Backlog of responses to downloads.

  // The number of the order is cleared while the counts of another one are being written.
  std::atomic<std::uint64_t> evidence_order_{ 0 };    ///< Order to which the counts belong.
  std::atomic<std::uint32_t> evidence_step_{ 0 };     ///< Step in force.
  std::atomic<std::uint64_t> evidence_taken_{ 0 };    ///< Requests sent to the server.
  std::atomic<std::uint64_t> evidence_answered_{ 0 }; ///< Requests that it answered.
  std::atomic<std::uint64_t> evidence_failed_{ 0 };   ///< Of these, failures.
  std::array<std::atomic<std::uint64_t>, REPORTED_RULES> evidence_rules_{}; ///< Packed, by rule.

  std::thread thread_; ///< Declared last, so that it is destroyed before the members that it uses.
};

} // namespace shallotfield
