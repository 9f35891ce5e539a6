// TCP connection that carries frames, based on QTcpSocket.
#include "framed_socket_base.h"

#include <QHostAddress>
#include <QTimer>

namespace shallotfield {

framed_socket::framed_socket(frame_limits limits)
  : decoder_(limits)
{
  QObject::connect(&socket_, &QTcpSocket::readyRead, &socket_, [this] { read(); });
  QObject::connect(&socket_, &QTcpSocket::bytesWritten, &socket_, [this] {
    if (on_written && !has_ended_) {
      on_written();
    }
  });
  QObject::connect(&socket_, &QTcpSocket::connected, &socket_, [this] {
    is_open_ = true;
    socket_.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    if (on_open) {
      on_open();
    }
    socket_.write(send_buffer_.data(), static_cast<qint64>(send_buffer_.size()));
    send_buffer_.clear();
  });
  QObject::connect(
    &socket_, &QTcpSocket::disconnected, &socket_, [this] { end(link_close_reason::closed); });
  QObject::connect(&socket_, &QTcpSocket::errorOccurred, &socket_, [this] {
    end(is_open_ ? link_close_reason::closed : link_close_reason::not_connected);
  });
}

framed_socket::~framed_socket()
{
  has_ended_ = true;
  socket_.disconnect();
  socket_.abort();
}

void
framed_socket::connect_to(const endpoint& to, int timeout_ms)
{
  // Deferred to the event loop, so that on_end is never called before this function returns.
  QMetaObject::invokeMethod(
    &socket_,
    [this, to] { socket_.connectToHost(QHostAddress(QString::fromStdString(to.host)), to.port); },
    Qt::QueuedConnection);
  QTimer::singleShot(timeout_ms, &socket_, [this] {
    if (!is_open_) {
      end(link_close_reason::not_connected);
    }
  });
}

void
framed_socket::accept(qintptr descriptor)
{
  is_open_ = socket_.setSocketDescriptor(descriptor);
  socket_.setSocketOption(QAbstractSocket::LowDelayOption, 1);
}

void
framed_socket::send(const std::string& bytes)
{
  if (has_ended_) {
    return;
  }
  if (is_open_) {
    socket_.write(bytes.data(), static_cast<qint64>(bytes.size()));
  } else {
    send_buffer_ += bytes;
  }
}

void
framed_socket::refuse(const frame_error& error)
{
  write_log(log_event::input_refused,
            { { "peer", peer_address() }, { "fault", enum_name(error.fault) } });
  count(counter_id::inputs_refused);
  end(link_close_reason::bad_input);
  socket_.abort();
}

void
framed_socket::close()
{
  socket_.disconnectFromHost();
}

std::string
framed_socket::peer_address() const
{
  return socket_.peerAddress().toString().toStdString() + ":" + std::to_string(socket_.peerPort());
}

void
framed_socket::read()
{
  const QByteArray bytes = socket_.readAll();
  if (on_bytes_received && !has_ended_) {
    on_bytes_received();
  }
  std::vector<frame> frames;
  const std::optional<frame_error> error =
    decoder_.feed({ bytes.data(), static_cast<std::size_t>(bytes.size()) }, frames);
  for (frame& item : frames) {
    if (has_ended_) {
      return;
    }
    if (on_frame) {
      on_frame(std::move(item));
    }
  }
  if (error && !has_ended_) {
    refuse(*error);
  }
}

void
framed_socket::end(link_close_reason reason)
{
  if (!has_ended_) {
    has_ended_ = true;
    if (on_end) {
      on_end(reason);
    }
  }
}

} // namespace shallotfield
