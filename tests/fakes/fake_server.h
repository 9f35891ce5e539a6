// A server written by hand that counts what arrives and answers as it is told.
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

/** What the server does with a request. */
enum class fake_response
{
  whole,                  ///< Answers it.
  truncated_body,         ///< Announces more than it sends, and closes.
  truncated_head,         ///< Closes within the head.
  close_without_response, ///< Reads it and closes without an answer.
};

/** Counts connections and requests. A request is what ends with an empty line and its body `x`. */
class fake_server
{
public:
  fake_response behaviour = fake_response::whole; ///< What it does.
  int connections = 0;                            ///< Connections that were opened.
  int requests = 0;                               ///< Requests that arrived.

  fake_server()
  {
    server_.listen(QHostAddress::LocalHost);
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] {
      ++connections;
      QTcpSocket* socket = server_.nextPendingConnection();
      QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] { read(socket); });
    });
  }

  /** @return Its port. */
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

  QTcpServer server_; ///< The listening socket.
};

/**
 * Runs the event loop until a condition holds.
 * @param is_met The condition; looked at after each event.
 * @return Whether it held before a bound that only a hang reaches.
 */
inline bool
run_until(const std::function<bool()>& is_met)
{
  static constexpr int RUN_TIMEOUT_MS = 20'000;
  bool is_over = false;
  QTimer bound;
  bound.setSingleShot(true);
  QObject::connect(&bound, &QTimer::timeout, &bound, [&is_over] { is_over = true; });
  bound.start(RUN_TIMEOUT_MS);
  while (!is_met() && !is_over) {
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  }
  return is_met();
}

} // namespace shallotfield
