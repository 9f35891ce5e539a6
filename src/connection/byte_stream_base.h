// A TCP connection on a traffic thread.
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

/** How a connection ended. */
enum class stream_close_reason
{
  not_connected, ///< It could not be opened; nothing was sent.
  closed,        ///< The peer closed it in order.
  broken,        ///< It was reset, or the peer stopped acknowledging.
};

inline constexpr enum_table<stream_close_reason, 3> STREAM_CLOSE_REASON_ROWS = { {
  { stream_close_reason::not_connected, "not_connected" },
  { stream_close_reason::closed, "closed" },
  { stream_close_reason::broken, "broken" },
} };
static_assert(is_complete(STREAM_CLOSE_REASON_ROWS, stream_close_reason::broken));

/** @return The name table of stream ends. */
constexpr const auto&
enum_rows(stream_close_reason)
{
  return STREAM_CLOSE_REASON_ROWS;
}

/**
 * A TCP connection of a thread that runs an io_context. It reads at all times, unless paused, so
 * that the peer's close is seen at once. Nothing is called after on_end or abort().
 */
class byte_stream : public std::enable_shared_from_this<byte_stream>
{
public:
  std::function<void()> on_open;                   ///< The connection is open.
  std::function<void(std::string_view)> on_bytes;  ///< Bytes arrived.
  std::function<void(stream_close_reason)> on_end; ///< The connection ended.
  std::function<void()> on_drained;                ///< All bytes were handed to the system.

  /** @param context The thread's context. */
  explicit byte_stream(boost::asio::io_context& context);
  byte_stream(const byte_stream&) = delete;
  byte_stream& operator=(const byte_stream&) = delete;

  /** Takes over an accepted socket and reads. @param socket The socket. */
  void accept(boost::asio::ip::tcp::socket&& socket);

  /** Connects. @param to Where to. @param timeout_ms Time for the connection to open. */
  void connect(const endpoint& to, std::int64_t timeout_ms);

  /** Sends bytes, or keeps them until the connection is open. @param bytes The bytes. */
  void send(std::string_view bytes);

  /** Closes in order once all bytes are sent; what arrives meanwhile is dropped. */
  void close_after_send();

  /** Breaks the connection; nothing is called any more. */
  void abort();

  /** Stops or goes on with reading. @param is_paused Whether to stop. */
  void pause(bool is_paused);

  /** @return Bytes that were not handed to the system yet. */
  std::size_t unsent_bytes() const { return send_buffer_.size() - send_offset_; }

  /** @return Whether the connection is open. */
  bool is_open() const { return is_open_ && !has_ended_; }

private:
  void set_options();
  void wait_readable();
  void read();
  void write();
  void end(stream_close_reason reason);

  boost::asio::ip::tcp::socket socket_;                      ///< The connection.
  std::unique_ptr<boost::asio::steady_timer> connect_timer_; ///< Ends a slow connect.
  std::string send_buffer_;                                  ///< Bytes to send.
  std::size_t send_offset_ = 0;                              ///< Of these, bytes that left.
  bool is_open_ = false;                                     ///< The connection is open.
  bool is_paused_ = false;                                   ///< Reading is stopped.
  bool is_waiting_readable_ = false;                         ///< A wait is under way.
  bool is_waiting_writable_ = false;                         ///< A wait is under way.
  bool is_closing_after_send_ = false;                       ///< Close once all is sent.
  bool has_ended_ = false;                                   ///< The connection is over.
  bool is_aborted_ = false; ///< It was broken from this side; the end isn't told.
};

using byte_stream_ptr = std::shared_ptr<byte_stream>;

} // namespace shallotfield
