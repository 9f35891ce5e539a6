// Link between two proxies, on a traffic thread.
#include "peer_stream_base.h"

#include <boost/leaf/handle_errors.hpp>

namespace leaf = boost::leaf;

namespace shallotfield {

peer_stream::peer_stream(boost::asio::io_context& context,
                         std::size_t frame_bytes_max,
                         const memory_budget_ptr& budget)
  : stream_(std::make_shared<byte_stream>(context, budget))
  , decoder_(frame_limits{ TRAFFIC_HEAD_BYTES_MAX, frame_bytes_max }, budget)
{
}

void
peer_stream::set_stream_callbacks()
{
  const std::weak_ptr<peer_stream> weak = weak_from_this();
  stream_->on_open = [weak] {
    if (const peer_stream_ptr self = weak.lock()) {
      self->last_received_at_ = read_clocks().mono;
    }
  };
  stream_->on_bytes = [weak](std::string_view bytes) {
    if (const peer_stream_ptr self = weak.lock()) {
      self->handle_bytes(bytes);
    }
  };
  stream_->on_end = [weak](stream_close_reason reason) {
    const peer_stream_ptr self = weak.lock();
    if (self && !self->has_ended_) {
      self->has_ended_ = true;
      self->on_end(reason);
    }
  };
}

void
peer_stream::accept(boost::asio::ip::tcp::socket&& socket)
{
  set_stream_callbacks();
  last_received_at_ = read_clocks().mono;
  stream_->accept(std::move(socket));
}

void
peer_stream::connect(const endpoint& to, std::int64_t timeout_ms)
{
  set_stream_callbacks();
  stream_->connect(to, timeout_ms);
}

void
peer_stream::abort()
{
  has_ended_ = true;
  stream_->abort();
}

void
peer_stream::handle_bytes(std::string_view bytes)
{
  last_received_at_ = read_clocks().mono;
  std::vector<frame> frames;
  std::optional<frame_error> error = decoder_.feed(bytes, frames);
  for (frame& item : frames) {
    if (has_ended_) {
      return;
    }
    std::optional<traffic_message> message;
    const bool is_dropped = item.is_payload_dropped;
    leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(parsed, parse_traffic(std::move(item)));
        message = std::move(parsed);
        return {};
      },
      [&](const frame_error& refused) { error = refused; },
      [&] { error = frame_error{ frame_fault::bad_message }; });
    if (!message) {
      break;
    }
    if (is_dropped) {
      count(counter_id::peer_bodies_dropped);
      on_body_dropped(std::move(*message));
    } else {
      on_message(std::move(*message));
    }
  }
  if (error && !has_ended_) {
    refuse(*error);
  }
}

void
peer_stream::refuse(const frame_error& error)
{
  write_log(log_event::input_refused, { { "edge", "peers" }, { "fault", enum_name(error.fault) } });
  count(counter_id::inputs_refused);
  has_ended_ = true;
  stream_->abort();
  on_end(stream_close_reason::broken);
}

} // namespace shallotfield
