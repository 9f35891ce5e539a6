// The traffic thread of a proxy with a fake server beside it, for tests of what callers get.
#pragma once
#include "fakes/fake_caller.h"
#include "fakes/reserved_port.h"
#include "fakes/scripted_server.h"
#include "process/node.h"
#include "process/proxy_traffic_base.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

namespace shallotfield {

/** Returns a complete signed response to the request whose head is given. */
inline std::string
response_to(const std::string& head, const std::string& body)
{
  return "HTTP/1.1 200 OK\r\nX-Shallotfield-Request-Id: " +
         header_of(head, "X-Shallotfield-Request-Id") +
         "\r\nX-Shallotfield-Response-Signature: s\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** A proxy's traffic thread, with one fake server beside it. */
struct traffic_fixture
{
  explicit traffic_fixture(bool learns_server_limit = false)
  {
    options.learns_server_limit = learns_server_limit;
    options.node_id = "a";
    options.region = "r";
    options.zone = "z";
    options.host = "127.0.0.1";
    options.service = "shop";
    options.memory_bytes = 160U << 20U;
    options.server_address = { "127.0.0.1", server.port() };
    options.callers_address = { "127.0.0.1", callers_port.number() };
    options.peers_port = peers_port.number();
    node_beacon self;
    self.id = "a";
    self.boot_id = 1;
    self.region = "r";
    self.zone = "z";
    self.host = "127.0.0.1";
    self.server = { "shop", "i-1", SLOTS, server_state::ready };
    traffic = std::make_unique<proxy_traffic>(options, retry_limits{ 0.2, 100, 10'000 }, self);
    route_document document;
    document.version = 1;
    document.rules.push_back(
      { "read", "h", "/", request_kind::idempotent, 1000, 1, 2000, 2, { { "shop", 1 } } });
    document.rules.push_back(
      { "order", "h", "/order/", request_kind::at_most_once, 1000, 1, 2000, 1, { { "shop", 1 } } });
    document.rules.push_back(
      { "file", "h", "/file/", request_kind::upload, 1500, 1, 3000, 1, { { "shop", 1 } } });
    document.services.push_back({ "shop", "" });
    traffic->set_route_table(std::make_shared<const route_table>(std::move(document)));
    traffic->set_peers(std::make_shared<peer_view>(peer_view{ { "a", self } }));
    traffic->set_server(self.server, 1);
    traffic->on_server_crashed = [this](const report_crash& report) {
      boost::asio::post(context, [this, report] { crashes.push_back(report); });
    };
    boost::leaf::try_handle_all([this] { return traffic->start(); },
                                [] { BOOST_FAIL("the ports can't be opened"); });
  }

  /** Opens a connection of a caller. */
  std::shared_ptr<fake_caller> call(bool is_slow = false)
  {
    auto added = std::make_shared<fake_caller>(context, record);
    BOOST_REQUIRE(added->open(options.callers_address.port, is_slow));
    return added;
  }

  /** Sends a request to the proxy as another proxy does. Returns the start of the reply. */
  std::string send_as_peer(const call_open& call)
  {
    boost::asio::ip::tcp::socket link(context);
    link.connect({ boost::asio::ip::make_address("127.0.0.1"), options.peers_port });
    boost::asio::write(link, boost::asio::buffer(encode_traffic(call)));
    std::array<char, 1024> buffer{};
    std::string reply;
    link.async_read_some(boost::asio::buffer(buffer),
                         [&](auto, std::size_t count) { reply.assign(buffer.data(), count); });
    BOOST_TEST(run_until(context, [&] { return !reply.empty(); }));
    return reply;
  }

  /** Runs the event loop for a time. */
  void run_for(std::chrono::milliseconds time)
  {
    const auto until = std::chrono::steady_clock::now() + time;
    run_until(context, [until] { return std::chrono::steady_clock::now() >= until; });
  }

  static constexpr std::uint32_t SLOTS = 16;

  boost::asio::io_context context;
  scripted_server server{ context };
  reserved_port callers_port;
  reserved_port peers_port;
  proxy_settings options;
  std::unique_ptr<proxy_traffic> traffic;
  caller_record record;
  std::vector<report_crash> crashes; ///< Reports of crashes of the server.
};

} // namespace shallotfield
