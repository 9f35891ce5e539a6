// A fake caller on the event loop of a test. It keeps connections open, sends requests one after
// the other or several at once, and records what happened to each.
#pragma once
#include "connection/connection.h"

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <set>

namespace shallotfield {

/** What happened to the requests of all callers of a test. */
struct caller_record
{
  std::map<std::string, unsigned> statuses; ///< Status of each answered request, by request id.
  std::set<std::string> mixed;              ///< Requests answered with another request's response.
  /** Requests without a response at the end of their connection, with the time since sending. */
  std::map<std::string, std::chrono::milliseconds> cut;
};

/** One connection of a caller. */
class fake_caller : public std::enable_shared_from_this<fake_caller>
{
public:
  bool has_ended = false;                    ///< The connection was closed.
  std::size_t bytes_read = 0;                ///< Bytes of responses so far.
  std::chrono::milliseconds read_delay{ 0 }; ///< Pause after each read; 0: none.
  std::function<void()> on_answered;         ///< All requests that were sent are answered.

  fake_caller(boost::asio::io_context& context, caller_record& record)
    : socket_(context)
    , record_(record)
  {
  }

  /** Connects. The receive buffer is small if `is_slow`, so that the sender has to wait. */
  bool open(std::uint16_t port, bool is_slow = false)
  {
    boost::system::error_code error;
    socket_.open(boost::asio::ip::tcp::v4(), error);
    if (is_slow) {
      socket_.set_option(boost::asio::socket_base::receive_buffer_size(8192), error);
    }
    socket_.connect({ boost::asio::ip::make_address("127.0.0.1"), port }, error);
    has_ended = static_cast<bool>(error);
    if (!error) {
      read();
    }
    return !error;
  }

  /** Sends a GET request. */
  void send(const std::string& id, const std::string& target, std::int64_t wait_ms = 2000)
  {
    open_.push_back({ id, std::chrono::steady_clock::now() });
    auto bytes = std::make_shared<std::string>(
      "GET " + target + " HTTP/1.1\r\nHost: h\r\nX-Shallotfield-Request-Id: " + id +
      "\r\nX-Shallotfield-Deadline-Ms: " + std::to_string(wait_ms) + "\r\n\r\n");
    boost::asio::async_write(
      socket_, boost::asio::buffer(*bytes), [self = shared_from_this(), bytes](auto, auto) {});
  }

  std::size_t open_requests() const { return open_.size(); }

  /** Closes the connection. */
  void close()
  {
    boost::system::error_code ignored; // The connection has ended in any case.
    socket_.close(ignored);
  }

private:
  /** A request that was sent. */
  struct sent_request
  {
    std::string id;
    std::chrono::steady_clock::time_point sent_at;
  };

  void read()
  {
    socket_.async_read_some(boost::asio::buffer(buffer_),
                            [self = shared_from_this()](auto error, std::size_t count) {
                              if (error) {
                                self->end();
                                return;
                              }
                              self->bytes_read += count;
                              self->parse({ self->buffer_.data(), count });
                              self->read_later();
                            });
  }

  void read_later()
  {
    if (read_delay.count() == 0) {
      read();
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(socket_.get_executor(), read_delay);
    timer->async_wait([self = shared_from_this(), timer](auto) { self->read(); });
  }

  void parse(std::string_view bytes)
  {
    std::string rest(bytes);
    while (!rest.empty() && !open_.empty()) {
      if (!reader_) {
        reader_ = std::make_unique<response_reader>(false);
      }
      std::optional<http_fault> fault;
      const response_piece piece = reader_->feed(rest, fault);
      rest.clear();
      if (piece.head) {
        head_ = *piece.head;
      }
      if (!piece.is_done) {
        return;
      }
      rest = reader_->take_unparsed();
      reader_.reset();
      const std::string* echo = find_header(head_.headers, "X-Shallotfield-Request-Id");
      if (echo == nullptr || *echo != open_.front().id) {
        record_.mixed.insert(open_.front().id);
      }
      record_.statuses[open_.front().id] = head_.status;
      open_.pop_front();
    }
    if (open_.empty() && on_answered) {
      on_answered();
    }
  }

  void end()
  {
    has_ended = true;
    const auto now = std::chrono::steady_clock::now();
    for (const sent_request& item : open_) {
      record_.cut[item.id] =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - item.sent_at);
    }
    open_.clear();
  }

  boost::asio::ip::tcp::socket socket_;
  caller_record& record_;
  std::array<char, 4096> buffer_{};
  std::deque<sent_request> open_;           ///< Requests without a complete response.
  std::unique_ptr<response_reader> reader_; ///< Parser of the response that is arriving.
  response_head head_;                      ///< Head of that response.
};

} // namespace shallotfield
