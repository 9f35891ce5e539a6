// One caller's HTTP connection.
#pragma once
#include "http_codec.h"

#include <QTcpSocket>
#include <functional>

namespace shallotfield {

/**
 * The server's side of an HTTP connection. It hands on one request at a time and takes the answer
 * whole or in pieces. After `on_disconnected` nothing more is called; the owner may then delete it
 * later, not within the callback.
 */
class http_session
{
public:
  std::function<void(http_request&&)> on_request; ///< A request is complete.
  std::function<void()> on_disconnected;          ///< The connection ended.
  std::function<void()> on_written;               ///< Bytes left the send buffer.

  /**
   * @param descriptor Socket descriptor of the accepted connection.
   * @param body_limit Largest request body, in bytes; a larger one is answered with 413.
   */
  http_session(qintptr descriptor, std::uint64_t body_limit);
  ~http_session();
  http_session(const http_session&) = delete;
  http_session& operator=(const http_session&) = delete;

  /** Answers the open request whole. @param status Status. @param headers Headers. @param body
   * Body. */
  void answer(unsigned status, const std::vector<http_header>& headers, std::string_view body);

  /** Starts the answer to the open request. @param head Status and headers. */
  void start_response(const response_head& head);

  /** Sends a piece of the body. @param bytes The piece. */
  void send_body(std::string_view bytes);

  /** Ends the answer and goes on to the next request. */
  void finish_response();

  /** Breaks the connection, so that the caller sees that the answer is cut. */
  void abort();

  /** @return Bytes that were sent and have not left. */
  std::int64_t unsent_bytes() const { return socket_.bytesToWrite(); }

private:
  /** Takes in bytes and hands on the next request if none is open. */
  void read(std::string_view bytes);
  /** Answers input that can't be read, and closes. */
  void refuse(http_fault fault);
  /** Tells the owner that the connection ended, once. */
  void end();

  QTcpSocket socket_;            ///< The connection.
  request_reader reader_;        ///< Reads the requests.
  bool is_busy_ = false;         ///< A request is open.
  bool is_head_request_ = false; ///< The open request is a HEAD: its answer has no body.
  bool keep_alive_ = true;       ///< The caller keeps the connection.
  bool is_chunked_ = false;      ///< The answer under way is chunked.
  bool has_ended_ = false;       ///< on_disconnected was called.
};

} // namespace shallotfield
