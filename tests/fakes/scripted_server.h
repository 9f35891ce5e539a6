// A fake backend server on the event loop of a test. The test decides for each request which bytes
// are sent, including bytes without end.
#pragma once
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace shallotfield {

/** A connection that the server accepted. */
class scripted_connection : public std::enable_shared_from_this<scripted_connection>
{
public:
  std::function<void(const std::string&)> on_request; ///< The head of a request arrived.
  std::size_t bytes_sent = 0;                         ///< Bytes that the kernel took.
  bool has_ended = false;                             ///< The connection was closed by one side.

  explicit scripted_connection(boost::asio::ip::tcp::socket socket)
    : socket_(std::move(socket))
  {
  }

  /** Starts to read requests. A body must not contain an empty line. */
  void read()
  {
    if (is_reading_stopped_) {
      return;
    }
    socket_.async_read_some(boost::asio::buffer(buffer_),
                            [self = shared_from_this()](auto error, std::size_t count) {
                              if (error) {
                                self->has_ended = true;
                                return;
                              }
                              self->received_.append(self->buffer_.data(), count);
                              self->take_requests();
                              self->read();
                            });
  }

  /** Sends bytes once. */
  void send(std::string bytes)
  {
    to_send_ += bytes;
    write();
  }

  /** Sends bytes after a delay. */
  void send_later(std::string bytes, std::chrono::milliseconds delay)
  {
    auto timer = std::make_shared<boost::asio::steady_timer>(socket_.get_executor(), delay);
    timer->async_wait(
      [self = shared_from_this(), timer, text = std::move(bytes)](auto) { self->send(text); });
  }

  /** Sends `start` once and then `pattern` again and again until the other side closes. */
  void send_without_end(const std::string& start, const std::string& pattern)
  {
    static constexpr std::size_t BLOCK_BYTES = 64U << 10U;
    send(start);
    while (endless_.size() < BLOCK_BYTES) {
      endless_ += pattern;
    }
    write();
  }

  /** Closes the connection once everything was sent. */
  void close_after_send()
  {
    is_closing_ = true;
    write();
  }

  /** Leaves unread what arrives from now on. Once the buffers are full, the other side can't finish
   * a long request. */
  void stop_reading() { is_reading_stopped_ = true; }

  /** Ends the sending direction in an orderly way once everything was sent. Data is still read. */
  void end_after_send()
  {
    is_ending_ = true;
    write();
  }

  /** Closes the connection. */
  void close()
  {
    boost::system::error_code ignored; // The connection has ended in any case.
    socket_.close(ignored);
  }

  /** Resets the connection. */
  void reset()
  {
    boost::system::error_code ignored; // The connection has ended in any case.
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    close();
  }

  /** Resets the connection after a delay. */
  void reset_later(std::chrono::milliseconds delay)
  {
    auto timer = std::make_shared<boost::asio::steady_timer>(socket_.get_executor(), delay);
    timer->async_wait([self = shared_from_this(), timer](auto) { self->reset(); });
  }

private:
  void take_requests()
  {
    for (auto end = received_.find("\r\n\r\n"); end != std::string::npos;
         end = received_.find("\r\n\r\n")) {
      const std::string head = received_.substr(0, end + 4);
      received_.erase(0, end + 4);
      on_request(head);
    }
  }

  void write()
  {
    if (is_writing_) {
      return;
    }
    if (to_send_.empty()) {
      to_send_ = endless_;
    }
    if (to_send_.empty() && is_closing_) {
      close();
    }
    if (to_send_.empty() && is_ending_) {
      boost::system::error_code ignored; // The connection has ended in any case.
      socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    }
    if (to_send_.empty()) {
      return;
    }
    is_writing_ = true;
    auto bytes = std::make_shared<std::string>(std::move(to_send_));
    to_send_.clear();
    boost::asio::async_write(socket_,
                             boost::asio::buffer(*bytes),
                             [self = shared_from_this(), bytes](auto error, std::size_t count) {
                               self->is_writing_ = false;
                               self->bytes_sent += count;
                               if (error) {
                                 self->has_ended = true;
                                 return;
                               }
                               self->write();
                             });
  }

  boost::asio::ip::tcp::socket socket_;
  std::array<char, 16384> buffer_{}; ///< Receives requests.
  std::string received_;             ///< Start of an incomplete request.
  std::string to_send_;              ///< Bytes that were not passed to the kernel yet.
  std::string endless_;              ///< Block that is sent whenever nothing else is to be sent.
  bool is_writing_ = false;          ///< A write is pending.
  bool is_closing_ = false;          ///< Close once everything was sent.
  bool is_ending_ = false;           ///< End the sending direction once everything was sent.
  bool is_reading_stopped_ = false;  ///< Nothing more is read.
};

using scripted_connection_ptr = std::shared_ptr<scripted_connection>;

/** The server. Its connections live until they are closed. */
class scripted_server
{
public:
  /** A request arrived. */
  std::function<void(const scripted_connection_ptr&, const std::string&)> on_request;
  int connections = 0;                           ///< Accepted connections.
  int requests = 0;                              ///< Received requests.
  std::vector<scripted_connection_ptr> accepted; ///< All accepted connections.

  explicit scripted_server(boost::asio::io_context& context)
    : acceptor_(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    , port_(acceptor_.local_endpoint().port())
  {
    accept();
  }

  std::uint16_t port() const { return port_; }

  /** Ends the server as a crash does: its port and all connections are closed. */
  void crash()
  {
    acceptor_.close();
    for (const scripted_connection_ptr& item : accepted) {
      item->close();
    }
    accepted.clear();
  }

  /** Opens the port again after a crash. */
  void restart()
  {
    acceptor_ = { acceptor_.get_executor(), { boost::asio::ip::make_address("127.0.0.1"), port_ } };
    accept();
  }

private:
  void accept()
  {
    acceptor_.async_accept([this](auto error, boost::asio::ip::tcp::socket socket) {
      if (error) {
        return;
      }
      ++connections;
      auto added = std::make_shared<scripted_connection>(std::move(socket));
      accepted.push_back(added);
      std::weak_ptr<scripted_connection> weak = added;
      added->on_request = [this, weak](const std::string& head) {
        ++requests;
        on_request(weak.lock(), head);
      };
      added->read();
      accept();
    });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_;
};

/** Runs an event loop until a condition holds, at most 20 s. Returns whether it holds. */
inline bool
run_until(boost::asio::io_context& context, const std::function<bool()>& is_met)
{
  static constexpr std::chrono::seconds RUN_TIMEOUT{ 20 };
  const auto until = std::chrono::steady_clock::now() + RUN_TIMEOUT;
  while (!is_met() && std::chrono::steady_clock::now() < until) {
    context.restart();
    context.run_one_for(std::chrono::milliseconds(10)); // The condition may be changed by a thread.
  }
  return is_met();
}

/** Returns the value of a header in the head of a request, or an empty string. */
inline std::string
header_of(const std::string& head, const std::string& name)
{
  const auto at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) {
    return "";
  }
  const auto start = at + name.size() + 4;
  return head.substr(start, head.find("\r\n", start) - start);
}

} // namespace shallotfield
