// HTTP/1.1 messages from and to bytes, without sockets.
#pragma once
#include "http_type.h"

#include <memory>
#include <string>
#include <string_view>

namespace shallotfield {

/** Largest head of an HTTP message. */
inline constexpr std::uint32_t HTTP_HEAD_BYTES_MAX = 32U << 10U;

/** A request that was read whole. */
struct http_request
{
  request_head head;       ///< Its head.
  std::string body;        ///< Its body.
  bool keep_alive = false; ///< Whether the caller keeps the connection open.
};

/** Reads the requests on one connection, one after the other. */
class request_reader
{
public:
  /** @param body_limit Largest body to accept, in bytes. @param head_limit Largest head. */
  explicit request_reader(std::uint64_t body_limit, std::uint32_t head_limit = HTTP_HEAD_BYTES_MAX);
  ~request_reader();
  request_reader(const request_reader&) = delete;
  request_reader& operator=(const request_reader&) = delete;

  /**
   * Takes in bytes. Bytes after a complete request are kept for the next call.
   * @param bytes What arrived; may be empty.
   * @param error Gets the reason if the stream must be closed.
   * @return The next request if it is complete.
   */
  std::optional<http_request> feed(std::string_view bytes, std::optional<http_fault>& error);

  /** @return Whether bytes of a request arrived that isn't complete. */
  bool has_begun() const;

private:
  struct parser_state;
  /** Starts to read the next request. */
  void restart();

  std::uint64_t body_limit_;             ///< Largest body to accept.
  std::uint32_t head_limit_;             ///< Largest head to accept.
  std::string buffered_;                 ///< Bytes that the parser has not taken.
  std::unique_ptr<parser_state> parser_; ///< The library's parser.
};

/** What a piece of an answer brought. */
struct response_piece
{
  std::optional<response_head> head; ///< The head, when it just became complete.
  std::string body;                  ///< Bytes of the body.
  bool is_done = false;              ///< The answer is complete.
  bool keep_alive = false;           ///< With is_done: the connection can be used again.
};

/** Reads one answer; the body comes in pieces and is not kept. */
class response_reader
{
public:
  /** @param is_head_request Whether the answer has no body because its request was a HEAD. */
  explicit response_reader(bool is_head_request);
  ~response_reader();
  response_reader(const response_reader&) = delete;
  response_reader& operator=(const response_reader&) = delete;

  /**
   * Takes in bytes.
   * @param bytes What arrived.
   * @param error Gets the reason if the answer can't be read.
   * @return What the bytes brought.
   */
  response_piece feed(std::string_view bytes, std::optional<http_fault>& error);

  /**
   * Takes note that the server closed the connection.
   * @param error Gets http_fault::cut if the answer was not complete.
   * @return The end, if the answer's length was given by the connection's end.
   */
  response_piece feed_end(std::optional<http_fault>& error);

  /** @return Bytes that arrived after the end of the answer; they are taken out. */
  std::string take_unparsed() { return std::move(buffered_); }

private:
  struct parser_state;
  std::string buffered_;                 ///< Bytes that the parser has not taken.
  std::unique_ptr<parser_state> parser_; ///< The library's parser.
};

/**
 * Writes a request.
 * @param head Its head; headers that concern one connection are left out.
 * @param body Its body.
 * @return The bytes.
 */
std::string
format_request(const request_head& head, std::string_view body);

/** @param status A status code. @return Whether answers with it may have a body. */
bool
may_have_body(unsigned status);

/**
 * Writes the head of an answer. Without a Content-Length header the body follows in chunks.
 * @param head The head.
 * @param keep_alive Whether the connection stays open.
 * @return The bytes.
 */
std::string
format_response_head(const response_head& head, bool keep_alive);

/** @param body A piece of a body, not empty. @return It as a chunk. */
std::string
format_chunk(std::string_view body);

/** The chunk that ends a chunked body. */
inline constexpr std::string_view LAST_CHUNK = "0\r\n\r\n";

/**
 * Writes a whole answer.
 * @param status Its status.
 * @param headers Headers besides Content-Length.
 * @param body Its body.
 * @param keep_alive Whether the connection stays open.
 * @return The bytes.
 */
std::string
format_response(unsigned status,
                const std::vector<http_header>& headers,
                std::string_view body,
                bool keep_alive);

} // namespace shallotfield
