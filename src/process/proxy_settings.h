// The settings of a proxy, which serves beside one backend server.
#pragma once
#include "settings_type.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <vector>

namespace shallotfield {

/** Everything that a proxy learns from its settings file. */
struct proxy_settings
{
  std::string node_id;            ///< Name of the node, unique in the fleet.
  std::string region;             ///< Region of the VM.
  std::string zone;               ///< Availability zone of the VM.
  std::string host;               ///< IP number of the VM.
  std::string service;            ///< Service that the backend server beside it runs.
  endpoint server_address;        ///< Where that server listens.
  endpoint callers_address;       ///< Where requests begin.
  endpoint readiness_address;     ///< Where the platform asks whether the proxy is ready.
  endpoint announcements_address; ///< Where the server announces itself.
  endpoint metrics_address;       ///< Where the metrics are served.
  endpoint store_address;         ///< The platform's metadata store.
  std::uint16_t peers_port = 0;   ///< First port for links between proxies; the next one carries
                                  ///< beacons and configurations.
  std::int64_t server_heartbeat_ms = 0; ///< Interval of the server's announcements.
  std::uint32_t processor_permille = 0; ///< Thousandths of a core that the process may use.
  bool is_first_start = false;          ///< The whole fleet starts for the first time.
  std::vector<std::string> bounds;      ///< The platform's bounds, as it gives them.
};

/**
 * Parses the text of a settings file. Unknown keys are ignored, since the platform may add some.
 * @param text JSON text: one object.
 * @return The settings; or setting_error, which names the key.
 */
boost::leaf::result<proxy_settings>
parse_proxy_settings(std::string_view text);

/**
 * Reads and parses a settings file.
 * @param path Path of the file.
 * @return The settings; or setting_error, which names the key or the file.
 */
boost::leaf::result<proxy_settings>
read_proxy_settings(const std::string& path);

} // namespace shallotfield
