// The settings of a proxy and the parser of its settings file.
#pragma once
#include "settings_type.h"
#include "traffic_price_type.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <vector>

namespace shallotfield {

/** The settings of a proxy, as its settings file gives them. */
struct proxy_settings
{
  std::string node_id;            ///< Name of the node, unique in the fleet.
  std::string region;             ///< Region of the VM.
  std::string zone;               ///< Availability zone of the VM.
  std::string host;               ///< IP address of the VM, reachable for other proxies.
  std::string service;            ///< Service that the local backend server provides.
  endpoint server_address;        ///< Address on which the local backend server listens.
  endpoint callers_address;       ///< Address on which the proxy accepts callers' requests.
  endpoint readiness_address;     ///< Address on which the proxy responds to readiness checks.
  endpoint announcements_address; ///< Address on which the proxy accepts the server's heartbeats.
  endpoint metrics_address;       ///< Address on which the proxy serves its metrics.
  endpoint store_address;         ///< Address of the platform's metadata store.
  std::uint16_t peers_port = 0;   ///< Port for links between proxies. The next higher port carries
                                  ///< beacons (UDP) and configurations (TCP).
  std::int64_t server_heartbeat_ms = 0;   ///< Interval of the server's heartbeats.
  std::uint32_t processor_permille = 0;   ///< CPU share of the process, in thousandths of a core.
  std::size_t memory_bytes = 256U << 20U; ///< Memory limit of the process.
  double link_bytes_per_ms = 0;           ///< Rate of the VM's network link; 0: unknown.
  bool spills_by_share = false; ///< Whether the share of work that leaves the zone is limited; see
                                ///< zone_spill.
  traffic_prices prices;        ///< Prices of traffic, used if spills_by_share.
  bool learns_server_limit = false; ///< Whether the proxy learns how many requests the local
                                    ///< server runs, or relies on the announced slots.
  bool is_first_start = false;      ///< The fleet is started for the first time, so that the
                                    ///< directory of peers is still empty.
  std::vector<std::string> bounds;  ///< Bounds that the platform sets for the fleet, such as the
                                    ///< grace period, each as `name=value`.
};

/**
 * Parses the text of a settings file, a JSON object. Unknown keys are ignored, because later
 * versions of the platform may add some. On failure the error is a setting_error with the key.
 */
boost::leaf::result<proxy_settings>
parse_proxy_settings(std::string_view text);

/** Reads and parses a settings file. On failure the error is a setting_error with the key, or with
 * the path if the file cannot be read. */
boost::leaf::result<proxy_settings>
read_proxy_settings(const std::string& path);

} // namespace shallotfield
