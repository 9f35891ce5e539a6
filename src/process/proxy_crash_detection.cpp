// The traffic thread of a proxy: requests at work when the local backend server crashes.
#include "proxy_traffic_base.h"

#include <boost/asio/ip/address.hpp>

namespace shallotfield {

/** Delay of a check of the server's port. A process that crashes does not close all of its sockets
 * at the same moment. */
static constexpr mono_ms PORT_CHECK_DELAY_MS = 20;

/** Minimum time between two checks, since each one costs the server a connection. */
static constexpr mono_ms PORT_CHECK_INTERVAL_MS = 250;

/** Time limit of a check. */
static constexpr std::int64_t PORT_CHECK_TIMEOUT_MS = 500;

request_identity
proxy_traffic::identity_of(const server_request& request)
{
  const std::string* host = find_header(request.call.head.headers, "Host");
  return { request.call.head.method,    host == nullptr ? std::string_view() : *host,
           request.call.head.target,    request.call.body,
           request.call.caller_service, request.call.service };
}

void
proxy_traffic::check_suspect(slot_ticket id)
{
  const auto found = server_requests_.find(id);
  if (found == server_requests_.end() || proxy_.suspects->empty()) {
    return;
  }
  server_request& request = found->second;
  const request_identity identity = identity_of(request);
  if (!request.digests) {
    request.digests = digest_request(identity);
  }
  const mono_ms now = read_clocks().mono;
  const suspect_decision decision = decide_suspect(*proxy_.suspects, *request.digests, now);
  if (std::holds_alternative<suspect_may_run>(decision)) {
    return;
  }
  const auto* trial = std::get_if<suspect_trial_due>(&decision);
  const std::optional<server_choice> choice =
    trial == nullptr ? std::nullopt
                     : choose_trial_server(
                         proxy_.servers, request.call.service, trial->request, trial->latest_trial);
  raise_crash_event(request_queued{ identity, id, choice && choice->node->id == options_.node_id });
}

void
proxy_traffic::log_suspect(const server_request& request)
{
  const std::size_t crashes =
    request.digests ? count_crashes(*proxy_.suspects, *request.digests) : 0;
  const mono_ms now = read_clocks().mono;
  if (crashes == 0 || !log_rate_limiter_.try_acquire(false, now)) {
    return;
  }
  write_log(log_event::suspect_sent,
            { { "request", request.request_id },
              { "digest", format_digest(request.digests->exact) },
              { "crashes", crashes },
              { "waited_ms", now - request.arrived_at },
              { "left_ms", request.deadline - now } });
}

void
proxy_traffic::end_requests_of_former_server()
{
  // Ending a request removes its entry from server_requests_, so the ids are copied first.
  std::vector<slot_ticket> at_work;
  for (const auto& [id, request] : server_requests_) {
    if (request.stream) {
      at_work.push_back(id);
    }
  }
  for (const slot_ticket id : at_work) {
    const auto found = server_requests_.find(id);
    if (found != server_requests_.end() && found->second.stream) {
      found->second.stream->abort();
      handle_server_failure(id, http_client_error::no_response);
    }
  }
}

void
proxy_traffic::raise_crash_event(const crash_event& event)
{
  for (const crash_effect& effect :
       crash_detector_.handle(event, *proxy_.suspects, read_clocks().mono)) {
    std::visit(overloaded{
                 [&](const probe_server_port&) { check_server_port(); },
                 [&](const reject_suspect& item) {
                   count(counter_id::suspects_rejected);
                   raise_slot_event(slot_cancelled{ item.ticket });
                   fail_server_request(item.ticket,
                                       failure_reason::crashes_servers,
                                       outcome::not_run,
                                       item.retry_after_ms);
                 },
                 [&](const report_trial& item) {
                   if (on_suspect_tried) {
                     on_suspect_tried(item);
                   }
                 },
                 [&](const report_crash& item) {
                   if (on_server_crashed) {
                     on_server_crashed(item);
                   }
                 },
                 [&](const withdraw_crash& item) {
                   if (on_crash_withdrawn) {
                     on_crash_withdrawn(item);
                   }
                 },
                 [&](const acquit_request& item) {
                   if (on_request_acquitted) {
                     on_request_acquitted(item.request);
                   }
                 },
               },
               effect);
  }
}

void
proxy_traffic::check_server_port()
{
  if (is_port_check_pending_) {
    return;
  }
  is_port_check_pending_ = true;
  const mono_ms now = read_clocks().mono;
  const mono_ms at = std::max(now + PORT_CHECK_DELAY_MS, next_port_check_at_);
  next_port_check_at_ = at + PORT_CHECK_INTERVAL_MS;
  timers_.schedule(at - now, [this] { connect_to_server_port(); });
}

void
proxy_traffic::connect_to_server_port()
{
  using boost::asio::ip::tcp;
  boost::system::error_code fault;
  const tcp::endpoint address(boost::asio::ip::make_address(options_.server_address.host, fault),
                              options_.server_address.port);
  const auto socket = std::make_shared<tcp::socket>(context_);
  // Closing the socket ends a connection attempt that gets no reply.
  const timer_queue::timer_id timeout = timers_.schedule(PORT_CHECK_TIMEOUT_MS, [socket] {
    boost::system::error_code ignored; // The socket is not used any more.
    socket->close(ignored);
  });
  socket->async_connect(address, [this, socket, timeout](const boost::system::error_code& error) {
    timers_.cancel(timeout);
    is_port_check_pending_ = false;
    if (error == boost::asio::error::connection_refused) {
      raise_crash_event(server_port_closed{});
      if (on_server_unreachable) {
        on_server_unreachable();
      }
    }
  });
}

} // namespace shallotfield
