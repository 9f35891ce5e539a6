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
  return { request.call.head.method,
           request.call.head.target,
           request.call.body,
           request.call.caller_service };
}

void
proxy_traffic::raise_crash_event(const crash_event& event)
{
  for (const crash_effect& effect :
       crash_detector_.handle(event, *proxy_.suspects, read_clocks().mono)) {
    std::visit(overloaded{
                 [&](const probe_server_port&) { check_server_port(); },
                 [&](const report_crash& item) {
                   if (on_server_crashed) {
                     on_server_crashed(item);
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
