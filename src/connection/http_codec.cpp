// Parses and formats HTTP/1.1 messages, using the parser of Boost.Beast.
#include "http_codec.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace shallotfield {

namespace {

/**
 * Body type that appends the parts of a body to a string as they arrive. Unlike the string_body of
 * the library, it reserves no memory for the length that the peer announces.
 */
struct piece_body
{
  using value_type = std::string;

  /** Implements the BodyReader interface of Boost.Beast. */
  class reader
  {
  public:
    template<bool is_request, class fields>
    reader(http::header<is_request, fields>& /*head*/, value_type& body)
      : body_(body)
    {
    }
    void init(const boost::optional<std::uint64_t>& /*length*/, beast::error_code& error)
    {
      error = {};
    }
    template<class buffers>
    std::size_t put(const buffers& bytes, beast::error_code& error)
    {
      error = {};
      std::size_t total = 0;
      for (auto it = boost::asio::buffer_sequence_begin(bytes);
           it != boost::asio::buffer_sequence_end(bytes);
           ++it) {
        const boost::asio::const_buffer piece(*it);
        body_.append(static_cast<const char*>(piece.data()), piece.size());
        total += piece.size();
      }
      return total;
    }
    void finish(beast::error_code& error) { error = {}; }

  private:
    value_type& body_;
  };
};

/**
 * Whether a header applies to one connection only (hop-by-hop), so that it is not forwarded.
 * Content-Length is treated as such a header, because it is written anew for each connection.
 * extract_piece() adds it to the head of a response again, with the length that the parser found.
 */
bool
is_connection_header(std::string_view name)
{
  static constexpr std::array<std::string_view, 9> NAMES = {
    "connection", "keep-alive",        "proxy-connection", "te",     "trailer",
    "upgrade",    "transfer-encoding", "content-length",   "expect",
  };
  return std::any_of(NAMES.begin(), NAMES.end(), [name](std::string_view candidate) {
    return beast::iequals(candidate, name);
  });
}

/** Copies the end-to-end headers. */
template<class fields>
std::vector<http_header>
copy_headers(const fields& from)
{
  std::vector<http_header> headers;
  for (const auto& field : from) {
    const std::string_view name(field.name_string().data(), field.name_string().size());
    if (!is_connection_header(name)) {
      headers.push_back(
        { std::string(name), std::string(field.value().data(), field.value().size()) });
    }
  }
  return headers;
}

/** Passes received data to a parser: `buffered`, which earlier data left, and then `bytes`. What
 * the parser doesn't take is left in `buffered`. Returns false after an error. */
template<class parser>
bool
put_received(parser& target,
             std::string& buffered,
             std::string_view bytes,
             std::optional<http_fault>& error);

/** Passes data to a parser. Returns the number of bytes consumed, or nothing after an error. */
template<class parser>
std::optional<std::size_t>
put_bytes(parser& target, std::string_view bytes, std::optional<http_fault>& error)
{
  beast::error_code code;
  std::size_t taken = 0;
  while (taken < bytes.size() && !target.is_done()) {
    taken += target.put(boost::asio::buffer(bytes.data() + taken, bytes.size() - taken), code);
    if (code == http::error::need_more) {
      return taken;
    }
    if (code == http::error::body_limit) {
      error = http_fault::body_too_large;
      return std::nullopt;
    }
    if (code == http::error::header_limit) {
      error = http_fault::head_too_large;
      return std::nullopt;
    }
    if (code) {
      error = http_fault::malformed;
      return std::nullopt;
    }
  }
  return taken;
}

template<class parser>
bool
put_received(parser& target,
             std::string& buffered,
             std::string_view bytes,
             std::optional<http_fault>& error)
{
  const bool was_empty = buffered.empty();
  if (!was_empty) {
    buffered.append(bytes);
  }
  const std::string_view input = was_empty ? bytes : std::string_view(buffered);
  const std::optional<std::size_t> taken = put_bytes(target, input, error);
  if (!taken) {
    return false;
  }
  if (!was_empty && *taken == 0) {
    return true;
  }
  // A connection that waits for further data doesn't keep the memory of earlier data.
  buffered = std::string(input.substr(*taken));
  return true;
}

/**
 * Returns whether a text contains the start of a status line, such as `HTTP/1.1 200`. A server that
 * breaks off a response within its head and goes on with the next one on the same connection
 * produces such a text. The parser would combine the status of the one with the headers of the
 * other.
 */
bool
has_status_line(std::string_view text)
{
  static constexpr std::string_view PROTOCOL = "HTTP/1.";
  static constexpr std::size_t STATUS_AT = PROTOCOL.size() + 2; // After the minor version, a space.
  static constexpr std::size_t STATUS_DIGITS = 3;
  for (auto at = text.find(PROTOCOL); at != std::string_view::npos;
       at = text.find(PROTOCOL, at + 1)) {
    const std::string_view status = text.substr(std::min(at + STATUS_AT, text.size()));
    const bool has_digits = status.size() >= STATUS_DIGITS &&
                            std::all_of(status.begin(), status.begin() + STATUS_DIGITS, [](char c) {
                              return c >= '0' && c <= '9';
                            });
    if (has_digits) {
      return true;
    }
  }
  return false;
}

/** Returns whether the head of a response was combined from the heads of two responses. */
template<class fields>
bool
is_combined_head(const fields& head)
{
  return has_status_line({ head.reason().data(), head.reason().size() }) ||
         std::any_of(head.begin(), head.end(), [](const auto& field) {
           return has_status_line({ field.value().data(), field.value().size() });
         });
}

/** Returns whether a status is within the range that HTTP defines (RFC 9110, section 15). The
 * parser accepts any three digits. */
bool
is_valid_status(unsigned status)
{
  static constexpr unsigned STATUS_MIN = 100;
  static constexpr unsigned STATUS_MAX = 599;
  return status >= STATUS_MIN && status <= STATUS_MAX;
}

/**
 * Finds lines in the head of a response that begin with a blank. The parser takes such a line for
 * the rest of the header before it (obs-fold in RFC 9112), so that a length with a blank before its
 * name would not count, and its text would be passed on within another header.
 */
class folded_line_finder
{
public:
  /** Processes received data, of which only lines of the head count. Returns whether one of them
   * begins with a blank. */
  bool feed(std::string_view bytes)
  {
    for (auto at = bytes.begin(); is_in_head_ && at != bytes.end(); ++at) {
      if (*at == '\n') {
        is_in_head_ = !is_line_empty_;
        is_line_empty_ = true;
      } else if (is_line_empty_ && (*at == ' ' || *at == '\t')) {
        return true;
      } else if (*at != '\r') {
        is_line_empty_ = false;
      }
    }
    return false;
  }

private:
  bool is_in_head_ = true;    ///< The empty line that ends the head has not arrived.
  bool is_line_empty_ = true; ///< The current line has no character yet.
};

/** Formats the end-to-end headers, one per line. */
void
append_headers(std::string& bytes, const std::vector<http_header>& headers)
{
  for (const http_header& header : headers) {
    if (!is_connection_header(header.name)) {
      bytes += header.name;
      bytes += ": ";
      bytes += header.value;
      bytes += "\r\n";
    }
  }
}

} // namespace

const std::string*
find_header(const std::vector<http_header>& headers, std::string_view name)
{
  for (const http_header& header : headers) {
    if (beast::iequals(header.name, name)) {
      return &header.value;
    }
  }
  return nullptr;
}

struct request_reader::parser_state
{
  http::request_parser<piece_body> parser;
};

request_reader::request_reader(std::uint64_t body_bytes_max, std::uint32_t head_bytes_max)
  : body_bytes_max_(body_bytes_max)
  , head_bytes_max_(head_bytes_max)
{
  restart();
}

request_reader::~request_reader() = default;

void
request_reader::restart()
{
  parser_ = std::make_unique<parser_state>();
  parser_->parser.eager(true);
  parser_->parser.body_limit(body_bytes_max_);
  parser_->parser.header_limit(head_bytes_max_);
}

void
request_reader::set_limits(std::uint64_t body_bytes_max, std::uint32_t head_bytes_max)
{
  const bool is_partial = has_partial_request();
  if (!is_partial || body_bytes_max > body_bytes_max_) {
    parser_->parser.body_limit(body_bytes_max);
  }
  if (!is_partial || head_bytes_max > head_bytes_max_) {
    parser_->parser.header_limit(head_bytes_max);
  }
  body_bytes_max_ = body_bytes_max;
  head_bytes_max_ = head_bytes_max;
}

bool
request_reader::has_partial_request() const
{
  return !buffered_.empty() || parser_->parser.got_some();
}

std::size_t
request_reader::held_bytes() const
{
  return buffered_.size() + parser_->parser.get().body().size();
}

std::optional<std::uint64_t>
request_reader::announced_bytes() const
{
  const boost::optional<std::uint64_t> length =
    parser_->parser.is_header_done() ? parser_->parser.content_length() : boost::none;
  return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

void
request_reader::reserve_body()
{
  std::string& body = parser_->parser.get().body();
  const std::uint64_t bytes = announced_bytes().value_or(body_bytes_max_);
  if (body.capacity() < bytes) {
    body.reserve(bytes);
  }
}

void
request_reader::clear()
{
  buffered_ = {};
  restart();
}

std::optional<http_request>
request_reader::feed(std::string_view bytes, std::optional<http_fault>& error)
{
  auto& parser = parser_->parser;
  if (!put_received(parser, buffered_, bytes, error)) {
    return std::nullopt;
  }
  if (!parser.is_done()) {
    // The parser leaves an incomplete line, such as the size of a chunk, in the buffer.
    if (buffered_.size() > std::max<std::size_t>(head_bytes_max_, HTTP_HEAD_BYTES_MAX)) {
      error = http_fault::head_too_large;
    }
    return std::nullopt;
  }
  http_request request;
  request.head.method = std::string(parser.get().method_string());
  request.head.target = std::string(parser.get().target());
  request.head.headers = copy_headers(parser.get());
  request.body = std::move(parser.get().body());
  request.keep_alive = parser.keep_alive();
  restart();
  return request;
}

struct response_reader::parser_state
{
  http::response_parser<piece_body> parser;
  folded_line_finder folded_lines;
  bool is_head_delivered = false; ///< The head was returned to the caller.
};

response_reader::response_reader(bool is_head_request)
  : parser_(std::make_unique<parser_state>())
{
  parser_->parser.eager(true);
  parser_->parser.skip(is_head_request);
  parser_->parser.header_limit(HTTP_HEAD_BYTES_MAX);
  parser_->parser.body_limit(boost::none);
}

response_reader::~response_reader() = default;

/** Removes from a parser what it has parsed since the last call. Sets `error` if the head is
 * invalid.
 */
template<class state>
static response_piece
extract_piece(state& from, std::optional<http_fault>& error)
{
  response_piece piece;
  if (from.parser.is_header_done() && !from.is_head_delivered) {
    if (!is_valid_status(from.parser.get().result_int()) || is_combined_head(from.parser.get())) {
      error = http_fault::malformed;
      return piece;
    }
    from.is_head_delivered = true;
    piece.head = response_head{ from.parser.get().result_int(), copy_headers(from.parser.get()) };
    if (const auto length = from.parser.content_length()) {
      piece.head->headers.push_back({ "Content-Length", std::to_string(*length) });
    }
  }
  piece.body.swap(from.parser.get().body());
  piece.is_done = from.parser.is_done();
  piece.keep_alive = piece.is_done && from.parser.keep_alive();
  return piece;
}

response_piece
response_reader::feed(std::string_view bytes, std::optional<http_fault>& error)
{
  if (parser_->folded_lines.feed(bytes)) {
    error = http_fault::malformed;
    return {};
  }
  if (!put_received(parser_->parser, buffered_, bytes, error)) {
    return {};
  }
  // The parser leaves an incomplete line, such as the size of a chunk, in the buffer.
  if (!parser_->parser.is_done() && buffered_.size() > HTTP_HEAD_BYTES_MAX) {
    error = http_fault::head_too_large;
    return {};
  }
  response_piece piece = extract_piece(*parser_, error);
  piece.keep_alive = piece.keep_alive && buffered_.empty();
  return piece;
}

response_piece
response_reader::feed_end(std::optional<http_fault>& error)
{
  beast::error_code code;
  if (!parser_->parser.got_some()) {
    error = http_fault::cut;
    return {};
  }
  parser_->parser.put_eof(code);
  if (code) {
    error = http_fault::cut;
    return {};
  }
  response_piece piece = extract_piece(*parser_, error);
  piece.keep_alive = false;
  return piece;
}

std::string
format_request(const request_head& head, std::string_view body)
{
  return format_request_head(head, body.size()).append(body);
}

std::string
format_request_head(const request_head& head, std::size_t body_bytes)
{
  std::string bytes = head.method + " " + head.target + " HTTP/1.1\r\n";
  append_headers(bytes, head.headers);
  const bool has_length = body_bytes > 0 || (head.method != "GET" && head.method != "HEAD");
  if (has_length) {
    bytes += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
  }
  bytes += "\r\n";
  return bytes;
}

bool
may_have_body(unsigned status)
{
  static constexpr unsigned NO_CONTENT = 204;
  static constexpr unsigned NOT_MODIFIED = 304;
  return status != NO_CONTENT && status != NOT_MODIFIED;
}

std::string
format_response_head(const response_head& head, bool keep_alive)
{
  std::string bytes = "HTTP/1.1 " + std::to_string(head.status) + " ";
  bytes += std::string(http::obsolete_reason(static_cast<http::status>(head.status)));
  bytes += "\r\n";
  append_headers(bytes, head.headers);
  const std::string* length = find_header(head.headers, "Content-Length");
  if (length != nullptr) {
    bytes += "Content-Length: " + *length + "\r\n";
  } else if (may_have_body(head.status)) {
    bytes += "Transfer-Encoding: chunked\r\n";
  }
  bytes += keep_alive ? "\r\n" : "Connection: close\r\n\r\n";
  return bytes;
}

std::string
format_chunk(std::string_view body)
{
  static constexpr std::string_view HEX = "0123456789abcdef";
  std::string size;
  for (std::size_t rest = body.size(); rest > 0; rest /= HEX.size()) {
    size.insert(size.begin(), HEX[rest % HEX.size()]);
  }
  return size + "\r\n" + std::string(body) + "\r\n";
}

std::string
format_response(unsigned status,
                const std::vector<http_header>& headers,
                std::string_view body,
                bool keep_alive)
{
  response_head head{ status, headers };
  head.headers.push_back({ "Content-Length", std::to_string(body.size()) });
  return format_response_head(head, keep_alive) + std::string(body);
}

} // namespace shallotfield
