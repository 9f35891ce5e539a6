// Signals as events of the main thread's event loop.
#pragma once
#include "process/process.h"

#include <QSocketNotifier>
#include <functional>

namespace shallotfield {

/** A signal that a process acts on. */
enum class signal_action
{
  terminate, ///< SIGTERM or SIGINT: finish what is open, then end.
  reload,    ///< SIGHUP: read the settings again.
};

/** Installs the handlers; from then on signals are kept until a signal_watcher takes them. @return
 * Whether that worked. */
bool
install_signal_handlers();

/** Calls a function for each signal, from the event loop. At most one lives at a time. */
class signal_watcher
{
public:
  /** @param handler Gets each signal. */
  explicit signal_watcher(std::function<void(signal_action)> handler);

private:
  std::function<void(signal_action)> handler_; ///< Gets each signal.
  QSocketNotifier notifier_;                   ///< Wakes the event loop.
};

} // namespace shallotfield
