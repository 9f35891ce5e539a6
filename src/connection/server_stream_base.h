// A connection to the backend server beside a proxy, on a traffic thread.
#pragma once
#include "byte_stream_base.h"
#include "http_client_base.h"
#include "http_codec.h"

namespace shallotfield {

/** A whole answer of a server. */
struct server_response
{
  response_head head; ///< Status and headers.
  std::string body;   ///< Whole body.
};

/**
 * Sends one request at a time and reads its whole answer. An answer to another request, as the
 * owner tells it, is dropped, and the next one on the connection is read.
 */
class server_stream : public std::enable_shared_from_this<server_stream>
{
public:
  std::function<bool(const response_head&)>
    is_mismatched; ///< Whether an answer is another request's.
  std::function<void(server_response&&, bool)>
    on_response;                                    ///< The answer; whether to use it again.
  std::function<void(http_client_error)> on_failed; ///< The request failed.
  std::function<void()> on_idle_end;                ///< The connection ended while idle.

  /** @param context The thread's context. @param to The server. @param connect_timeout_ms Time for
   * the connection to open. */
  server_stream(boost::asio::io_context& context, endpoint to, std::int64_t connect_timeout_ms);

  /** Sends a request. The connection must be idle. @param head Its head. @param body Its body. */
  void send(const request_head& head, std::string_view body);

  /** Breaks the connection; nothing is called any more. */
  void abort();

private:
  void open();
  void handle_bytes(std::string_view bytes);
  void append_piece(response_piece&& piece);
  void handle_stream_close(stream_close_reason reason);
  void finish_response(bool keeps_connection);
  void fail(http_client_error reason);

  endpoint to_;                             ///< The server.
  std::int64_t connect_timeout_ms_;         ///< Time for the connection to open.
  byte_stream_ptr stream_;                  ///< The connection.
  std::unique_ptr<response_reader> reader_; ///< Reads the answer under way.
  server_response response_;                ///< The answer so far.
  bool is_head_request_ = false;            ///< The request is a HEAD.
  bool has_begun_ = false;                  ///< Bytes of the answer arrived.
  bool was_opened_ = false;                 ///< connect() was called.
  bool has_ended_ = false;                  ///< Nothing more is called.
};

using server_stream_ptr = std::shared_ptr<server_stream>;

} // namespace shallotfield
