// A TCP port that accepts connections as plain socket descriptors.
#pragma once
#include <QTcpServer>
#include <functional>

namespace shallotfield {

/**
 * A listening port. QTcpServer passes an accepted descriptor to a virtual function; overriding it
 * lets the descriptor be handed to another thread before a socket object exists for it.
 */
class listener : public QTcpServer
{
public:
  std::function<void(qintptr)> on_connection; ///< Called with the descriptor of each connection.

protected:
  void incomingConnection(qintptr descriptor) override { on_connection(descriptor); }
};

} // namespace shallotfield
