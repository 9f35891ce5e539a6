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

namespace shallotfield {

/** How the server responds to a request. */
enum class fake_response
{
  whole,                  ///< Sends a complete response.
  truncated_body,         ///< Sends less than its Content-Length and closes the connection.
  truncated_head,         ///< Sends part of the head and closes the connection.
  close_without_response, ///< Closes the connection without a response.
};

/**
 * The server. It does not parse requests: bytes that arrive together and contain the empty line
 * after a head count as one request, with or without a body.
 */
class fake_server
{
public:
  fake_response behaviour = fake_response::whole; ///< How it responds.
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
    }
    socket->disconnectFromHost();
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
