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

/**
 * Size of the bodies of open requests and waiting responses above which reading is paused, so that
 * a connection occupies no more than this and one further request.
 */
static constexpr std::size_t OPEN_BYTES_MAX = 1U << 20U;

/** Size from which on memory is reserved for a body, so that it isn't copied while it grows. */
static constexpr std::size_t RESERVED_BODY_BYTES_MIN = 1U << 20U;

/** Steps in which a body of unknown length is counted. */
static constexpr std::size_t BODY_STEP_BYTES = 64U << 10U;

/** Memory that a request occupies beside its body and the copies of its head. */
static constexpr std::size_t REQUEST_BYTES = 2U << 10U;

/** Number of times that the head of an open request is held. */
static constexpr std::size_t HEAD_COPIES = 3;

/** Unread data that the kernel may hold for a connection on which reading is paused. */
static constexpr std::size_t UNREAD_BYTES = 64U << 10U;

/** Bytes after which a connection has made progress. */
static constexpr std::size_t PROGRESS_BYTES = 16U << 10U;

static constexpr unsigned STATUS_BAD_REQUEST = 400;
static constexpr unsigned STATUS_REQUEST_TIMEOUT = 408;
static constexpr unsigned STATUS_TOO_LARGE = 413;
static constexpr unsigned STATUS_HEAD_TOO_LARGE = 431;
static constexpr unsigned STATUS_UNAVAILABLE = 503;

/** Time after which a caller may try again for whose request there was no memory. */
static constexpr std::string_view NO_MEMORY_RETRY_AFTER_S = "1";

caller_stream::caller_stream(boost::asio::io_context& context,
                             caller_stream_limits limits,
                             const memory_budget_ptr& budget,
                             std::shared_ptr<refused_input_log> refusals)
  : stream_(std::make_shared<byte_stream>(context, budget))
  , reader_(limits.body_bytes_max, limits.head_bytes_max)
  , budget_(budget)
  , refusals_(std::move(refusals))
  , partial_lease_(budget)
  , holder_(budget, [this] { give_way(); })
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
    if (self) {
      self->update_holder();
      self->resume_reading();
    }
  };
  stream_->on_progress = [weak](std::size_t bytes) {
    if (const caller_stream_ptr self = weak.lock()) {
      self->record_bytes(bytes);
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
  if (is_reading_paused_) {
    // Until further data arrives, the connection is read, so that its end is noticed.
    reader_.hold(bytes);
    pause_stream();
  } else {
    read_requests(bytes);
  }
  if (on_activity) {
    on_activity();
  }
}

void
caller_stream::read_requests(std::string_view bytes)
{
  const caller_stream_ptr self = shared_from_this();
  while (!is_closing_) {
    const std::size_t new_bytes = bytes.size();
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
      count_partial_request(new_bytes);
      return;
    }
    memory_lease lease = lease_for(*request);
    if (is_closing_) {
      return; // This connection was itself the one that had to give way.
    }
    if (lease.bytes() == 0 && budget_) {
      refuse(STATUS_UNAVAILABLE, "no_memory");
      return;
    }
    const request_number number = next_++;
    const std::size_t body_bytes = request->body.size();
    open_bytes_ += body_bytes;
    open_.push_back(
      { number, request->keep_alive, request->head.method == "HEAD", body_bytes, {}, {} });
    is_closing_ = !request->keep_alive;
    on_request(number, std::move(*request), std::move(lease));
    if (holds_much()) {
      is_reading_paused_ = true;
      if (reader_.has_partial_request()) {
        pause_stream();
      }
      return;
    }
  }
}

void
caller_stream::pause_stream()
{
  stream_->pause(true);
  partial_lease_.resize(reader_.held_bytes() + UNREAD_BYTES);
  update_holder();
}

bool
caller_stream::holds_much() const
{
  return open_.size() >= PIPELINED_REQUESTS_MAX || open_bytes_ > OPEN_BYTES_MAX ||
         stream_->unsent_bytes() > UNSENT_RESPONSE_BYTES_MAX;
}

void
caller_stream::resume_reading()
{
  if (!is_reading_paused_ || holds_much()) {
    return;
  }
  const caller_stream_ptr self = shared_from_this();
  is_reading_paused_ = false;
  stream_->pause(false);
  partial_lease_.resize(reader_.held_bytes());
  read_requests({});
  if (on_activity) {
    on_activity();
  }
}

memory_lease
caller_stream::lease_for(const http_request& request)
{
  std::size_t head_bytes = request.head.target.size();
  for (const http_header& header : request.head.headers) {
    head_bytes += header.name.size() + header.value.size();
  }
  const std::size_t bytes = REQUEST_BYTES + HEAD_COPIES * head_bytes + request.body.size();
  memory_lease lease = std::move(partial_lease_); // Leaves an empty lease of the same budget.
  partial_lease_.resize(reader_.held_bytes());
  update_holder();
  const bool is_body_counted = !request.body.empty() && lease.bytes() >= request.body.size();
  if (is_body_counted) {
    lease.resize(bytes);
  } else if (!lease.try_resize(bytes, read_clocks().mono)) {
    lease.resize(0);
  }
  return lease;
}

void
caller_stream::count_partial_request(std::size_t new_bytes)
{
  if (!budget_) {
    return;
  }
  // What is announced is reserved at once, so that a body for which there is no room is refused
  // before it is read. A body of unknown length is counted as it arrives.
  const std::size_t held = reader_.held_bytes();
  std::size_t bytes = held;
  if (const std::optional<std::uint64_t> announced = reader_.announced_bytes()) {
    bytes = std::max<std::size_t>(held, *announced);
  } else if (held > BODY_STEP_BYTES) {
    bytes = (held / BODY_STEP_BYTES + 1) * BODY_STEP_BYTES;
  }
  record_bytes(new_bytes);
  if (bytes != partial_lease_.bytes()) {
    const bool has_room = partial_lease_.try_resize(bytes, read_clocks().mono);
    if (!has_room && !is_closing_) {
      refuse(STATUS_UNAVAILABLE, "no_memory");
      return;
    }
  }
  if (is_closing_) {
    partial_lease_.resize(0); // This connection was itself the one that had to give way.
    return;
  }
  if (bytes >= RESERVED_BODY_BYTES_MIN) {
    reader_.reserve_body();
  }
  update_holder();
}

void
caller_stream::record_bytes(std::size_t bytes)
{
  marked_bytes_ += bytes;
  if (marked_bytes_ >= PROGRESS_BYTES) {
    marked_bytes_ = 0;
    holder_.record_progress(read_clocks().mono);
  }
}

void
caller_stream::update_holder()
{
  // While the first request has no response, the connection waits for this proxy and not the other
  // way round; aborting it would cut requests that are at work.
  const bool waits_for_proxy = !open_.empty() && !open_.front().response;
  const bool holds_partial = partial_lease_.bytes() > 0 && !is_reading_paused_;
  if (stream_->unsent_bytes() > 0 || (holds_partial && !waits_for_proxy)) {
    holder_.enter(read_clocks().mono);
  } else {
    marked_bytes_ = 0;
    holder_.leave();
  }
}

void
caller_stream::give_way()
{
  const caller_stream_ptr self = shared_from_this();
  const bool has_responses = stream_->unsent_bytes() > 0 ||
                             std::any_of(open_.begin(), open_.end(), [](const open_request& item) {
                               return item.response.has_value();
                             });
  const bool is_partial = !is_closing_ && reader_.has_partial_request();
  is_closing_ = true;
  reader_.clear();
  partial_lease_.resize(0);
  count(counter_id::callers_gave_way);
  if (is_partial && !has_responses && !is_reading_paused_) {
    // The response may have effects on other connections, so it follows from the event loop.
    stream_->post([self] { self->refuse(STATUS_REQUEST_TIMEOUT, "stalled"); });
    return;
  }
  refusals_->report("callers", { { "fault", "unread_responses" } }, read_clocks().mono);
  open_.clear();
  open_bytes_ = 0;
  stream_->abort();
  stream_->post([self] {
    if (self->on_disconnected) {
      self->on_disconnected();
    }
  });
}

void
caller_stream::refuse(unsigned status, std::string_view fault)
{
  refusals_->report("callers", { { "fault", fault }, { "status", status } }, read_clocks().mono);
  is_closing_ = true;
  reader_.clear();
  partial_lease_.resize(0);
  const request_number number = next_++;
  open_.push_back({ number, false, false, 0, {}, {} });
  response_head head{ status, {} };
  if (status == STATUS_UNAVAILABLE) {
    count(counter_id::requests_without_memory);
    head.headers.push_back({ "Retry-After", std::string(NO_MEMORY_RETRY_AFTER_S) });
  }
  respond(number, head, {});
}

void
caller_stream::refuse_slow_request()
{
  refuse(STATUS_REQUEST_TIMEOUT, "slow_head");
}

void
caller_stream::respond(request_number number, const response_head& head, const shared_body& body)
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
  open_bytes_ -= std::exchange(found->body_bytes, 0);
  if (!found->is_head_request) {
    found->response_body = body;
    open_bytes_ += body.size();
  }
  send_ready_responses();
}

void
caller_stream::send_ready_responses()
{
  const caller_stream_ptr self = shared_from_this();
  bool closes = false;
  while (!open_.empty() && open_.front().response && !closes) {
    const open_request first = std::move(open_.front());
    open_.pop_front();
    closes = !first.keep_alive;
    open_bytes_ -= first.response_body.size();
    stream_->send(*first.response, first.response_body);
  }
  update_holder();
  if (closes || (is_closing_ && open_.empty())) {
    stream_->close_after_send();
  }
  if (on_activity) {
    on_activity();
  }
  resume_reading();
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
