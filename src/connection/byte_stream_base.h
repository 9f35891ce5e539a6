// TCP connection on a traffic thread.
#pragma once
#include "process/process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
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

  /** Callbacks run on the thread of this context. */
  explicit byte_stream(boost::asio::io_context& context);
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

  /**
   * Shuts down the sending direction once the send buffer is empty. on_end follows when the peer
   * closes too; data that arrives meanwhile is discarded. A connection that is not established yet
   * ends at once with not_connected.
   */
  void close_after_send();

  /** Closes the connection immediately. No callback follows. */
  void abort();

  /** Pauses or resumes reading. */
  void pause(bool is_paused);

  /** Returns the number of bytes that have not been passed to the kernel yet. */
  std::size_t unsent_bytes() const { return send_buffer_.size() - send_offset_; }

  bool is_open() const { return is_open_ && !has_ended_; }

private:
  void set_options();
  void wait_readable();
  void read();
  void write();
  void end(stream_close_reason reason);

  boost::asio::ip::tcp::socket socket_;
  /** Limits the time to connect; null when not connecting. */
  std::unique_ptr<boost::asio::steady_timer> connect_timer_;
  std::string send_buffer_;     ///< Data to send, including the part that was sent already.
  std::size_t send_offset_ = 0; ///< Bytes at the start of the send buffer that were sent.
  bool is_open_ = false;        ///< The connection was established.
  bool is_paused_ = false;
  bool is_waiting_readable_ = false; ///< A wait for received data is pending.
  bool is_waiting_writable_ = false; ///< A wait for space in the kernel's send buffer is pending.
  /** Shut down the sending direction when the send buffer is empty. */
  bool is_closing_after_send_ = false;
  bool has_ended_ = false;
  bool is_aborted_ = false; ///< abort() was called, so on_end is not invoked.
};

using byte_stream_ptr = std::shared_ptr<byte_stream>;

} // namespace shallotfield
