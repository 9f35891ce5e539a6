// Delivery of POSIX signals to the main thread's event loop: the handlers write one byte per signal
// to a socket pair, and the event loop reads it.
#include "signals.h"

#include <csignal>
#include <sys/socket.h>
#include <unistd.h>

namespace shallotfield {

/** Socket pair from the handlers, which write to [0], to the event loop, which reads from [1]. */
static int signal_socket_pair[2];

/**
 * Signal handler: writes 'h' for SIGHUP and 't' for a signal that ends the process. It calls
 * nothing but write(), which is async-signal-safe.
 */
static void
forward_signal(int number)
{
  const char byte = number == SIGHUP ? 'h' : 't';
  const ssize_t written = write(signal_socket_pair[0], &byte, sizeof byte);
  static_cast<void>(written);
}

bool
install_signal_handlers()
{
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, signal_socket_pair) != 0) {
    return false;
  }
  struct sigaction action = {};
  action.sa_handler = forward_signal;
  sigemptyset(&action.sa_mask);
  action.sa_flags = SA_RESTART;
  struct sigaction ignore = {};
  ignore.sa_handler = SIG_IGN;
  return sigaction(SIGTERM, &action, nullptr) == 0 && sigaction(SIGINT, &action, nullptr) == 0 &&
         sigaction(SIGHUP, &action, nullptr) == 0 && sigaction(SIGPIPE, &ignore, nullptr) == 0;
}

signal_watcher::signal_watcher(std::function<void(signal_action)> handler)
  : handler_(std::move(handler))
  , notifier_(signal_socket_pair[1], QSocketNotifier::Read)
{
  QObject::connect(&notifier_, &QSocketNotifier::activated, &notifier_, [this] {
    char byte = 0;
    if (read(signal_socket_pair[1], &byte, sizeof byte) == sizeof byte) {
      handler_(byte == 'h' ? signal_action::reload : signal_action::terminate);
    }
  });
}

} // namespace shallotfield
