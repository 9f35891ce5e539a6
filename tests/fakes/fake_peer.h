// A fake proxy at 127.0.0.2, to which the proxy under test sends requests.
#pragma once
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace shallotfield {

/** Another proxy, to which the proxy under test opens a link. */
struct fake_peer
{
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
                           if (!error) {
                             read();
                           }
                         });
  }

  bool has(const std::string& text) const { return received.find(text) != std::string::npos; }

  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::socket link;
  std::array<char, 4096> buffer{};
  std::string received; ///< All bytes that were sent to this proxy.
};

} // namespace shallotfield
