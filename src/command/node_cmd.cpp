// The command that runs a node.
#include "command.h"
#include "process/node.h"

#include <QCoreApplication>
#include <QSocketNotifier>
#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <iostream>
#include <sys/socket.h>
#include <unistd.h>

namespace leaf = boost::leaf;

namespace shallotfield {

/** Socket pair that carries signals into the event loop. */
static int signal_sockets[2];

/** Passes a signal on; only what is allowed in a signal handler. */
static void
pass_signal(int /*number*/)
{
  const char byte = 1;
  const ssize_t written = write(signal_sockets[0], &byte, sizeof byte);
  static_cast<void>(written);
}

/** Installs the handlers of the signals that ask the process to end. */
static bool
install_signals()
{
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, signal_sockets) != 0) {
    return false;
  }
  struct sigaction action = {};
  action.sa_handler = pass_signal;
  sigemptyset(&action.sa_mask);
  action.sa_flags = SA_RESTART;
  return sigaction(SIGTERM, &action, nullptr) == 0 && sigaction(SIGINT, &action, nullptr) == 0;
}

/** Runs the event loop until the node has left. */
static leaf::result<exit_code>
serve(const std::string& path)
{
  BOOST_LEAF_AUTO(options, read_settings(path));
  start_logging();
  control_thread node(std::move(options));
  node.on_stopped = [] { QCoreApplication::exit(static_cast<int>(exit_code::ok)); };
  BOOST_LEAF_CHECK(node.start());
  QSocketNotifier notifier(signal_sockets[1], QSocketNotifier::Read);
  QObject::connect(&notifier, &QSocketNotifier::activated, &notifier, [&node] {
    char byte = 0;
    if (read(signal_sockets[1], &byte, sizeof byte) == sizeof byte) {
      node.leave();
    }
  });
  return static_cast<exit_code>(QCoreApplication::exec());
}

exit_code
run_node(const command_options& options)
{
  if (!install_signals()) {
    return exit_code::internal;
  }
  const exit_code code = leaf::try_handle_all(
    [&] { return serve(options.settings_path); },
    [](const setting_error& error) {
      const std::vector<log_field> fields = { { "key", error.key },
                                              { "fault", enum_name(error.fault) } };
      std::cerr << format_log_line(log_event::setting_refused, fields) << '\n';
      return exit_code::settings;
    },
    [] { return exit_code::internal; });
  stop_logging();
  return code;
}

} // namespace shallotfield
