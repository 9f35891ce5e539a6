// A connection to a backend server.
#pragma once
#include "http_codec.h"

#include <QTcpSocket>
#include <functional>

namespace shallotfield {

/** How a request to a server failed. */
enum class http_client_error
{
  never_sent,  ///< No connection; nothing left this process.
  no_response, ///< The connection broke before an answer began.
  cut,         ///< The connection broke within the answer.
  malformed,   ///< The answer can't be read.
};

inline constexpr enum_table<http_client_error, 4> HTTP_CLIENT_ERROR_ROWS = { {
  { http_client_error::never_sent, "never_sent" },
  { http_client_error::no_response, "no_answer" },
  { http_client_error::cut, "cut" },
  { http_client_error::malformed, "malformed" },
} };
static_assert(is_complete(HTTP_CLIENT_ERROR_ROWS, http_client_error::malformed));

/** @return The name table of client failures. */
constexpr const auto&
enum_rows(http_client_error)
{
  return HTTP_CLIENT_ERROR_ROWS;
}

/**
 * Sends one request at a time and never sends one twice. The answer comes in pieces; reading can be
 * paused, which holds up the server. After on_failed, or on_idle_end, the connection is over; the
 * owner may then delete it later, not within the callback.
 */
class http_client
{
public:
  std::function<void(response_piece&&)> on_piece;   ///< Part of the answer.
  std::function<void(http_client_error)> on_failed; ///< The request under way failed.
  std::function<void()> on_idle_end;                ///< The server closed an idle connection.

  /** @param to The server. @param connect_timeout_ms Time for the connection to open. */
  http_client(const endpoint& to, int connect_timeout_ms);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /** Sends a request. @param head Its head. @param body Its body. */
  void send(const request_head& head, std::string_view body);

  /** Holds up or goes on with reading the answer. @param is_paused Whether to hold up. */
  void pause(bool is_paused);

  /** Breaks the connection; no callback follows. */
  void abort();

private:
  /** Reads what arrived, unless paused. */
  void read();
  /** Hands on a part of the answer. */
  void take(response_piece&& piece, const std::optional<http_fault>& error);
  /** The connection ended. */
  void end();
  /** Tells the owner that the request failed. */
  void fail(http_client_error reason);

  QTcpSocket socket_;                       ///< The connection.
  std::string send_buffer_;                 ///< Request that waits for the connection.
  std::unique_ptr<response_reader> reader_; ///< Reads the answer under way.
  bool is_open_ = false;                    ///< The connection is open.
  bool has_head_ = false;                   ///< The answer began.
  bool is_paused_ = false;                  ///< Reading is held up.
  bool has_ended_ = false;                  ///< Nothing more is called.
};

} // namespace shallotfield
