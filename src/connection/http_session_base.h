// Server side of an HTTP connection, on a thread with a Qt event loop.
#pragma once
#include "http_codec.h"

#include <QTcpSocket>
#include <functional>

namespace shallotfield {

/**
 * Passes one request at a time to the owner and sends its response, either at once or in parts. No
 * callback is invoked after on_disconnected. The owner may then delete the object, but not within
 * the callback.
 */
class http_session
{
public:
  std::function<void(http_request&&)> on_request; ///< A complete request arrived.
  std::function<void()> on_disconnected;          ///< The connection ended.
  std::function<void()> on_written;               ///< Part of the send buffer was sent.

  /**
   * Takes ownership of the socket descriptor of an accepted connection. Request bodies of more than
   * body_bytes_max are answered with status 413.
   */
  http_session(qintptr descriptor, std::uint64_t body_bytes_max);
  ~http_session();
  http_session(const http_session&) = delete;
  http_session& operator=(const http_session&) = delete;

  /** Sends a complete response to the open request. */
  void respond(unsigned status, const std::vector<http_header>& headers, std::string_view body);

  /**
   * Sends the head of the response to the open request. The body follows in calls of send_body(),
   * and finish_response() ends the response.
   */
  void start_response(const response_head& head);

  /** Sends part of the body, as a chunk if the head has no Content-Length. */
  void send_body(std::string_view bytes);

  /** Ends the response and reads the next request. */
  void finish_response();

  /**
   * Closes the connection immediately, so that the caller notices that the response is incomplete.
   * Calls on_disconnected before it returns.
   */
  void abort();

  /** Returns the number of bytes that have not been passed to the kernel yet. */
  std::int64_t unsent_bytes() const { return socket_.bytesToWrite(); }

private:
  /** Parses received data, and calls on_request if that completes a request. */
  void read(std::string_view bytes);
  /** Responds to invalid input with an error status and closes the connection. */
  void refuse(http_fault fault);
  /** Calls on_disconnected, unless it was called before. */
  void end();

  QTcpSocket socket_;
  request_reader reader_;
  bool is_busy_ = false;         ///< A request is open.
  bool is_head_request_ = false; ///< The open request is a HEAD request: its response has no body.
  bool keep_alive_ = true;       ///< The connection stays open after the response.
  bool is_chunked_ = false;      ///< The body of the response is sent in chunks.
  bool has_ended_ = false;
};

} // namespace shallotfield
