// Signals as events of the main thread's event loop.
#pragma once
#include "process/process.h"

#include <QSocketNotifier>
#include <functional>

namespace shallotfield {

/** A signal that a process acts on. */
enum class watched_signal
{
  terminate, ///< SIGTERM or SIGINT: finish what is open, then end.
  reload,    ///< SIGHUP: read the settings again.
};

/** Installs the handlers; from then on signals are kept until a signal_watch takes them. @return
 * Whether that worked. */
bool
install_signals();

/** Calls a function for each signal, from the event loop. At most one lives at a time. */
class signal_watch
{
public:
  /** @param handler Gets each signal. */
  explicit signal_watch(std::function<void(watched_signal)> handler);

private:
  std::function<void(watched_signal)> handler_; ///< Gets each signal.
  QSocketNotifier notifier_;                    ///< Wakes the event loop.
};

} // namespace shallotfield
