// A fake HTTP server that counts connections and requests and sends complete, truncated or no
// responses.
#pragma once
#include <QCoreApplication>
#include <QEventLoop>
#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <functional>
#include <string>
#include <sys/socket.h>

namespace shallotfield {

/** How the server responds to a request. */
enum class fake_response
{
  whole,                  ///< Sends a complete response.
  truncated_body,         ///< Sends less than its Content-Length and closes the connection.
  truncated_head,         ///< Sends part of the head and closes the connection.
  close_without_response, ///< Closes the connection without a response.
  given_then_close,       ///< Sends a given response and closes the connection.
  given_then_end,         ///< Sends a given response, ends the sending direction and reads nothing.
  given_then_reset,       ///< Sends a given response and resets the connection.
};

/**
 * The server. It does not parse requests: bytes that arrive together and contain the empty line
 * after a head count as one request, with or without a body.
 */
class fake_server
{
public:
  fake_response behaviour = fake_response::whole; ///< How it responds.
  std::string given_response;                     ///< What it sends if the test gives it.
  int reset_delay_ms = 0;                         ///< Time from sending it until the reset.
  int connections = 0;                            ///< Accepted connections.
  int requests = 0;                               ///< Received requests.

  fake_server()
  {
    server_.listen(QHostAddress::LocalHost);
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] {
      ++connections;
      QTcpSocket* socket = server_.nextPendingConnection();
      QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] { read(socket); });
    });
  }

  std::uint16_t port() const { return server_.serverPort(); }

private:
  void read(QTcpSocket* socket)
  {
    const std::string text = socket->readAll().toStdString();
    if (text.find("\r\n\r\n") == std::string::npos) {
      return;
    }
    ++requests;
    switch (behaviour) {
      case fake_response::whole:
        socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        return;
      case fake_response::truncated_body:
        socket->write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
        break;
      case fake_response::truncated_head:
        socket->write("HTTP/1.1 200 OK\r\nContent-");
        break;
      case fake_response::close_without_response:
        break;
      case fake_response::given_then_close:
        socket->write(given_response.data(), static_cast<qint64>(given_response.size()));
        break;
      case fake_response::given_then_end:
        stop_reading(*socket);
        QObject::connect(socket, &QTcpSocket::bytesWritten, socket, [socket] {
          if (socket->bytesToWrite() == 0) {
            ::shutdown(static_cast<int>(socket->socketDescriptor()), SHUT_WR);
          }
        });
        socket->write(given_response.data(), static_cast<qint64>(given_response.size()));
        return;
      case fake_response::given_then_reset:
        stop_reading(*socket);
        socket->write(given_response.data(), static_cast<qint64>(given_response.size()));
        socket->flush();
        QTimer::singleShot(reset_delay_ms, socket, [socket] { reset(*socket); });
        return;
    }
    socket->disconnectFromHost();
  }

  /** Leaves the rest of a long request unread, so that the client is still writing it. */
  static void stop_reading(QTcpSocket& socket)
  {
    socket.setReadBufferSize(1);
    socket.disconnect();
  }

  static void reset(QTcpSocket& socket)
  {
    const linger at_once{ 1, 0 };
    ::setsockopt(static_cast<int>(socket.socketDescriptor()),
                 SOL_SOCKET,
                 SO_LINGER,
                 &at_once,
                 sizeof(at_once));
    socket.abort();
  }

  QTcpServer server_; ///< Listens on a free port of the loopback interface.
};

/**
 * Runs the event loop until a condition holds, which is checked after each batch of events. Returns
 * whether it holds; false after 20 s, which only a test that hangs reaches.
 */
inline bool
run_until(const std::function<bool()>& is_met)
{
  static constexpr int RUN_TIMEOUT_MS = 20'000;
  bool has_timed_out = false;
  QTimer timeout_timer;
  timeout_timer.setSingleShot(true);
  QObject::connect(
    &timeout_timer, &QTimer::timeout, &timeout_timer, [&has_timed_out] { has_timed_out = true; });
  timeout_timer.start(RUN_TIMEOUT_MS);
  while (!is_met() && !has_timed_out) {
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  }
  return is_met();
}

} // namespace shallotfield
