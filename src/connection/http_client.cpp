// Client side of an HTTP connection, based on QTcpSocket.
#include "http_client_base.h"

#include <QHostAddress>
#include <QTimer>

namespace shallotfield {

/**
 * Size of the receive buffer. When reading is paused and the buffer is full, TCP flow control holds
 * back the server.
 */
static constexpr qint64 READ_AHEAD_BYTES = 64 << 10;

http_client::http_client(const endpoint& to, int connect_timeout_ms)
{
  socket_.setReadBufferSize(READ_AHEAD_BYTES);
  QObject::connect(&socket_, &QTcpSocket::connected, &socket_, [this] {
    is_open_ = true;
    state_reader_.open(static_cast<int>(socket_.socketDescriptor()));
    socket_.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    socket_.write(send_buffer_.data(), static_cast<qint64>(send_buffer_.size()));
    send_buffer_.clear();
  });
  QObject::connect(&socket_, &QTcpSocket::readyRead, &socket_, [this] { read(); });
  QObject::connect(&socket_, &QTcpSocket::disconnected, &socket_, [this] { end(); });
  QObject::connect(&socket_, &QTcpSocket::errorOccurred, &socket_, [this] { end(); });
  // Deferred to the event loop, so that on_failed is never called before this function returns.
  QMetaObject::invokeMethod(
    &socket_,
    [this, to] { socket_.connectToHost(QHostAddress(QString::fromStdString(to.host)), to.port); },
    Qt::QueuedConnection);
  QTimer::singleShot(connect_timeout_ms, &socket_, [this] {
    if (!is_open_) {
      end();
    }
  });
}

http_client::~http_client()
{
  socket_.disconnect();
  abort();
}

void
http_client::send(const request_head& head, std::string_view body)
{
  reader_ = std::make_unique<response_reader>(head.method == "HEAD");
  has_head_ = false;
  is_paused_ = false;
  const std::string bytes = format_request(head, body);
  if (is_open_) {
    socket_.write(bytes.data(), static_cast<qint64>(bytes.size()));
  } else {
    send_buffer_ = bytes;
  }
}

void
http_client::pause(bool is_paused)
{
  if (is_paused_ == is_paused || has_ended_) {
    return;
  }
  is_paused_ = is_paused;
  if (!is_paused_) {
    QMetaObject::invokeMethod(
      &socket_, [this] { read(); }, Qt::QueuedConnection);
  }
}

void
http_client::abort()
{
  has_ended_ = true;
  state_reader_.close();
  socket_.abort();
}

void
http_client::read()
{
  if (has_ended_ || is_paused_ || socket_.bytesAvailable() == 0) {
    return;
  }
  const QByteArray bytes = socket_.readAll();
  if (!reader_) {
    // Data without a request: later responses could no longer be matched to their requests.
    end();
    return;
  }
  std::optional<http_fault> error;
  response_piece piece =
    reader_->feed({ bytes.data(), static_cast<std::size_t>(bytes.size()) }, error);
  handle_piece(std::move(piece), error);
}

void
http_client::handle_piece(response_piece&& piece, const std::optional<http_fault>& error)
{
  if (error) {
    fail(*error == http_fault::cut
           ? (has_head_ ? http_client_error::cut : http_client_error::no_response)
           : http_client_error::malformed);
    return;
  }
  has_head_ = has_head_ || piece.head.has_value();
  if (piece.is_done) {
    reader_.reset();
  }
  if (piece.head || !piece.body.empty() || piece.is_done) {
    on_piece(std::move(piece));
  }
}

void
http_client::end()
{
  if (has_ended_) {
    return;
  }
  if (!is_open_) {
    fail(http_client_error::never_sent);
    return;
  }
  if (!reader_) {
    abort();
    if (on_idle_end) {
      on_idle_end();
    }
    return;
  }
  // Process what the server sent before it closed the connection.
  const QByteArray rest = socket_.readAll();
  std::optional<http_fault> error;
  response_piece piece =
    reader_->feed({ rest.data(), static_cast<std::size_t>(rest.size()) }, error);
  if (!error && !piece.is_done && !state_reader_.has_orderly_end()) {
    error = http_fault::cut;
  }
  if (!error && !piece.is_done) {
    response_piece last = reader_->feed_end(error);
    piece.is_done = last.is_done;
    piece.body += last.body;
    if (last.head) {
      piece.head = last.head;
    }
  }
  piece.keep_alive = false;
  handle_piece(std::move(piece), error);
  abort();
}

void
http_client::fail(http_client_error reason)
{
  if (!has_ended_) {
    abort();
    on_failed(reason);
  }
}

} // namespace shallotfield
