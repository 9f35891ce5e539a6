// Connection from a proxy to the backend server on its VM, on a traffic thread.
#include "server_stream_base.h"

namespace shallotfield {

/** Size limit of a response body, which is kept in memory until it is complete. */
static constexpr std::size_t RESPONSE_BYTES_MAX = 32U << 20U;

/** Limit of all bytes that may arrive until a request is answered: a body in small chunks, its head
 * and trailers, and responses to earlier requests. */
static constexpr std::size_t RECEIVED_BYTES_MAX = 2 * RESPONSE_BYTES_MAX;

/** Responses with a lower status announce that the final response follows. */
static constexpr unsigned STATUS_OK = 200;

server_stream::server_stream(boost::asio::io_context& context,
                             endpoint to,
                             std::int64_t connect_timeout_ms,
                             std::shared_ptr<response_memory> memory)
  : to_(std::move(to))
  , connect_timeout_ms_(connect_timeout_ms)
  , stream_(std::make_shared<byte_stream>(context))
  , lease_(std::move(memory))
{
}

void
server_stream::open()
{
  was_opened_ = true;
  const std::weak_ptr<server_stream> weak = weak_from_this();
  stream_->on_bytes = [weak](std::string_view bytes) {
    if (const server_stream_ptr self = weak.lock()) {
      self->handle_bytes(bytes);
    }
  };
  stream_->on_end = [weak](stream_close_reason reason) {
    if (const server_stream_ptr self = weak.lock()) {
      self->handle_stream_close(reason);
    }
  };
  stream_->connect(to_, connect_timeout_ms_);
}

void
server_stream::send(const request_head& head, const shared_body& body)
{
  if (!was_opened_) {
    open();
  }
  is_head_request_ = head.method == "HEAD";
  reader_ = std::make_unique<response_reader>(is_head_request_);
  response_ = {};
  lease_.release();
  received_bytes_ = 0;
  has_begun_ = false;
  stream_->send(format_request_head(head, body.size()), body);
}

void
server_stream::abort()
{
  has_ended_ = true;
  response_ = {};
  lease_.release();
  stream_->abort();
}

void
server_stream::handle_bytes(std::string_view bytes)
{
  if (!reader_) {
    // Data without a request: later responses could no longer be matched to their requests.
    has_ended_ = true;
    stream_->abort();
    if (on_idle_end) {
      on_idle_end();
    }
    return;
  }
  has_begun_ = true;
  received_bytes_ += bytes.size();
  if (received_bytes_ > RECEIVED_BYTES_MAX) {
    fail(http_client_error::malformed);
    return;
  }
  std::string rest(bytes);
  while (reader_ && !has_ended_) {
    std::optional<http_fault> fault;
    response_piece piece = reader_->feed(rest, fault);
    rest.clear();
    if (fault) {
      fail(http_client_error::malformed);
      return;
    }
    const bool is_done = piece.is_done;
    const bool keep_alive = piece.keep_alive;
    const std::string unread = is_done ? reader_->take_unparsed() : std::string();
    append_piece(std::move(piece));
    if (!is_done || has_ended_) {
      return;
    }
    const bool is_interim = response_.head.status < STATUS_OK;
    if (is_interim || (is_mismatched && is_mismatched(response_.head))) {
      response_ = {};
      lease_.release();
      has_begun_ = !unread.empty();
      reader_ = std::make_unique<response_reader>(is_head_request_);
      rest = unread;
      if (rest.empty()) {
        return;
      }
    } else {
      finish_response(keep_alive && unread.empty() && stream_->unsent_bytes() == 0);
    }
  }
}

/** Reserves memory for a large body of known length, which is not occupied before it arrives. */
static void
reserve_body(server_response& response)
{
  const std::string* length = find_header(response.head.headers, "Content-Length");
  if (length != nullptr) {
    const std::size_t bytes = std::strtoull(length->c_str(), nullptr, 10);
    response.body.reserve(std::min(bytes, RESPONSE_BYTES_MAX));
  }
}

void
server_stream::append_piece(response_piece&& piece)
{
  if (piece.head) {
    response_.head = std::move(*piece.head);
    reserve_body(response_);
  }
  response_.body += piece.body;
  const bool has_memory = lease_.add(piece.body.size());
  if (response_.body.size() > RESPONSE_BYTES_MAX || !has_memory) {
    fail(http_client_error::malformed);
  }
}

void
server_stream::finish_response(bool keeps_connection)
{
  reader_.reset();
  server_response done = std::move(response_);
  response_ = {};
  lease_.release();
  const bool is_kept = keeps_connection && stream_->is_open();
  if (!is_kept) {
    has_ended_ = true;
    stream_->abort();
  }
  // Moved out first, since the callback may set new callbacks for the next request.
  const auto callback = std::move(on_response);
  callback(std::move(done), is_kept);
}

void
server_stream::handle_stream_close(stream_close_reason reason)
{
  if (has_ended_) {
    return;
  }
  if (reason == stream_close_reason::not_connected) {
    fail(http_client_error::never_sent);
    return;
  }
  if (!reader_) {
    has_ended_ = true;
    if (on_idle_end) {
      on_idle_end();
    }
    return;
  }
  // A response without a length is complete when the server closes the connection in an orderly
  // way.
  if (reason == stream_close_reason::closed && has_begun_) {
    std::optional<http_fault> fault;
    response_piece piece = reader_->feed_end(fault);
    if (!fault && piece.is_done) {
      append_piece(std::move(piece));
      if (!(is_mismatched && is_mismatched(response_.head))) {
        finish_response(false);
        return;
      }
    }
  }
  fail(has_begun_ ? http_client_error::cut : http_client_error::no_response);
}

void
server_stream::fail(http_client_error reason)
{
  if (has_ended_) {
    return;
  }
  has_ended_ = true;
  response_ = {};
  lease_.release();
  stream_->abort();
  const auto callback = std::move(on_failed);
  callback(reason);
}

} // namespace shallotfield
