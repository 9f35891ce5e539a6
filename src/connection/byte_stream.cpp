// TCP connection on a traffic thread, based on Boost.Asio.
#include "byte_stream_base.h"

#include <array>
#include <boost/asio/ip/address.hpp>
#include <netinet/tcp.h>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace shallotfield {

/**
 * Time after which unacknowledged data ends the connection, because a VM that lost power sends no
 * reset.
 */
static constexpr int TCP_USER_TIMEOUT_MS = 3000;

/** Idle time before the first keep-alive probe, and interval between probes. */
static constexpr int KEEPALIVE_INTERVAL_S = 2;

/** Number of unanswered probes after which the connection is broken. */
static constexpr int KEEPALIVE_PROBES_MAX = 3;

/** Size of the read buffer that all connections of a thread share. */
static constexpr std::size_t READ_BUFFER_BYTES = 64U << 10U;

/** Bytes read from one connection before the thread serves other connections. */
static constexpr std::size_t READ_QUOTA_BYTES = 256U << 10U;

/** Size up to which data is appended to the last segment that waits to be sent. */
static constexpr std::size_t SEGMENT_BYTES = 64U << 10U;

/** Size up to which a body is copied, so that it is sent together with the data before it. */
static constexpr std::size_t COPIED_BODY_BYTES_MAX = 16U << 10U;

/** Number of segments that are passed to the kernel at once. */
static constexpr std::size_t SEGMENTS_PER_WRITE = 8;

byte_stream::byte_stream(asio::io_context& context, memory_budget_ptr budget)
  : socket_(context)
  , copied_lease_(std::move(budget))
{
}

void
byte_stream::set_options()
{
  // Without the TCP options the connection still works, but small writes may be delayed and a dead
  // peer is noticed later.
  boost::system::error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.set_option(asio::socket_base::keep_alive(true), ignored);
  using asio::detail::socket_option::integer;
  socket_.set_option(integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(TCP_USER_TIMEOUT_MS), ignored);
  socket_.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(KEEPALIVE_INTERVAL_S), ignored);
  socket_.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(KEEPALIVE_INTERVAL_S), ignored);
  socket_.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(KEEPALIVE_PROBES_MAX), ignored);
}

void
byte_stream::accept(tcp::socket&& socket)
{
  socket_ = std::move(socket);
  is_open_ = true;
  set_options();
  wait_readable();
}

void
byte_stream::connect(const endpoint& to, std::int64_t timeout_ms)
{
  boost::system::error_code fault;
  const tcp::endpoint address(asio::ip::make_address(to.host, fault), to.port);
  if (fault) {
    // Deferred to the event loop, so that on_end is never called from within connect().
    asio::post(socket_.get_executor(),
               [self = shared_from_this()] { self->end(stream_close_reason::not_connected); });
    return;
  }
  connect_timer_ = std::make_unique<asio::steady_timer>(socket_.get_executor());
  connect_timer_->expires_after(std::chrono::milliseconds(timeout_ms));
  connect_timer_->async_wait([self = shared_from_this()](const boost::system::error_code& error) {
    if (!error && !self->is_open_) {
      self->end(stream_close_reason::not_connected);
    }
  });
  socket_.async_connect(address,
                        [self = shared_from_this()](const boost::system::error_code& error) {
                          if (self->has_ended_) {
                            return;
                          }
                          self->connect_timer_.reset();
                          if (error) {
                            self->end(stream_close_reason::not_connected);
                            return;
                          }
                          self->is_open_ = true;
                          self->set_options();
                          if (self->on_open) {
                            self->on_open();
                          }
                          self->wait_readable();
                          self->write();
                        });
}

void
byte_stream::wait_readable()
{
  if (has_ended_ || is_paused_ || is_waiting_readable_ || !is_open_) {
    return;
  }
  is_waiting_readable_ = true;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](const boost::system::error_code& error) {
                       self->is_waiting_readable_ = false;
                       if (error) {
                         self->end(stream_close_reason::broken);
                       } else {
                         self->read();
                       }
                     });
}

void
byte_stream::read()
{
  static thread_local std::array<char, READ_BUFFER_BYTES> buffer;
  std::size_t total = 0;
  while (!has_ended_ && !is_paused_ && total < READ_QUOTA_BYTES) {
    boost::system::error_code error;
    const std::size_t count = socket_.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
      break;
    }
    if (error) {
      const bool is_orderly = error == asio::error::eof && !has_write_failed_;
      end(is_orderly ? stream_close_reason::closed : stream_close_reason::broken);
      return;
    }
    total += count;
    if (on_bytes && !is_closing_after_send_) {
      on_bytes({ buffer.data(), count });
    }
    if (count < buffer.size()) {
      break;
    }
  }
  wait_readable();
}

void
byte_stream::post(std::function<void()> work)
{
  asio::post(socket_.get_executor(), std::move(work));
}

void
byte_stream::pause(bool is_paused)
{
  is_paused_ = is_paused;
  wait_readable();
}

void
byte_stream::append(std::string_view bytes)
{
  if (bytes.empty()) {
    return;
  }
  if (segments_.empty() || segments_.back().text.empty() ||
      segments_.back().text.size() + bytes.size() > SEGMENT_BYTES) {
    segments_.emplace_back();
  }
  segments_.back().text.append(bytes);
  unsent_bytes_ += bytes.size();
  copied_bytes_ += bytes.size();
}

void
byte_stream::write_if_idle(bool was_idle)
{
  if (is_open_ && was_idle) {
    write();
  } else {
    copied_lease_.resize(copied_bytes_);
  }
}

void
byte_stream::send(std::string_view bytes)
{
  send(bytes, {});
}

void
byte_stream::send(std::string_view front, const shared_body& body)
{
  if (has_ended_ || is_closing_after_send_) {
    return;
  }
  const bool was_idle = unsent_bytes_ == 0;
  append(front);
  if (body.size() <= COPIED_BODY_BYTES_MAX) {
    append(body);
  } else {
    segments_.push_back({ "", body });
    unsent_bytes_ += body.size();
  }
  write_if_idle(was_idle);
}

void
byte_stream::remove_sent(std::size_t count)
{
  unsent_bytes_ -= count;
  while (count > 0) {
    segment& first = segments_.front();
    const std::size_t taken = std::min(count, first.rest().size());
    first.sent += taken;
    count -= taken;
    if (first.rest().empty()) {
      copied_bytes_ -= first.text.size();
      segments_.pop_front();
    }
  }
}

void
byte_stream::write()
{
  while (!has_ended_ && !segments_.empty()) {
    std::array<asio::const_buffer, SEGMENTS_PER_WRITE> buffers;
    for (std::size_t i = 0; i < std::min(buffers.size(), segments_.size()); ++i) {
      const std::string_view rest = segments_[i].rest();
      buffers[i] = asio::buffer(rest.data(), rest.size());
    }
    boost::system::error_code error;
    remove_sent(socket_.write_some(buffers, error));
    if (error == asio::error::would_block || error == asio::error::try_again) {
      copied_lease_.resize(copied_bytes_);
      if (!is_waiting_writable_) {
        is_waiting_writable_ = true;
        socket_.async_wait(tcp::socket::wait_write,
                           [self = shared_from_this()](const boost::system::error_code& failed) {
                             self->is_waiting_writable_ = false;
                             if (failed) {
                               self->end(stream_close_reason::broken);
                               return;
                             }
                             const std::size_t before = self->unsent_bytes_;
                             self->write();
                             if (self->on_progress && !self->has_ended_) {
                               self->on_progress(before - std::min(before, self->unsent_bytes_));
                             }
                           });
      }
      return;
    }
    if (error) {
      // The kernel reports a broken connection only once. After that, reading finds an orderly end.
      has_write_failed_ = true;
      // Deferred to the event loop, so that on_end is never called from within send().
      asio::post(socket_.get_executor(),
                 [self = shared_from_this()] { self->end(stream_close_reason::broken); });
      return;
    }
  }
  copied_lease_.resize(copied_bytes_);
  if (is_closing_after_send_ && !has_ended_) {
    boost::system::error_code ignored; // Fails only if the connection broke already.
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  }
  if (on_drained && !has_ended_) {
    on_drained();
  }
}

void
byte_stream::close_after_send()
{
  if (has_ended_ || is_closing_after_send_) {
    return;
  }
  is_closing_after_send_ = true;
  if (!is_open_) {
    end(stream_close_reason::not_connected);
    return;
  }
  if (unsent_bytes() == 0) {
    write();
  }
}

void
byte_stream::abort()
{
  is_aborted_ = true;
  end(stream_close_reason::broken);
}

void
byte_stream::end(stream_close_reason reason)
{
  if (has_ended_) {
    return;
  }
  has_ended_ = true;
  segments_.clear();
  unsent_bytes_ = 0;
  copied_bytes_ = 0;
  copied_lease_.resize(0);
  connect_timer_.reset();
  boost::system::error_code ignored; // The connection has ended, whether or not close() succeeds.
  socket_.close(ignored);
  if (on_end && !is_aborted_) {
    on_end(reason);
  }
}

} // namespace shallotfield
