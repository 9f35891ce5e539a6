// Connection from a proxy to the backend server on its VM, on a traffic thread.
#pragma once
#include "byte_stream_base.h"
#include "http_client_base.h"
#include "http_codec.h"
#include "response_memory.h"

namespace shallotfield {

/** A complete response of a server. */
struct server_response
{
  response_head head;
  std::string body;
};

/**
 * Sends one request at a time and collects the complete response. A response that the owner
 * recognises as belonging to another request is discarded, and the next response on the connection
 * is read instead.
 */
class server_stream : public std::enable_shared_from_this<server_stream>
{
public:
  /** Whether a response belongs to another request; optional. */
  std::function<bool(const response_head&)> is_mismatched;
  /**
   * The response arrived; the flag says whether the connection can be reused. The owner sets this
   * callback for each request, because it is cleared when it is invoked.
   */
  std::function<void(server_response&&, bool)> on_response;
  /** The request failed; the connection is closed. The callback is cleared when it is invoked. */
  std::function<void(http_client_error)> on_failed;
  std::function<void()> on_idle_end; ///< The connection ended while no request was open.

  /** The connection is opened by the first call of send(). `memory` limits the memory of the
   * responses of several connections together. */
  server_stream(boost::asio::io_context& context,
                endpoint to,
                std::int64_t connect_timeout_ms,
                std::shared_ptr<response_memory> memory = nullptr);

  /** Sends a request. The previous request must have been answered. */
  void send(const request_head& head, const shared_body& body);

  /** Closes the connection immediately. No callback follows. */
  void abort();

private:
  void open();
  void handle_bytes(std::string_view bytes);
  void append_piece(response_piece&& piece);
  void handle_stream_close(stream_close_reason reason);
  void finish_response(bool keeps_connection);
  void fail(http_client_error reason);

  endpoint to_;
  std::int64_t connect_timeout_ms_;
  byte_stream_ptr stream_;
  std::unique_ptr<response_reader> reader_; ///< Parser of the expected response; null while idle.
  server_response response_;                ///< The response as received so far.
  response_lease lease_;                    ///< Memory of that response.
  std::size_t received_bytes_ = 0; ///< Bytes since the request, with those of discarded responses.
  bool is_head_request_ = false; ///< The open request is a HEAD request: the response has no body.
  bool has_begun_ = false;       ///< Part of the response has arrived.
  bool was_opened_ = false;      ///< open() was called.
  bool has_ended_ = false;       ///< No further callback is invoked.
};

using server_stream_ptr = std::shared_ptr<server_stream>;

} // namespace shallotfield
