// The server thread: requests, admission, connections to the backend server and flow control.
// Idempotency keys are handled in server_keys.cpp.
#include "server_thread_base.h"

#include <QHostAddress>
#include <boost/leaf/handle_errors.hpp>

namespace leaf = boost::leaf;

namespace shallotfield {

/** Interval at which queue deadlines, the rate limit, old keys and idle connections are checked. */
static constexpr int TICK_INTERVAL_MS = 20;

/** Time limit for a connection to the server to open; the server runs on the same VM. */
static constexpr int SERVER_CONNECT_TIMEOUT_MS = 1000;

/** Idle time after which a connection is no longer used for requests that must not run twice. The
 * server may be closing it, and a request lost that way can't be told from one that ran. */
static constexpr mono_ms STALE_AFTER_IDLE_MS = 500;

/** Idle time after which a connection is closed. */
static constexpr mono_ms IDLE_CONNECTION_MAX_MS = 10'000;

/** Maximum number of idle connections to keep. */
static constexpr std::size_t IDLE_CONNECTIONS_MAX = 64;

/** Header with the Unix time in ms after which the server must not start the request. */
static constexpr std::string_view NOT_AFTER_HEADER = "Shallotfield-Not-After-Ms";

server_thread::server_thread(const settings& options)
  : options_(options)
  , started_(read_clocks().unix)
  , admission_({ options.queue_limit, options.bulk_slots_percent })
  , keys_(options.key_window_ms)
{
  thread_.run_and_wait([this] {
    listener_ = std::make_unique<listener>();
    listener_->on_connection = [this](qintptr descriptor) { accept(descriptor); };
    const QHostAddress host(QString::fromStdString(options_.host));
    if (listener_->listen(host, static_cast<quint16>(options_.traffic_port))) {
      port_ = listener_->serverPort();
    }
    timer_ = std::make_unique<QTimer>();
    QObject::connect(timer_.get(), &QTimer::timeout, timer_.get(), [this] { tick(); });
    timer_->start(TICK_INTERVAL_MS);
  });
}

server_thread::~server_thread()
{
  thread_.run_and_wait([this] {
    listener_.reset();
    sessions_.clear();
    calls_.clear();
    key_queries_.clear();
    idle_.clear();
    timer_.reset();
  });
}

void
server_thread::set_server(const endpoint& address, const server_info& info)
{
  thread_.post([this, address, info] {
    if (address != server_address_) {
      idle_.clear(); // These connections lead to the former address.
    }
    server_address_ = address;
    service_ = info.service;
    raise(admission_server_changed{ info });
  });
}

void
server_thread::set_members(member_view_ptr view)
{
  thread_.post([this, view = std::move(view)] { view_ = view; });
}

void
server_thread::set_version(compiled_version_ptr version)
{
  thread_.post([this, version = std::move(version)] { version_ = version; });
}

void
server_thread::set_lease(mono_ms until)
{
  thread_.post([this, until] { lease_until_ = until; });
}

void
server_thread::start_draining()
{
  thread_.post([this] { raise(admission_close{}); });
}

std::size_t
server_thread::open_requests()
{
  std::size_t total = 0;
  thread_.run_and_wait([this, &total] {
    total = calls_.size();
    for (const auto& [id, session] : sessions_) {
      total += session.socket->unsent_bytes() > 0 ? 1 : 0;
    }
  });
  return total;
}

void
server_thread::defer_delete(std::shared_ptr<void> object)
{
  QMetaObject::invokeMethod(
    timer_.get(), [object = std::move(object)] {}, Qt::QueuedConnection);
}

void
server_thread::accept(qintptr descriptor)
{
  const session_id id = next_id_++;
  edge_session& session = sessions_[id];
  session.socket = std::make_unique<framed_socket>(
    frame_limits{ TRAFFIC_HEAD_BYTES_MAX,
                  TRAFFIC_HEAD_BYTES_MAX + static_cast<std::size_t>(options_.body_limit_bytes) });
  session.socket->on_frame = [this, id](frame&& received) {
    handle_frame(id, std::move(received));
  };
  session.socket->on_end = [this, id](link_close_reason) { end_session(id); };
  session.socket->accept(descriptor);
}

void
server_thread::end_session(session_id id)
{
  edge_session& session = sessions_.at(id);
  const auto calls = std::move(session.calls);
  for (const auto& [call, ticket_id] : calls) {
    // handle_call_cancel() erases the request from the session's map. The loop therefore iterates
    // over a map that was moved out of the session, and puts each request back before it is
    // cancelled.
    sessions_.at(id).calls[call] = ticket_id;
    handle_call_cancel(id, call);
  }
  defer_delete(std::shared_ptr<framed_socket>(std::move(session.socket)));
  sessions_.erase(id);
}

void
server_thread::send(const server_call& call, const traffic_message& message)
{
  const auto session = sessions_.find(call.session);
  if (call.is_wanted && session != sessions_.end()) {
    session->second.socket->send(encode_traffic(message));
  }
}

void
server_thread::handle_frame(session_id id, frame&& received)
{
  std::optional<frame_error> parse_error; // If it is set, the message is only a placeholder.
  traffic_message message = leaf::try_handle_all([&] { return parse_traffic(std::move(received)); },
                                                 [&](const frame_error& error) {
                                                   parse_error = error;
                                                   return traffic_message(call_cancel{});
                                                 },
                                                 [&] {
                                                   parse_error =
                                                     frame_error{ frame_fault::bad_message };
                                                   return traffic_message(call_cancel{});
                                                 });
  if (parse_error) {
    sessions_.at(id).socket->refuse(*parse_error);
    return;
  }
  std::visit(overloaded{
               [&](call_open& item) { handle_call_open(id, std::move(item)); },
               [&](const call_cancel& item) { handle_call_cancel(id, item.id); },
               [&](const call_credit& item) { handle_call_credit(id, item); },
               [&](const key_query& item) { handle_key_query(id, item); },
               [](const auto&) {},
             },
             message);
}

std::string
server_thread::fingerprint(const call_open& request) const
{
  return sha256_hex(request.head.method + " " + request.head.target + "\n" +
                    std::string(request.body.view()));
}

void
server_thread::handle_call_open(session_id id, call_open&& request)
{
  const ticket ticket_id = next_id_++;
  const mono_ms now = read_clocks().mono;
  sessions_.at(id).calls[request.id] = ticket_id;
  server_call& call = calls_[ticket_id];
  call.session = id;
  call.deadline = now + request.timeout_ms;
  call.credit = request.window_bytes;
  call.request = std::move(request);
  const bool is_blocked_here =
    version_ && is_blocked(version_->content.blocked_servers, options_.node_id);
  if (is_blocked_here) {
    fail_call(ticket_id, failure_reason::blocked, outcome::not_run, 0);
  } else if (call.request.service != service_) {
    fail_call(ticket_id, failure_reason::no_server, outcome::not_run, 0);
  } else if (call.request.key.empty()) {
    request_admission(ticket_id);
  } else {
    look_up_key(ticket_id);
  }
}

void
server_thread::request_admission(ticket id)
{
  const server_call& call = calls_.at(id);
  raise(admission_arrival{ id, call.request.kind, call.request.customer, call.deadline });
}

void
server_thread::raise(const admission_event& event)
{
  const mono_ms now = read_clocks().mono;
  for (const admission_effect& effect : admission_.handle(event, now)) {
    std::visit(overloaded{
                 [&](const admission_start& item) {
                   count(counter_id::admitted);
                   write_log(log_event::admission,
                             { { "ticket", item.id },
                               { "verdict", "started" },
                               { "running", admission_.report(now).running },
                               { "waiting", admission_.report(now).waiting } });
                   send_to_server(item.id);
                 },
                 [&](const admission_refuse& item) {
                   count(counter_id::refused_at_server);
                   write_log(log_event::admission,
                             { { "ticket", item.id },
                               { "verdict", "refused" },
                               { "reason", enum_name(item.reason) } });
                   fail_call(item.id, item.reason, outcome::not_run, item.retry_after_ms);
                 },
               },
               effect);
  }
}

std::unique_ptr<http_client>
server_thread::acquire_client(bool may_be_stale)
{
  const mono_ms now = read_clocks().mono;
  while (!idle_.empty()) {
    idle_client last = std::move(idle_.back());
    idle_.pop_back();
    if (may_be_stale || now - last.since < STALE_AFTER_IDLE_MS) {
      return std::move(last.client);
    }
  }
  return std::make_unique<http_client>(server_address_, SERVER_CONNECT_TIMEOUT_MS);
}

void
server_thread::send_to_server(ticket id)
{
  server_call& call = calls_.at(id);
  const instant now = read_clocks();
  const bool has_key = !call.request.key.empty();
  if (has_key && lease_until_ <= now.mono) {
    // The lease expired while the request waited for a slot.
    release_slot(id, false);
    fail_call(id, failure_reason::stale, outcome::not_run, 0);
    return;
  }
  call.is_admitted = true;
  call.client = acquire_client(call.request.is_idempotent);
  call.client->on_piece = [this, id](response_piece&& piece) {
    handle_response_piece(id, std::move(piece));
  };
  call.client->on_failed = [this, id](http_client_error why) { handle_client_failure(id, why); };
  call.client->on_idle_end = nullptr;
  request_head head = call.request.head;
  std::erase_if(head.headers, [](const http_header& header) {
    return header.name == TIMEOUT_HEADER || header.name == NOT_AFTER_HEADER;
  });
  mono_ms time_left = call.deadline - now.mono;
  head.headers.push_back({ std::string(TIMEOUT_HEADER), std::to_string(time_left) });
  if (has_key) {
    // After the end of the lease another node may run a request with the same key, so the server
    // must not start this one then.
    time_left = std::min(time_left, lease_until_ - now.mono);
  }
  head.headers.push_back({ std::string(NOT_AFTER_HEADER), std::to_string(now.unix + time_left) });
  call.client->send(head, call.request.body);
}

void
server_thread::handle_response_piece(ticket id, response_piece&& piece)
{
  server_call& call = calls_.at(id);
  const mono_ms now = read_clocks().mono;
  if (piece.head) {
    static constexpr unsigned UNAVAILABLE = 503;
    const std::string* outcome_text = find_header(piece.head->headers, OUTCOME_HEADER);
    const bool was_not_run = piece.head->status == UNAVAILABLE && outcome_text != nullptr &&
                             *outcome_text == enum_name(outcome::not_run);
    if (was_not_run) {
      // The server rejected the request without running it; the edge may try another server.
      release_slot(id, false);
      fail_call(id, failure_reason::shed, outcome::not_run, 0);
      return;
    }
    if (call.is_key_owner) {
      call.response_copy = cached_response{ *piece.head, {} };
    }
    send(call, call_response_head{ call.request.id, *piece.head, admission_.report(now) });
  }
  if (!piece.body.empty()) {
    call.sent_bytes += piece.body.size();
    call.credit -= static_cast<std::int64_t>(piece.body.size());
    if (is_rate_limited(call)) {
      bulk_bytes_available_ -= static_cast<std::int64_t>(piece.body.size());
    }
    if (call.response_copy && call.response_copy->body.size() <= CACHED_RESPONSE_BYTES_MAX) {
      call.response_copy->body += piece.body;
    }
    send(call, call_response_data{ call.request.id, std::move(piece.body) });
  }
  if (piece.is_done) {
    const bool keeps_connection = piece.keep_alive;
    release_slot(id, keeps_connection);
    send(call, call_response_end{ call.request.id, call.sent_bytes, admission_.report(now) });
    // With the outcome `answered`, the failure reason is not used.
    record_key_outcome(id, failure_reason::response_truncated, outcome::answered);
    const auto session = sessions_.find(call.session);
    if (session != sessions_.end()) {
      session->second.calls.erase(call.request.id);
    }
    calls_.erase(id);
    return;
  }
  call.is_throttled = is_rate_limited(call) && bulk_bytes_available_ <= 0;
  const bool must_pause = call.is_wanted && (call.credit <= 0 || call.is_throttled);
  call.client->pause(must_pause);
}

void
server_thread::handle_client_failure(ticket id, http_client_error why)
{
  release_slot(id, false);
  switch (why) {
    case http_client_error::never_sent:
      fail_call(id, failure_reason::unreachable, outcome::not_run, 0);
      break;
    case http_client_error::no_response:
      fail_call(id, failure_reason::server_lost, outcome::unknown, 0);
      break;
    case http_client_error::cut:
    case http_client_error::malformed:
      fail_call(id, failure_reason::response_truncated, outcome::unknown, 0);
      break;
  }
}

void
server_thread::release_slot(ticket id, bool keeps_connection)
{
  server_call& call = calls_.at(id);
  if (call.client && keeps_connection && idle_.size() < IDLE_CONNECTIONS_MAX) {
    http_client* client = call.client.get();
    client->on_idle_end = [this, client] {
      for (auto item = idle_.begin(); item != idle_.end(); ++item) {
        if (item->client.get() == client) {
          defer_delete(std::shared_ptr<http_client>(std::move(item->client)));
          idle_.erase(item);
          return;
        }
      }
    };
    idle_.push_back({ std::move(call.client), read_clocks().mono });
  } else if (call.client) {
    call.client->abort();
    defer_delete(std::shared_ptr<http_client>(std::move(call.client)));
  }
  raise(admission_finish{ id });
}

void
server_thread::fail_call(ticket id,
                         failure_reason reason,
                         outcome result,
                         std::int64_t retry_after_ms)
{
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  record_key_outcome(id, reason, result);
  server_call& call = found->second;
  send(call,
       call_failed{
         call.request.id, reason, result, retry_after_ms, admission_.report(read_clocks().mono) });
  const auto session = sessions_.find(call.session);
  if (session != sessions_.end()) {
    session->second.calls.erase(call.request.id);
  }
  calls_.erase(id);
}

void
server_thread::handle_call_cancel(session_id id, call_id number)
{
  edge_session& session = sessions_.at(id);
  const auto found = session.calls.find(number);
  if (found == session.calls.end()) {
    return;
  }
  const ticket ticket_id = found->second;
  session.calls.erase(found);
  server_call& call = calls_.at(ticket_id);
  call.is_wanted = false;
  if (call.is_key_owner && call.is_admitted) {
    call.client->pause(false);
    return; // It runs to its end, because the caller may send the key again to get the response.
  }
  if (call.is_admitted) {
    release_slot(ticket_id, false);
  } else {
    raise(admission_cancel{ ticket_id });
  }
  record_key_outcome(
    ticket_id, failure_reason::cancelled, call.is_admitted ? outcome::unknown : outcome::not_run);
  calls_.erase(ticket_id);
}

void
server_thread::handle_call_credit(session_id id, const call_credit& credit)
{
  edge_session& session = sessions_.at(id);
  const auto found = session.calls.find(credit.id);
  if (found == session.calls.end() || credit.bytes < 0) {
    return;
  }
  server_call& call = calls_.at(found->second);
  call.credit = std::min(call.credit + credit.bytes, call.request.window_bytes);
  if (call.client && call.credit > 0 && !call.is_throttled) {
    call.client->pause(false);
  }
}

bool
server_thread::is_rate_limited(const server_call& call) const
{
  return call.request.kind == work_class::bulk && call.request.region != options_.region;
}

void
server_thread::refill_bulk_bytes()
{
  const mono_ms now = read_clocks().mono;
  const std::int64_t refill_bytes =
    options_.bulk_link_bytes_per_s * (now - bulk_refilled_at_) / 1000;
  bulk_refilled_at_ = now;
  // The bucket holds the bytes of a tenth of a second at most, so that a burst doesn't fill the
  // link's queue.
  bulk_bytes_available_ =
    std::min(bulk_bytes_available_ + refill_bytes, options_.bulk_link_bytes_per_s / 10);
  if (bulk_bytes_available_ <= 0) {
    return;
  }
  for (auto& [id, call] : calls_) {
    if (call.is_throttled && call.client) {
      call.is_throttled = false;
      if (call.credit > 0) {
        call.client->pause(false);
      }
    }
  }
}

void
server_thread::tick()
{
  const mono_ms now = read_clocks().mono;
  raise(admission_tick{});
  keys_.drop_expired(now);
  std::erase_if(
    idle_, [now](const idle_client& item) { return now - item.since > IDLE_CONNECTION_MAX_MS; });
  refill_bulk_bytes();
}

} // namespace shallotfield
