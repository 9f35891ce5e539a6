// TCP connection on a traffic thread.
#pragma once
#include "shared_body_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace shallotfield {

/** Why a TCP connection ended. */
enum class stream_close_reason
{
  not_connected, ///< It could not be established; nothing was sent.
  closed,        ///< The peer closed it in an orderly way.
  broken,        ///< It was reset, or the peer stopped acknowledging data.
};

inline constexpr enum_table<stream_close_reason, 3> STREAM_CLOSE_REASON_ROWS = { {
  { stream_close_reason::not_connected, "not_connected" },
  { stream_close_reason::closed, "closed" },
  { stream_close_reason::broken, "broken" },
} };
static_assert(is_complete(STREAM_CLOSE_REASON_ROWS, stream_close_reason::broken));

/** Returns the name table of stream close reasons. */
constexpr const auto&
enum_rows(stream_close_reason)
{
  return STREAM_CLOSE_REASON_ROWS;
}

/**
 * Non-blocking TCP connection that belongs to the thread of its io_context. It reads continuously
 * unless paused, so that a close by the peer is noticed at once. No callback is invoked after
 * on_end or after abort().
 */
class byte_stream : public std::enable_shared_from_this<byte_stream>
{
public:
  std::function<void()> on_open;                   ///< An outgoing connection was established.
  std::function<void(std::string_view)> on_bytes;  ///< Data arrived; valid during the call only.
  std::function<void(stream_close_reason)> on_end; ///< The connection ended.
  std::function<void()> on_drained;                ///< All data was passed to the kernel.
  /** Data that had to wait was passed to the kernel: the number of bytes. */
  std::function<void(std::size_t)> on_progress;

  /** Callbacks run on the thread of this context. Copied data that waits to be sent counts toward
   * `budget`. */
  explicit byte_stream(boost::asio::io_context& context, memory_budget_ptr budget = nullptr);
  byte_stream(const byte_stream&) = delete;
  byte_stream& operator=(const byte_stream&) = delete;

  /** Takes ownership of an accepted socket and starts to read. */
  void accept(boost::asio::ip::tcp::socket&& socket);

  /**
   * Connects to an endpoint. If the connection is not established within timeout_ms, on_end reports
   * not_connected.
   */
  void connect(const endpoint& to, std::int64_t timeout_ms);

  /** Sends data. Before the connection is established, the data is buffered. */
  void send(std::string_view bytes);

  /** Sends data and after it a body, which is not copied if it is large. */
  void send(std::string_view front, const shared_body& body);

  /**
   * Shuts down the sending direction once the send buffer is empty. on_end follows when the peer
   * closes too; data that arrives meanwhile is discarded. A connection that is not established yet
   * ends at once with not_connected.
   */
  void close_after_send();

  /** Closes the connection immediately. No callback follows. */
  void abort();

  /** Calls a function from the event loop of the connection. */
  void post(std::function<void()> work);

  /** Pauses or resumes reading. */
  void pause(bool is_paused);

  /** Returns the number of bytes that have not been passed to the kernel yet. */
  std::size_t unsent_bytes() const { return unsent_bytes_; }

  bool is_open() const { return is_open_ && !has_ended_; }

private:
  /** Part of the data to send: a text of its own, or a body that others may hold too. */
  struct segment
  {
    std::string text;
    shared_body body;     ///< Used if the text is empty.
    std::size_t sent = 0; ///< Bytes at the start that were sent.
    std::string_view rest() const
    {
      return (text.empty() ? body.view() : std::string_view(text)).substr(sent);
    }
  };

  void append(std::string_view bytes);
  void write_if_idle(bool was_idle);
  /** Removes data that was sent from the segments. */
  void remove_sent(std::size_t count);
  void set_options();
  void wait_readable();
  void read();
  void write();
  void end(stream_close_reason reason);

  boost::asio::ip::tcp::socket socket_;
  /** Limits the time to connect; null when not connecting. */
  std::unique_ptr<boost::asio::steady_timer> connect_timer_;
  std::deque<segment> segments_; ///< Data to send.
  std::size_t unsent_bytes_ = 0; ///< Size of that data.
  std::size_t copied_bytes_ = 0; ///< Size of the segments that have a text.
  memory_lease copied_lease_;    ///< Memory of these segments, counted once they have to wait.
  bool is_open_ = false;         ///< The connection was established.
  bool is_paused_ = false;
  bool is_waiting_readable_ = false; ///< A wait for received data is pending.
  bool is_waiting_writable_ = false; ///< A wait for space in the kernel's send buffer is pending.
  /** Shut down the sending direction when the send buffer is empty. */
  bool is_closing_after_send_ = false;
  bool has_write_failed_ = false; ///< The connection broke, and the writer was told so.
  bool has_ended_ = false;
  bool is_aborted_ = false; ///< abort() was called, so on_end is not invoked.
};

using byte_stream_ptr = std::shared_ptr<byte_stream>;

} // namespace shallotfield
