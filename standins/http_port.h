// HTTP server for stand-ins whose responses may be deferred until after the client has
// disconnected, which QHttpServer does not survive.
#pragma once
#include "connection/connection.h"

#include <QHostAddress>
#include <QTcpServer>
#include <functional>
#include <map>
#include <memory>

namespace shallotfield {

/** Accepts HTTP connections and passes on each request with the id of its connection. */
class http_port : public QTcpServer
{
public:
  using connection_id = std::uint64_t; ///< Id of a connection; never reused.

  std::function<void(connection_id, http_request&&)> on_request; ///< Called with each request.

  /** Responds to the open request of a connection; does nothing if the connection has ended. */
  void respond(connection_id id, unsigned status, const std::string& body)
  {
    const auto found = sessions_.find(id);
    if (found != sessions_.end()) {
      found->second->respond(status, { { "Content-Type", "application/json" } }, body);
    }
  }

protected:
  void incomingConnection(qintptr descriptor) override
  {
    static constexpr std::uint64_t BODY_LIMIT_BYTES = 64U << 20U;
    const connection_id id = next_++;
    auto session = std::make_unique<http_session>(descriptor, BODY_LIMIT_BYTES);
    session->on_request = [this, id](http_request&& request) {
      on_request(id, std::move(request));
    };
    session->on_disconnected = [this, id] {
      // This runs inside a callback of the session, so the session is deleted later, from the event
      // loop.
      std::shared_ptr<http_session> gone = std::move(sessions_.at(id));
      sessions_.erase(id);
      QMetaObject::invokeMethod(
        this, [gone] {}, Qt::QueuedConnection);
    };
    sessions_[id] = std::move(session);
  }

private:
  std::map<connection_id, std::unique_ptr<http_session>> sessions_; ///< Open connections.
  connection_id next_ = 1;                                          ///< Id of the next connection.
};

} // namespace shallotfield
