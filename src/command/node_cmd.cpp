// The `node` command.
#include "command.h"
#include "process/node.h"
#include "signals.h"

#include <QCoreApplication>
#include <boost/leaf/handle_errors.hpp>
#include <iostream>

namespace leaf = boost::leaf;

namespace shallotfield {

exit_code
report_setting_error(const setting_error& error)
{
  const std::vector<log_field> fields = { { "key", error.key },
                                          { "fault", enum_name(error.fault) } };
  std::cerr << format_log_line(log_event::setting_refused, fields) << '\n';
  return exit_code::settings;
}

/**
 * Reads the settings of a node into `options`, starts the node and runs the event loop until the
 * node has left the fleet.
 */
static leaf::result<exit_code>
serve(const std::string& path)
{
  BOOST_LEAF_AUTO(options, read_settings(path));
  start_logging();
  control_thread node(std::move(options));
  node.on_stopped = [] { QCoreApplication::exit(static_cast<int>(exit_code::ok)); };
  BOOST_LEAF_CHECK(node.start());
  const signal_watcher signals([&node](signal_action which) {
    if (which == signal_action::terminate) {
      node.leave();
    }
  });
  return static_cast<exit_code>(QCoreApplication::exec());
}

exit_code
run_node(const command_options& options)
{
  if (!install_signal_handlers()) {
    return exit_code::internal;
  }
  const exit_code code = leaf::try_handle_all([&] { return serve(options.settings_path); },
                                              report_setting_error,
                                              [] { return exit_code::internal; });
  stop_logging();
  return code;
}

} // namespace shallotfield
