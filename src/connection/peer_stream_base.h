// Link between two proxies, on a traffic thread.
#pragma once
#include "byte_stream_base.h"
#include "traffic_message_codec.h"

namespace shallotfield {

/** Exchanges traffic messages over a TCP connection. Invalid input ends the link. */
class peer_stream : public std::enable_shared_from_this<peer_stream>
{
public:
  std::function<void(traffic_message&&)> on_message; ///< A message arrived.
  /** A message arrived for whose body there was no memory; it is without the body. */
  std::function<void(traffic_message&&)> on_body_dropped;
  std::function<void(stream_close_reason)> on_end; ///< The link ended.

  /**
   * Callbacks run on the thread of this context. Frames larger than frame_bytes_max are rejected.
   * Bodies count toward `budget`.
   */
  peer_stream(boost::asio::io_context& context,
              std::size_t frame_bytes_max,
              const memory_budget_ptr& budget = nullptr);

  /** Takes ownership of an accepted socket and starts to read. */
  void accept(boost::asio::ip::tcp::socket&& socket);

  /** Opens a link. If it is not established within timeout_ms, on_end reports not_connected. */
  void connect(const endpoint& to, std::int64_t timeout_ms);

  void send(const traffic_message& message) { send_frame(encode_traffic_parts(message)); }

  /** Sends an encoded message. */
  void send_frame(const encoded_traffic& message) { stream_->send(message.front, message.payload); }

  /** Sends the next part of an encoded message. Other messages have to wait for its last part. */
  void send_part(std::string_view bytes) { stream_->send(bytes); }

  /** Returns the number of bytes that have not been passed to the kernel yet. */
  std::size_t unsent_bytes() const { return stream_->unsent_bytes(); }

  /** Closes the link immediately. No callback follows. */
  void abort();

  bool is_open() const { return stream_->is_open(); }

  /** Returns when data arrived last; before any data, when the link was established. */
  mono_ms last_received_at() const { return last_received_at_; }

private:
  void set_stream_callbacks();
  void handle_bytes(std::string_view bytes);
  void refuse(const frame_error& error);

  byte_stream_ptr stream_;
  frame_decoder decoder_;
  mono_ms last_received_at_ = 0; ///< 0 until the link is established.
  bool has_ended_ = false;       ///< No further callback is invoked.
};

using peer_stream_ptr = std::shared_ptr<peer_stream>;

} // namespace shallotfield
