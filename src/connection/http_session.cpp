// Server side of an HTTP connection, based on QTcpSocket.
#include "http_session_base.h"

namespace shallotfield {

/**
 * Data of further requests that is buffered while a request is open. When the buffer is full, TCP
 * flow control holds back the caller.
 */
static constexpr qint64 PIPELINED_BYTES_MAX = 64 << 10;

http_session::http_session(qintptr descriptor, std::uint64_t body_bytes_max)
  : reader_(body_bytes_max)
{
  socket_.setReadBufferSize(PIPELINED_BYTES_MAX);
  QObject::connect(&socket_, &QTcpSocket::readyRead, &socket_, [this] {
    if (!is_busy_) {
      const QByteArray bytes = socket_.readAll();
      read({ bytes.data(), static_cast<std::size_t>(bytes.size()) });
    }
  });
  QObject::connect(&socket_, &QTcpSocket::bytesWritten, &socket_, [this] {
    if (on_written && !has_ended_) {
      on_written();
    }
  });
  QObject::connect(&socket_, &QTcpSocket::disconnected, &socket_, [this] { end(); });
  QObject::connect(&socket_, &QTcpSocket::errorOccurred, &socket_, [this] { end(); });
  socket_.setSocketDescriptor(descriptor);
  socket_.setSocketOption(QAbstractSocket::LowDelayOption, 1);
}

http_session::~http_session()
{
  has_ended_ = true;
  socket_.disconnect();
  socket_.abort();
}

void
http_session::read(std::string_view bytes)
{
  std::optional<http_fault> error;
  std::optional<http_request> request = reader_.feed(bytes, error);
  if (error) {
    refuse(*error);
    return;
  }
  if (request) {
    is_busy_ = true;
    keep_alive_ = request->keep_alive;
    is_head_request_ = request->head.method == "HEAD";
    on_request(std::move(*request));
  }
}

void
http_session::refuse(http_fault fault)
{
  write_log(log_event::input_refused, { { "edge", "callers" }, { "fault", enum_name(fault) } });
  count(counter_id::inputs_refused);
  static constexpr unsigned BAD_REQUEST = 400;
  static constexpr unsigned CONTENT_TOO_LARGE = 413;
  static constexpr unsigned HEAD_TOO_LARGE = 431;
  unsigned status = BAD_REQUEST;
  if (fault == http_fault::body_too_large) {
    status = CONTENT_TOO_LARGE;
  } else if (fault == http_fault::head_too_large) {
    status = HEAD_TOO_LARGE;
  }
  is_busy_ = true;
  keep_alive_ = false;
  respond(status,
          { { "Shallotfield-Outcome", "not-run" },
            { "Shallotfield-Reason", std::string(enum_name(fault)) } },
          "");
}

void
http_session::respond(unsigned status,
                      const std::vector<http_header>& headers,
                      std::string_view body)
{
  if (has_ended_) {
    return;
  }
  std::string bytes = format_response(status, headers, body, keep_alive_);
  if (is_head_request_) {
    bytes.resize(bytes.size() - body.size());
  }
  socket_.write(bytes.data(), static_cast<qint64>(bytes.size()));
  is_chunked_ = false;
  finish_response();
}

void
http_session::start_response(const response_head& head)
{
  if (has_ended_) {
    return;
  }
  is_chunked_ = !is_head_request_ && may_have_body(head.status) &&
                find_header(head.headers, "Content-Length") == nullptr;
  const std::string bytes = format_response_head(head, keep_alive_);
  socket_.write(bytes.data(), static_cast<qint64>(bytes.size()));
}

void
http_session::send_body(std::string_view bytes)
{
  if (has_ended_ || bytes.empty()) {
    return;
  }
  if (is_chunked_) {
    const std::string chunk = format_chunk(bytes);
    socket_.write(chunk.data(), static_cast<qint64>(chunk.size()));
  } else {
    socket_.write(bytes.data(), static_cast<qint64>(bytes.size()));
  }
}

void
http_session::finish_response()
{
  if (has_ended_) {
    return;
  }
  if (is_chunked_) {
    socket_.write(LAST_CHUNK.data(), static_cast<qint64>(LAST_CHUNK.size()));
  }
  is_chunked_ = false;
  is_busy_ = false;
  if (!keep_alive_) {
    socket_.disconnectFromHost();
    return;
  }
  // Data of the next request may be buffered already. It is processed from the event loop.
  QMetaObject::invokeMethod(
    &socket_,
    [this] {
      if (!is_busy_ && !has_ended_) {
        const QByteArray bytes = socket_.readAll();
        read({ bytes.data(), static_cast<std::size_t>(bytes.size()) });
      }
    },
    Qt::QueuedConnection);
}

void
http_session::abort()
{
  socket_.abort();
  end();
}

void
http_session::end()
{
  if (!has_ended_) {
    has_ended_ = true;
    if (on_disconnected) {
      on_disconnected();
    }
  }
}

} // namespace shallotfield
