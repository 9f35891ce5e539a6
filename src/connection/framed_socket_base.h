// A TCP connection that carries frames.
#pragma once
#include "frame_codec.h"

#include <QTcpSocket>
#include <functional>
#include <memory>
#include <string>

namespace shallotfield {

/** How a framed connection ended. */
enum class link_close_reason
{
  closed,        ///< Either side closed it, or the network did.
  not_connected, ///< It was never open: nothing that was sent has left.
  bad_input,     ///< The peer sent bytes that were refused.
};

inline constexpr enum_table<link_close_reason, 3> LINK_CLOSE_REASON_ROWS = { {
  { link_close_reason::closed, "closed" },
  { link_close_reason::not_connected, "not_connected" },
  { link_close_reason::bad_input, "bad_input" },
} };
static_assert(is_complete(LINK_CLOSE_REASON_ROWS, link_close_reason::bad_input));

/** @return The name table of link ends. */
constexpr const auto&
enum_rows(link_close_reason)
{
  return LINK_CLOSE_REASON_ROWS;
}

/**
 * Sends and receives frames. All calls and callbacks happen on the thread that made it. After
 * `on_end` nothing more is called; the owner may then delete it later, not within the callback.
 */
class framed_socket
{
public:
  std::function<void()> on_open;                 ///< The connection is open (outgoing ones only).
  std::function<void(frame&&)> on_frame;         ///< A frame arrived.
  std::function<void(link_close_reason)> on_end; ///< The connection ended.
  std::function<void()> on_written;              ///< Bytes left the send buffer.
  std::function<void()> on_bytes_received;       ///< Bytes arrived, also if no frame is whole yet.

  /** @param limits Limits of the frames to accept. */
  explicit framed_socket(frame_limits limits);
  ~framed_socket();
  framed_socket(const framed_socket&) = delete;
  framed_socket& operator=(const framed_socket&) = delete;

  /**
   * Connects to a peer.
   * @param to Its address.
   * @param timeout_ms Time after which an attempt that got no answer has failed.
   */
  void connect_to(const endpoint& to, int timeout_ms);

  /** Takes over an accepted connection. @param descriptor Its socket descriptor. */
  void accept(qintptr descriptor);

  /** Sends bytes of a frame; queued while the connection opens. @param bytes The bytes. */
  void send(const std::string& bytes);

  /** Refuses what the peer sent: closes the connection. @param error Why. */
  void refuse(const frame_error& error);

  /** Closes the connection after what was sent has left. on_end follows. */
  void close();

  /** @return Bytes that were sent and have not left. */
  std::int64_t unsent_bytes() const { return socket_.bytesToWrite(); }

  /** @return The peer's address, for logs. */
  std::string peer_address() const;

private:
  /** Reads what arrived. */
  void read();
  /** Tells the owner that the connection ended, once. */
  void end(link_close_reason reason);

  QTcpSocket socket_;       ///< The connection.
  frame_decoder decoder_;   ///< Cuts the bytes into frames.
  std::string send_buffer_; ///< Sent before the connection was open.
  bool is_open_ = false;    ///< The connection is open.
  bool has_ended_ = false;  ///< on_end was called.
};

} // namespace shallotfield
