// Accepts TCP connections and hands on their socket descriptors.
#pragma once
#include <QTcpServer>
#include <functional>

namespace shallotfield {

/** A listening port. The library hands connections on through a virtual function. */
class listener : public QTcpServer
{
public:
  std::function<void(qintptr)> on_connection; ///< Gets the descriptor of each connection.

protected:
  void incomingConnection(qintptr descriptor) override { on_connection(descriptor); }
};

} // namespace shallotfield
