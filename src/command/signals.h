// Delivery of POSIX signals to the main thread's event loop.
#pragma once
#include "process/process.h"

#include <QSocketNotifier>
#include <functional>

namespace shallotfield {

/** What a signal asks the process to do. */
enum class signal_action
{
  terminate, ///< SIGTERM or SIGINT: finish the open requests, then exit.
  reload,    ///< SIGHUP: reload the settings; a node ignores it.
};

/**
 * Installs the signal handlers and ignores SIGPIPE, so that writing to a closed socket is reported
 * as an error. Signals that arrive before a signal_watcher exists are queued for it. Returns
 * whether all handlers were installed.
 */
bool
install_signal_handlers();

/** Calls a function from the event loop for each signal. At most one instance may exist, since all
 * would read from the same socket. */
class signal_watcher
{
public:
  /** @param handler Called with the action of each signal. */
  explicit signal_watcher(std::function<void(signal_action)> handler);

private:
  std::function<void(signal_action)> handler_; ///< Called with the action of each signal.
  QSocketNotifier notifier_;                   ///< Watches the read end of the socket pair.
};

} // namespace shallotfield
