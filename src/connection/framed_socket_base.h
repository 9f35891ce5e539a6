// TCP connection that carries frames, on a thread with a Qt event loop.
#pragma once
#include "frame_codec.h"

#include <QTcpSocket>
#include <functional>
#include <memory>
#include <string>

namespace shallotfield {

/** Why a framed connection ended. */
enum class link_close_reason
{
  closed,        ///< It was closed by either side, or it was lost.
  not_connected, ///< It was never established; nothing was sent.
  bad_input,     ///< The peer sent invalid data.
};

inline constexpr enum_table<link_close_reason, 3> LINK_CLOSE_REASON_ROWS = { {
  { link_close_reason::closed, "closed" },
  { link_close_reason::not_connected, "not_connected" },
  { link_close_reason::bad_input, "bad_input" },
} };
static_assert(is_complete(LINK_CLOSE_REASON_ROWS, link_close_reason::bad_input));

/** Returns the name table of link close reasons. */
constexpr const auto&
enum_rows(link_close_reason)
{
  return LINK_CLOSE_REASON_ROWS;
}

/**
 * Sends and receives frames. It may only be used on the thread that created it, where the callbacks
 * run too. No callback is invoked after on_end. The owner may then delete the object, but not
 * within the callback.
 */
class framed_socket
{
public:
  std::function<void()> on_open;                 ///< An outgoing connection was established.
  std::function<void(frame&&)> on_frame;         ///< A frame arrived.
  std::function<void(link_close_reason)> on_end; ///< The connection ended.
  std::function<void()> on_written;              ///< Part of the send buffer was sent.
  std::function<void()> on_bytes_received;       ///< Data arrived, even if it completes no frame.

  explicit framed_socket(frame_limits limits);
  ~framed_socket();
  framed_socket(const framed_socket&) = delete;
  framed_socket& operator=(const framed_socket&) = delete;

  /**
   * Connects to a peer. If the connection is not established within timeout_ms, on_end reports
   * not_connected.
   */
  void connect_to(const endpoint& to, int timeout_ms);

  /** Takes ownership of the socket descriptor of an accepted connection. */
  void accept(qintptr descriptor);

  /** Sends an encoded frame. Before the connection is established, the frame is buffered. */
  void send(const std::string& bytes);

  /** Rejects data from the peer: logs the error and ends the connection with bad_input. */
  void refuse(const frame_error& error);

  /** Closes the connection once the kernel has accepted all data. on_end follows. */
  void close();

  /**
   * Returns the number of bytes that have not been passed to the kernel yet, without those that are
   * buffered until the connection is established.
   */
  std::int64_t unsent_bytes() const { return socket_.bytesToWrite(); }

  /** Returns the address and port of the peer, for log lines. */
  std::string peer_address() const;

private:
  /** Reads and decodes received data. */
  void read();
  /** Calls on_end, unless it was called before. */
  void end(link_close_reason reason);

  QTcpSocket socket_;
  frame_decoder decoder_;
  std::string send_buffer_; ///< Data passed to send() before the connection was established.
  bool is_open_ = false;    ///< The connection was established.
  bool has_ended_ = false;
};

} // namespace shallotfield
