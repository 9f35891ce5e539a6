// The traffic thread of a proxy: callers' connections, links to other proxies, and connections to
// the backend server beside it.
#pragma once
#include "log_rate_limiter.h"
#include "request/request.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/leaf/result.hpp>
#include <thread>

namespace shallotfield {

using exchange_id = std::uint64_t; ///< Number of a request that began at a proxy.
using session_id = std::uint64_t;  ///< Number of a link that another proxy opened.

/** An attempt at the server beside this proxy. */
struct local_target
{
  slot_ticket ticket = 0; ///< Its number there.
};

/** An attempt at another proxy. */
struct peer_target
{
  std::string link; ///< The link.
  call_id call = 0; ///< Its number there.
};

using attempt_target = std::variant<local_target, peer_target>;

/** A job that came from a request at this proxy. */
struct local_origin
{
  exchange_id exchange = 0;           ///< The request.
  exchange_attempt_index attempt = 0; ///< Its attempt.
};

/** A job that came from another proxy. */
struct peer_origin
{
  session_id session = 0; ///< The link.
  call_id call = 0;       ///< Its number there.
};

using request_origin = std::variant<local_origin, peer_origin>;

/** Performs the effects of the requests that begin at this proxy, and of those that other proxies
 * send to the server beside it. All but the public functions runs on its own thread. */
class proxy_traffic
{
public:
  std::function<void()> on_server_unreachable; ///< The server's port refused a connection; called
                                               ///< on the traffic thread.

  /** @param options Settings. @param limits The fleet's limits on repeats. @param self This node.
   */
  proxy_traffic(const proxy_settings& options, retry_limits limits, const node_beacon& self);
  ~proxy_traffic();
  proxy_traffic(const proxy_traffic&) = delete;
  proxy_traffic& operator=(const proxy_traffic&) = delete;

  /** Opens the ports and starts the thread. @return Nothing; or setting_error that names the port's
   * setting. */
  boost::leaf::result<void> start();

  /** Swaps the configuration that new requests begin with. @param table The configuration. */
  void set_route_table(route_table_ptr table);

  /** Swaps the nodes. @param view Those that live, this one included. */
  void set_peers(peer_view_ptr view);

  /** Tells of the server beside this proxy. @param notice The server. */
  void set_server(const server_status& status);

  /** Closes callers' connections once their requests are answered, and takes only requests that are
   * over before the end. @param shutdown_at When the process ends. */
  void start_draining(mono_ms shutdown_at);

  /** Ends the requests that are still open, shortly before the process ends. An answer that is
   * ready behind one of them on its connection reaches its caller so. */
  void expire_requests();

  /** @return Requests that are open here, of callers and of other proxies. */
  std::size_t open_requests() const { return open_requests_.load(); }

  /** @return State of the server's queue. */
  load_report load() const;

  /** @return Log lines left out since the start: all, and those about requests that failed. */
  std::pair<std::uint64_t, std::uint64_t> lines_dropped() const
  {
    return { lines_dropped_.load(), failure_lines_dropped_.load() };
  }

private:
  using caller_id = std::uint64_t;

  /** A request that began at this proxy. */
  struct exchange
  {
    exchange_state state;                        ///< Its course.
    caller_id caller = 0;                        ///< Its caller.
    request_number number = 0;                   ///< Its number on the caller's connection.
    std::vector<attempt_target> attempt_targets; ///< Where each attempt is.
    timer_queue::timer_id timeout;               ///< Ends it.
  };

  /** A caller's connection. */
  struct caller
  {
    caller_stream_ptr stream;                        ///< The connection.
    std::map<request_number, exchange_id> exchanges; ///< Open requests.
    std::optional<timer_queue::timer_id> timeout;    ///< Ends a slow head or an idle connection.
  };

  /** A link to another proxy, opened here. */
  struct peer_link
  {
    peer_stream_ptr stream; ///< The connection.
    node_id node;           ///< The peer.
    call_id next_call = 1;  ///< Number of the next call.
    std::unordered_map<call_id, std::pair<exchange_id, exchange_attempt_index>>
      calls;                         ///< Under way.
    bool is_check_scheduled = false; ///< A check is scheduled.
    mono_ms ping_sent_at = 0;        ///< When a ping left that is unanswered; 0: none.
  };

  /** A link that another proxy opened. */
  struct peer_session
  {
    peer_stream_ptr stream;                         ///< The connection.
    std::unordered_map<call_id, slot_ticket> calls; ///< Under way.
    std::map<call_id, call_open> pending_calls;     ///< Arrived, not yet looked at.
  };

  /** A request for the server beside this proxy. */
  struct server_request
  {
    request_origin origin;                        ///< Who asked.
    call_open call;                               ///< The request.
    std::string request_id;                       ///< As its caller sent it.
    mono_ms arrived_at = 0;                       ///< When it came here.
    mono_ms started_at = 0;                       ///< When the server got it.
    mono_ms deadline = 0;                         ///< When it has to be over.
    server_stream_ptr stream;                     ///< Its connection, once it runs.
    std::optional<timer_queue::timer_id> timeout; ///< Ends it.
  };

  /** An idle connection to the server. */
  struct idle_stream
  {
    server_stream_ptr stream; ///< The connection.
    mono_ms since = 0;        ///< When it became idle.
  };

  // proxy_traffic.cpp: ports and what the control thread tells.
  void post(std::function<void()> work);
  void accept_callers();
  void accept_peers();
  void update_load_counters();
  void drain(mono_ms shutdown_at);

  // proxy_callers.cpp: callers and the course of their requests.
  void add_caller(boost::asio::ip::tcp::socket&& socket);
  void reset_caller_timeout(caller_id id);
  void remove_caller(caller_id id);
  void handle_request(caller_id id, request_number number, http_request&& request);
  void raise(exchange_id id, const exchange_event& event);
  void perform(exchange_id id, const exchange_effect& effect);
  void send(exchange_id id, const send_attempt& effect);
  void cancel_attempt(exchange_id id, const cancel_exchange_attempt& effect);
  void end_exchange(exchange_id id);
  void answer(exchange_id id, const response_head& head, std::string_view body);
  call_open make_call(const exchange& from, const send_attempt& effect) const;

  // proxy_links.cpp: links between proxies.
  peer_link& get_or_open_link(const node_id& node, request_kind kind);
  void handle_link_message(const std::string& name, traffic_message&& message);
  void handle_link_end(const std::string& name, stream_close_reason why);
  void schedule_link_check(const std::string& name);
  void check_link(const std::string& name);
  void add_session(boost::asio::ip::tcp::socket&& socket);
  void handle_session_message(session_id id, traffic_message&& message);
  void enqueue_pending_calls(session_id id);
  void end_session(session_id id);

  // proxy_server.cpp: the server beside this proxy.
  slot_ticket add_server_request(const request_origin& origin, call_open&& call);
  void raise_slot_event(const slot_event& event);
  void start_server_request(slot_ticket id);
  void handle_server_response(slot_ticket id, server_response&& response, bool is_reusable);
  void handle_server_failure(slot_ticket id, http_client_error why);
  void refuse_server_request(slot_ticket id,
                             failure_reason reason,
                             outcome result,
                             std::int64_t retry_after_ms);
  void cancel_server_request(slot_ticket id);
  void expire_server_request(slot_ticket id);
  void end_server_request(slot_ticket id);
  server_stream_ptr acquire_server_stream(bool is_repeatable);
  void release_server_stream(server_stream_ptr stream);

  proxy_settings options_;               ///< Settings.
  boost::asio::io_context context_{ 1 }; ///< The event loop.
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_; ///< Keeps it.
  boost::asio::ip::tcp::acceptor callers_acceptor_;       ///< Accepts callers.
  boost::asio::ip::tcp::acceptor peers_acceptor_;         ///< Accepts links.
  timer_queue timers_;                                    ///< Timeouts.
  proxy_state proxy_;                                     ///< What requests share.
  route_table_ptr table_;                                 ///< What new requests begin with.
  std::unordered_map<caller_id, caller> callers_;         ///< Callers' connections.
  std::unordered_map<exchange_id, exchange> exchanges_;   ///< Requests that began here.
  std::map<std::string, peer_link> links_;                ///< By node and lane.
  std::unordered_map<session_id, peer_session> sessions_; ///< Links that others opened.
  std::unordered_map<slot_ticket, server_request> server_requests_; ///< Requests for the server.
  slot_queue slots_;                                                ///< Who gets a slot of it.
  server_status server_;                                            ///< The server.
  std::vector<idle_stream> idle_streams_;         ///< Idle connections to it; latest last.
  log_rate_limiter log_rate_limiter_;             ///< Bounds the lines about requests.
  std::uint64_t next_id_ = 1;                     ///< Number of the next caller, request or job.
  std::atomic<std::uint64_t> lines_dropped_{ 0 }; ///< For the control thread.
  std::atomic<std::uint64_t> failure_lines_dropped_{ 0 }; ///< For the control thread.
  std::atomic<std::size_t> open_requests_{ 0 };           ///< For the control thread.
  std::atomic<std::uint32_t> running_{ 0 };               ///< For the control thread.
  std::atomic<std::uint32_t> waiting_{ 0 };               ///< For the control thread.
  std::atomic<std::uint32_t> slowness_permille_{ 0 };     ///< For the control thread.
  std::thread thread_; ///< The thread; last, so that it ends first.
};

} // namespace shallotfield
