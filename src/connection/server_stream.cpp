// A connection to the backend server beside a proxy.
#include "server_stream_base.h"

namespace shallotfield {

/** Largest answer that is accepted: it is kept whole until it is known to be complete. */
static constexpr std::size_t ANSWER_BYTES_MAX = 32U << 20U;

server_stream::server_stream(boost::asio::io_context& context,
                             endpoint to,
                             std::int64_t connect_timeout_ms)
  : to_(std::move(to))
  , connect_timeout_ms_(connect_timeout_ms)
  , stream_(std::make_shared<byte_stream>(context))
{
}

void
server_stream::open()
{
  was_opened_ = true;
  const std::weak_ptr<server_stream> weak = weak_from_this();
  stream_->on_bytes = [weak](std::string_view bytes) {
    if (const server_stream_ptr self = weak.lock()) {
      self->take_bytes(bytes);
    }
  };
  stream_->on_end = [weak](stream_end why) {
    if (const server_stream_ptr self = weak.lock()) {
      self->take_end(why);
    }
  };
  stream_->connect(to_, connect_timeout_ms_);
}

void
server_stream::send(const request_head& head, std::string_view body)
{
  if (!was_opened_) {
    open();
  }
  is_head_request_ = head.method == "HEAD";
  reader_ = std::make_unique<response_reader>(is_head_request_);
  answer_ = {};
  has_begun_ = false;
  stream_->send(format_request(head, body));
}

void
server_stream::abort()
{
  has_ended_ = true;
  stream_->abort();
}

void
server_stream::take_bytes(std::string_view bytes)
{
  if (!reader_) {
    // Bytes that no request asked for: what follows on this connection can't be trusted.
    has_ended_ = true;
    stream_->abort();
    if (on_idle_end) {
      on_idle_end();
    }
    return;
  }
  has_begun_ = true;
  std::string rest(bytes);
  while (reader_ && !has_ended_) {
    std::optional<http_fault> fault;
    response_piece piece = reader_->feed(rest, fault);
    rest.clear();
    if (fault) {
      fail(client_failure::malformed);
      return;
    }
    const bool is_done = piece.is_done;
    const bool keep_alive = piece.keep_alive;
    const std::string unread = is_done ? reader_->take_rest() : std::string();
    take_piece(std::move(piece));
    if (!is_done || has_ended_) {
      return;
    }
    if (is_foreign && is_foreign(answer_.head)) {
      answer_ = {};
      has_begun_ = !unread.empty();
      reader_ = std::make_unique<response_reader>(is_head_request_);
      rest = unread;
      if (rest.empty()) {
        return;
      }
    } else {
      finish_answer(keep_alive && unread.empty() && stream_->unsent_bytes() == 0);
    }
  }
}

void
server_stream::take_piece(response_piece&& piece)
{
  if (piece.head) {
    answer_.head = std::move(*piece.head);
  }
  answer_.body += piece.body;
  if (answer_.body.size() > ANSWER_BYTES_MAX) {
    fail(client_failure::malformed);
  }
}

void
server_stream::finish_answer(bool keeps_connection)
{
  reader_.reset();
  server_answer done = std::move(answer_);
  answer_ = {};
  const bool is_kept = keeps_connection && stream_->is_open();
  if (!is_kept) {
    has_ended_ = true;
    stream_->abort();
  }
  // The callback may replace the callbacks for the next request.
  const auto told = std::move(on_answer);
  told(std::move(done), is_kept);
}

void
server_stream::take_end(stream_end why)
{
  if (has_ended_) {
    return;
  }
  if (why == stream_end::not_connected) {
    fail(client_failure::never_sent);
    return;
  }
  if (!reader_) {
    has_ended_ = true;
    if (on_idle_end) {
      on_idle_end();
    }
    return;
  }
  // Only an orderly close ends an answer without a length.
  if (why == stream_end::closed && has_begun_) {
    std::optional<http_fault> fault;
    response_piece piece = reader_->feed_end(fault);
    if (!fault && piece.is_done) {
      take_piece(std::move(piece));
      if (!(is_foreign && is_foreign(answer_.head))) {
        finish_answer(false);
        return;
      }
    }
  }
  fail(has_begun_ ? client_failure::cut : client_failure::no_answer);
}

void
server_stream::fail(client_failure why)
{
  if (has_ended_) {
    return;
  }
  has_ended_ = true;
  stream_->abort();
  const auto told = std::move(on_failed);
  told(why);
}

} // namespace shallotfield
