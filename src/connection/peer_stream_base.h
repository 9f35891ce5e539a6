// A link between two proxies, on a traffic thread.
#pragma once
#include "byte_stream_base.h"
#include "traffic_message_codec.h"

namespace shallotfield {

/** Carries traffic messages. Input that can't be read ends the link. */
class peer_stream : public std::enable_shared_from_this<peer_stream>
{
public:
  std::function<void(traffic_message&&)> on_message; ///< A message arrived.
  std::function<void(stream_close_reason)> on_end;   ///< The link ended.

  /** @param context The thread's context. @param frame_bytes_max Largest frame to accept. */
  peer_stream(boost::asio::io_context& context, std::size_t frame_bytes_max);

  /** Takes over an accepted link. @param socket Its socket. */
  void accept(boost::asio::ip::tcp::socket&& socket);

  /** Opens a link. @param to The peer. @param timeout_ms Time for it to open. */
  void connect(const endpoint& to, std::int64_t timeout_ms);

  /** Sends a message. @param message The message. */
  void send(const traffic_message& message) { stream_->send(encode_traffic(message)); }

  /** Breaks the link; nothing is called any more. */
  void abort();

  /** @return Whether the link is open. */
  bool is_open() const { return stream_->is_open(); }

  /** @return When bytes arrived last, or the link opened. */
  mono_ms last_received_at() const { return last_received_at_; }

private:
  void set_stream_callbacks();
  void handle_bytes(std::string_view bytes);
  void refuse(const frame_error& error);

  byte_stream_ptr stream_;       ///< The connection.
  frame_decoder decoder_;        ///< Cuts it into frames.
  mono_ms last_received_at_ = 0; ///< When bytes arrived last.
  bool has_ended_ = false;       ///< Nothing more is called.
};

using peer_stream_ptr = std::shared_ptr<peer_stream>;

} // namespace shallotfield
