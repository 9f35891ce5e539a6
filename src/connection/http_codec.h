// Parses and formats HTTP/1.1 messages, independently of sockets.
#pragma once
#include "http_type.h"

#include <memory>
#include <string>
#include <string_view>

namespace shallotfield {

/** Size limit of the head of a response, and the default for requests. */
inline constexpr std::uint32_t HTTP_HEAD_BYTES_MAX = 32U << 10U;

/** A complete request. */
struct http_request
{
  request_head head;
  std::string body;
  bool keep_alive = false; ///< The connection stays open after the response.
};

/** Parses the requests on one connection, one at a time. */
class request_reader
{
public:
  /** Requests with a larger body or head are rejected. */
  explicit request_reader(std::uint64_t body_bytes_max,
                          std::uint32_t head_bytes_max = HTTP_HEAD_BYTES_MAX);
  ~request_reader();
  request_reader(const request_reader&) = delete;
  request_reader& operator=(const request_reader&) = delete;

  /**
   * Processes received data. Returns the next request if it is complete. Data after the end of a
   * request is kept, so further calls with empty `bytes` deliver pipelined requests. Sets `error`
   * if the data is invalid; the connection must then be closed.
   */
  std::optional<http_request> feed(std::string_view bytes, std::optional<http_fault>& error);

  /** Returns whether part of the next request was received. */
  bool has_partial_request() const;

  /** Returns the bytes of that part that are held. */
  std::size_t held_bytes() const;

  /** Returns the length of its body if the head is complete and gives it. */
  std::optional<std::uint64_t> announced_bytes() const;

  /** Avoids copies of a large body while it grows. The memory is occupied as the body arrives. */
  void reserve_body();

  /** Keeps received data without processing it; the next call of feed() does. */
  void hold(std::string_view bytes) { buffered_.append(bytes); }

  /** Discards what was received. */
  void clear();

  /** Replaces the limits. For a request that was received partially, only a higher limit takes
   * effect. */
  void set_limits(std::uint64_t body_bytes_max, std::uint32_t head_bytes_max);

private:
  struct parser_state;
  /** Prepares for the next request. */
  void restart();

  std::uint64_t body_bytes_max_;
  std::uint32_t head_bytes_max_;
  std::string buffered_;                 ///< Received data that was not parsed yet.
  std::unique_ptr<parser_state> parser_; ///< Hides Boost.Beast from users of this header.
};

/** What newly received data adds to a response. */
struct response_piece
{
  std::optional<response_head> head; ///< Set once, when the head is complete.
  std::string body;                  ///< Next part of the body; may be empty.
  bool is_done = false;              ///< The response is complete.
  bool keep_alive = false;           ///< With is_done: the connection can be reused.
};

/** Parses one response. Its body is returned in pieces and not kept. */
class response_reader
{
public:
  /** The response to a HEAD request has no body, whatever its headers say. */
  explicit response_reader(bool is_head_request);
  ~response_reader();
  response_reader(const response_reader&) = delete;
  response_reader& operator=(const response_reader&) = delete;

  /** Processes received data. Returns what the data adds to the response. Sets `error` if the
   * response is invalid. */
  response_piece feed(std::string_view bytes, std::optional<http_fault>& error);

  /**
   * Handles that the server closed the connection. This completes a response without a length; for
   * any other incomplete response, sets `error` to http_fault::cut. Returns the end of the
   * response.
   */
  response_piece feed_end(std::optional<http_fault>& error);

  /** Removes and returns data that arrived after the end of the response. */
  std::string take_unparsed() { return std::move(buffered_); }

private:
  struct parser_state;
  std::string buffered_;                 ///< Received data that was not parsed yet.
  std::unique_ptr<parser_state> parser_; ///< Hides Boost.Beast from users of this header.
};

/**
 * Formats a request. Hop-by-hop headers are left out. Content-Length is set to the size of the
 * body, and left out of GET and HEAD requests without a body.
 */
std::string
format_request(const request_head& head, std::string_view body);

/** Formats the head of such a request, which a body of `body_bytes` has to follow. */
std::string
format_request_head(const request_head& head, std::size_t body_bytes);

/** Returns whether a response with this status may have a body. */
bool
may_have_body(unsigned status);

/**
 * Formats the head of a response. Its hop-by-hop headers are replaced by those of this connection.
 * If it has no Content-Length header but may have a body, the body must follow in chunks.
 */
std::string
format_response_head(const response_head& head, bool keep_alive);

/** Formats part of a body as a chunk. It must not be empty, as an empty chunk ends the body. */
std::string
format_chunk(std::string_view body);

/** The chunk that ends a body. */
inline constexpr std::string_view LAST_CHUNK = "0\r\n\r\n";

/** Formats a complete response. Content-Length is added to the headers. */
std::string
format_response(unsigned status,
                const std::vector<http_header>& headers,
                std::string_view body,
                bool keep_alive);

} // namespace shallotfield
