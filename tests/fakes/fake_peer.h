// A fake proxy at 127.0.0.2, to which the proxy under test sends requests.
#pragma once
#include "connection/connection.h"
#include "fakes/expect.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <string>

namespace shallotfield {

/** Another proxy, to which the proxy under test opens a link. */
struct fake_peer
{
  /** A request arrived. If this is not set, none is answered. */
  std::function<void(const call_open&)> on_call;

  fake_peer(boost::asio::io_context& context, std::uint16_t port)
    : acceptor(context, { boost::asio::ip::make_address("127.0.0.2"), port })
    , link(context)
  {
    acceptor.async_accept(link, [this](const boost::system::error_code&) { read(); });
  }

  void read()
  {
    link.async_read_some(boost::asio::buffer(buffer),
                         [this](const boost::system::error_code& error, std::size_t count) {
                           received.append(buffer.data(), count);
                           if (on_call) {
                             take_calls({ buffer.data(), count });
                           }
                           if (!error) {
                             read();
                           }
                         });
  }

  void take_calls(std::string_view bytes)
  {
    std::vector<frame> frames;
    decoder.feed(bytes, frames);
    for (frame& item : frames) {
      const auto message = value_of([&] { return parse_traffic(std::move(item)); });
      const auto* call = message ? std::get_if<call_open>(&*message) : nullptr;
      if (call != nullptr) {
        on_call(*call);
      }
    }
  }

  /** Responds to a request with the status 200. */
  void answer(const call_open& call, const std::string& body)
  {
    const std::string* id = find_header(call.head.headers, "X-Shallotfield-Request-Id");
    const response_head head{ 200,
                              { { "X-Shallotfield-Request-Id", id == nullptr ? "" : *id },
                                { "X-Shallotfield-Response-Signature", "s" },
                                { "Content-Length", std::to_string(body.size()) } } };
    boost::asio::write(link,
                       boost::asio::buffer(encode_traffic(call_full_response{
                         call.id, head, load_report{}, shared_body(std::string(body)), 0, 0 })));
  }

  bool has(const std::string& text) const { return received.find(text) != std::string::npos; }

  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::socket link;
  std::array<char, 4096> buffer{};
  std::string received; ///< All bytes that were sent to this proxy.
  frame_decoder decoder{ frame_limits{ TRAFFIC_HEAD_BYTES_MAX, 1U << 20U } };
};

} // namespace shallotfield
