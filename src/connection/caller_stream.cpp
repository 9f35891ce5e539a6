// HTTP connection of a caller on a traffic thread.
#include "caller_stream_base.h"

namespace shallotfield {

/** Number of open requests on a connection at which reading is paused. */
static constexpr std::size_t PIPELINED_REQUESTS_MAX = 32;

/**
 * Unsent response data above which reading is paused. Bounds the memory that a caller can occupy by
 * sending requests without reading the responses.
 */
static constexpr std::size_t UNSENT_RESPONSE_BYTES_MAX = 1U << 20U;

static constexpr unsigned STATUS_BAD_REQUEST = 400;
static constexpr unsigned STATUS_REQUEST_TIMEOUT = 408;
static constexpr unsigned STATUS_TOO_LARGE = 413;
static constexpr unsigned STATUS_HEAD_TOO_LARGE = 431;

caller_stream::caller_stream(boost::asio::io_context& context, caller_stream_limits limits)
  : stream_(std::make_shared<byte_stream>(context))
  , reader_(limits.body_bytes_max, limits.head_bytes_max)
{
}

void
caller_stream::accept(boost::asio::ip::tcp::socket&& socket)
{
  const std::weak_ptr<caller_stream> weak = weak_from_this();
  stream_->on_bytes = [weak](std::string_view bytes) {
    if (const caller_stream_ptr self = weak.lock()) {
      self->handle_bytes(bytes);
    }
  };
  stream_->on_end = [weak](stream_close_reason) {
    const caller_stream_ptr self = weak.lock();
    if (self && self->on_disconnected) {
      self->on_disconnected();
    }
  };
  stream_->on_drained = [weak] {
    const caller_stream_ptr self = weak.lock();
    if (self && self->is_reading_paused_ && self->open_.size() < PIPELINED_REQUESTS_MAX) {
      self->is_reading_paused_ = false;
      self->stream_->pause(false);
      self->read_requests({});
    }
  };
  stream_->accept(std::move(socket));
}

void
caller_stream::handle_bytes(std::string_view bytes)
{
  if (is_closing_) {
    return;
  }
  read_requests(bytes);
  if (on_activity) {
    on_activity();
  }
}

void
caller_stream::read_requests(std::string_view bytes)
{
  const caller_stream_ptr self = shared_from_this();
  while (!is_closing_) {
    std::optional<http_fault> fault;
    std::optional<http_request> request = reader_.feed(bytes, fault);
    bytes = {};
    if (fault) {
      const unsigned status = *fault == http_fault::body_too_large   ? STATUS_TOO_LARGE
                              : *fault == http_fault::head_too_large ? STATUS_HEAD_TOO_LARGE
                                                                     : STATUS_BAD_REQUEST;
      refuse(status, enum_name(*fault));
      return;
    }
    if (!request) {
      return;
    }
    const request_number number = next_++;
    open_.push_back({ number, request->keep_alive, request->head.method == "HEAD", {} });
    is_closing_ = !request->keep_alive;
    on_request(number, std::move(*request));
    if (open_.size() >= PIPELINED_REQUESTS_MAX ||
        stream_->unsent_bytes() > UNSENT_RESPONSE_BYTES_MAX) {
      is_reading_paused_ = true;
      stream_->pause(true);
      return;
    }
  }
}

void
caller_stream::refuse(unsigned status, std::string_view fault)
{
  write_log(log_event::input_refused,
            { { "edge", "callers" }, { "fault", fault }, { "status", status } });
  count(counter_id::inputs_refused);
  is_closing_ = true;
  const request_number number = next_++;
  open_.push_back({ number, false, false, {} });
  respond(number, { status, {} }, "");
}

void
caller_stream::refuse_slow_request()
{
  refuse(STATUS_REQUEST_TIMEOUT, "slow_head");
}

void
caller_stream::respond(request_number number, const response_head& head, std::string_view body)
{
  const auto found = std::find_if(
    open_.begin(), open_.end(), [number](const auto& item) { return item.number == number; });
  if (found == open_.end()) {
    return;
  }
  const bool is_last = is_closing_ && number + 1 == next_;
  found->keep_alive = found->keep_alive && !is_last;
  response_head complete_head = head;
  std::erase_if(complete_head.headers,
                [](const http_header& header) { return header.name == "Content-Length"; });
  if (found->is_head_request) {
    complete_head.headers = head.headers;
  } else if (may_have_body(complete_head.status)) {
    complete_head.headers.push_back({ "Content-Length", std::to_string(body.size()) });
  }
  found->response = format_response_head(complete_head, found->keep_alive);
  if (!found->is_head_request) {
    found->response->append(body);
  }
  send_ready_responses();
}

void
caller_stream::send_ready_responses()
{
  const caller_stream_ptr self = shared_from_this();
  std::string bytes;
  bool closes = false;
  while (!open_.empty() && open_.front().response && !closes) {
    closes = !open_.front().keep_alive;
    if (bytes.empty()) {
      bytes = std::move(*open_.front().response);
    } else {
      bytes += *open_.front().response;
    }
    open_.pop_front();
  }
  if (!bytes.empty()) {
    stream_->send(bytes);
  }
  if (closes || (is_closing_ && open_.empty())) {
    stream_->close_after_send();
  }
  if (on_activity) {
    on_activity();
  }
  if (is_reading_paused_ && open_.size() < PIPELINED_REQUESTS_MAX &&
      stream_->unsent_bytes() <= UNSENT_RESPONSE_BYTES_MAX) {
    is_reading_paused_ = false;
    stream_->pause(false);
    read_requests({});
  }
}

void
caller_stream::close_when_idle()
{
  is_closing_ = true;
  if (open_.empty()) {
    stream_->close_after_send();
  }
}

void
caller_stream::abort()
{
  stream_->abort();
}

} // namespace shallotfield
