// Client side of an HTTP connection, on a thread with a Qt event loop.
#pragma once
#include "http_codec.h"
#include "tcp_state_reader.h"

#include <QTcpSocket>
#include <functional>

namespace shallotfield {

/**
 * Why a request failed. If the connection ends within the head of a response, http_client reports
 * no_response and server_stream reports cut.
 */
enum class http_client_error
{
  never_sent,  ///< The connection was not established; nothing was sent.
  no_response, ///< The connection ended before the response began.
  cut,         ///< The connection ended within the response.
  malformed,   ///< The response is not valid HTTP or too large.
};

inline constexpr enum_table<http_client_error, 4> HTTP_CLIENT_ERROR_ROWS = { {
  { http_client_error::never_sent, "never_sent" },
  { http_client_error::no_response, "no_answer" },
  { http_client_error::cut, "cut" },
  { http_client_error::malformed, "malformed" },
} };
static_assert(is_complete(HTTP_CLIENT_ERROR_ROWS, http_client_error::malformed));

/** Returns the name table of HTTP client errors. */
constexpr const auto&
enum_rows(http_client_error)
{
  return HTTP_CLIENT_ERROR_ROWS;
}

/**
 * Sends one request at a time, and never resends a request by itself. The owner receives the
 * response in pieces. While it pauses reading, TCP flow control holds back the server. After
 * on_failed or on_idle_end the connection is closed; the owner may then delete the object, but not
 * within the callback.
 */
class http_client
{
public:
  std::function<void(response_piece&&)> on_piece;   ///< Part of the response arrived.
  std::function<void(http_client_error)> on_failed; ///< The open request failed.
  /** The server closed the connection while no request was open. */
  std::function<void()> on_idle_end;

  /**
   * Connects to a server. If the connection is not established within connect_timeout_ms, on_failed
   * reports never_sent.
   */
  http_client(const endpoint& to, int connect_timeout_ms);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /** Sends a request. Before the connection is established, the request is buffered. */
  void send(const request_head& head, std::string_view body);

  /** Pauses or resumes reading the response. */
  void pause(bool is_paused);

  /** Closes the connection immediately. No callback follows. */
  void abort();

private:
  /** Reads received data, unless reading is paused. */
  void read();
  /** Passes part of the response to the owner, or reports the error. */
  void handle_piece(response_piece&& piece, const std::optional<http_fault>& error);
  /** Handles the end of the connection. */
  void end();
  /** Closes the connection and calls on_failed, unless it ended before. */
  void fail(http_client_error reason);

  QTcpSocket socket_;
  tcp_state_reader state_reader_; ///< Tells after the end of the connection how it ended.
  std::string send_buffer_;       ///< Request that is sent when the connection is established.
  std::unique_ptr<response_reader> reader_; ///< Parser of the expected response; null while idle.
  bool is_open_ = false;                    ///< The connection was established.
  bool has_head_ = false;                   ///< The head of the response has arrived.
  bool is_paused_ = false;
  bool has_ended_ = false; ///< No further callback is invoked.
};

} // namespace shallotfield
