// The `proxy` command.
#include "command.h"
#include "platform/platform.h"
#include "process/node.h"
#include "signals.h"

#include <QCoreApplication>
#include <boost/leaf/handle_errors.hpp>
#include <malloc.h>

namespace leaf = boost::leaf;

namespace shallotfield {

/**
 * Reads the settings of a proxy into `options` and parses the bounds in them that the platform sets
 * for the whole fleet, such as the retry budget.
 */
static leaf::result<std::pair<proxy_settings, platform::fleet_bounds>>
load_settings(const std::string& path)
{
  BOOST_LEAF_AUTO(options, read_proxy_settings(path));
  const std::optional<platform::fleet_bounds> bounds = platform::parse_bounds(options.bounds);
  if (!bounds) {
    return leaf::new_error(setting_error{ "bounds", setting_fault::bad_value });
  }
  return std::pair{ std::move(options), *bounds };
}

/**
 * Reads the settings again and applies the bounds. All other settings, such as addresses, take
 * effect at the next start. Invalid settings are logged and leave the current bounds in place.
 */
static void
reload(proxy_node& node, const std::string& path)
{
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(loaded, load_settings(path));
      node.set_bounds(loaded.second);
      // The event `started` reports a reload as well as the start of the process.
      write_log(log_event::started, { { "what", "reload" }, { "result", "taken" } });
      return {};
    },
    [](const setting_error& error) {
      write_log(log_event::setting_refused,
                { { "key", error.key }, { "fault", enum_name(error.fault) } });
    },
    [] {
      write_log(log_event::setting_refused, { { "key", "" } });
    });
}

/** Size from which on a block of memory is returned to the system as soon as it is freed. Without a
 * fixed size, glibc raises it to that of large bodies, whose memory it then keeps. */
static constexpr int RETURNED_BLOCK_BYTES = 256 << 10;

/** Starts a proxy and runs the event loop until the proxy has left the fleet. */
static leaf::result<exit_code>
serve(const std::string& path)
{
  BOOST_LEAF_AUTO(loaded, load_settings(path));
  start_logging();
  mallopt(M_MMAP_THRESHOLD, RETURNED_BLOCK_BYTES);
  proxy_node node(std::move(loaded.first), loaded.second);
  node.on_stopped = [] { QCoreApplication::exit(static_cast<int>(exit_code::ok)); };
  BOOST_LEAF_CHECK(node.start());
  const signal_watcher signals([&node, &path](signal_action which) {
    switch (which) {
      case signal_action::terminate:
        node.leave();
        break;
      case signal_action::reload:
        reload(node, path);
        break;
    }
  });
  return static_cast<exit_code>(QCoreApplication::exec());
}

exit_code
run_proxy(const command_options& options)
{
  if (!install_signal_handlers()) {
    return exit_code::internal;
  }
  const std::string path =
    options.settings_path.empty() ? platform::settings_path().value_or("") : options.settings_path;
  const exit_code code = leaf::try_handle_all(
    [&] { return serve(path); }, report_setting_error, [] { return exit_code::internal; });
  stop_logging();
  return code;
}

} // namespace shallotfield
