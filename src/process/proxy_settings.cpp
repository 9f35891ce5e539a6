// Parsing and validation of a proxy's settings.
#include "proxy_settings.h"
#include "settings_func.h"

#include <boost/leaf/error.hpp>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace leaf = boost::leaf;
using nlohmann::json;

namespace shallotfield {

/** A setting whose value is a non-empty string. */
struct proxy_text_row
{
  std::string_view key;                ///< Key in the settings file.
  std::string proxy_settings::*member; ///< Member that holds the value.
};

static constexpr std::array<proxy_text_row, 5> PROXY_TEXT_ROWS = { {
  { "node_id", &proxy_settings::node_id },
  { "region", &proxy_settings::region },
  { "zone", &proxy_settings::zone },
  { "host", &proxy_settings::host },
  { "service", &proxy_settings::service },
} };

/** A setting whose value is an IP address with a port. */
struct proxy_address_row
{
  std::string_view key;             ///< Key in the settings file.
  endpoint proxy_settings::*member; ///< Member that holds the value.
};

static constexpr std::array<proxy_address_row, 6> PROXY_ADDRESS_ROWS = { {
  { "server_address", &proxy_settings::server_address },
  { "callers_address", &proxy_settings::callers_address },
  { "readiness_address", &proxy_settings::readiness_address },
  { "metrics_address", &proxy_settings::metrics_address },
  { "announcements_address", &proxy_settings::announcements_address },
  { "store_address", &proxy_settings::store_address },
} };

/** Maximum value of peers_port, so that the next higher port exists. */
static constexpr std::int64_t PEERS_PORT_MAX = 65534;

/** Maximum interval of the server's heartbeats, in seconds. */
static constexpr double HEARTBEAT_INTERVAL_MAX_S = 3600;

/** Maximum CPU share, in cores. A larger value is taken for a mistake. */
static constexpr double PROCESSOR_SHARE_MAX = 1024;

/** Maximum memory limit and rate of the network link. A larger value is taken for a mistake. */
static constexpr double MEMORY_MAX_MB = 1 << 24;
static constexpr double LINK_MAX_MBPS = 1e6;

/** Maximum price of traffic. With a larger one, no request would ever leave its zone. */
static constexpr double TRAFFIC_PRICE_MAX_MS_PER_MB = 1e6;

static constexpr double BYTES_PER_MB = 1 << 20;
static constexpr double BYTES_PER_MS_PER_MBPS = 125;
static constexpr double MS_PER_S = 1000;
static constexpr double PERMILLE = 1000;

/** Returns a setting_error for a key. */
static leaf::error_id
refuse(std::string_view key, setting_fault fault)
{
  return leaf::new_error(setting_error{ std::string(key), fault });
}

/** Finds a mandatory setting. A null value counts as missing. */
static leaf::result<const json*>
find_setting(const json& file, std::string_view key)
{
  const auto value = file.find(key);
  if (value == file.end() || value->is_null()) {
    return refuse(key, setting_fault::missing);
  }
  return &*value;
}

/** Parses the settings that are strings or addresses. */
static leaf::result<void>
parse_texts(const json& file, proxy_settings& result)
{
  for (const proxy_text_row& row : PROXY_TEXT_ROWS) {
    BOOST_LEAF_AUTO(value, find_setting(file, row.key));
    if (!value->is_string()) {
      return refuse(row.key, setting_fault::wrong_type);
    }
    result.*row.member = value->get<std::string>();
    if ((result.*row.member).empty()) {
      return refuse(row.key, setting_fault::bad_value);
    }
  }
  for (const proxy_address_row& row : PROXY_ADDRESS_ROWS) {
    BOOST_LEAF_AUTO(value, find_setting(file, row.key));
    if (!value->is_string()) {
      return refuse(row.key, setting_fault::wrong_type);
    }
    const std::optional<endpoint> address = parse_endpoint(value->get<std::string>());
    if (!address) {
      return refuse(row.key, setting_fault::bad_value);
    }
    result.*row.member = *address;
  }
  return {};
}

/** Parses the optional list of bounds: an array of strings or one comma-separated string. */
static leaf::result<void>
parse_bound_texts(const json& file, proxy_settings& result)
{
  const auto bounds = file.find("bounds");
  if (bounds == file.end() || bounds->is_null()) {
    return {};
  }
  if (bounds->is_string()) {
    std::istringstream texts(bounds->get<std::string>());
    for (std::string text; std::getline(texts, text, ',');) {
      result.bounds.push_back(text);
    }
    return {};
  }
  if (!bounds->is_array()) {
    return refuse("bounds", setting_fault::wrong_type);
  }
  for (const json& bound : *bounds) {
    if (!bound.is_string()) {
      return refuse("bounds", setting_fault::wrong_type);
    }
    result.bounds.push_back(bound.get<std::string>());
  }
  return {};
}

/** Parses an optional positive number. Returns the fallback if it is missing. */
static leaf::result<double>
parse_optional_number(const json& file, std::string_view key, double most, double fallback)
{
  const auto value = file.find(key);
  if (value == file.end() || value->is_null()) {
    return fallback;
  }
  if (!value->is_number()) {
    return refuse(key, setting_fault::wrong_type);
  }
  const auto number = value->get<double>();
  if (!(number > 0) || number > most) {
    return refuse(key, setting_fault::out_of_range);
  }
  return number;
}

/** Parses an optional boolean. Returns false if it is missing. */
static leaf::result<bool>
parse_optional_flag(const json& file, std::string_view key)
{
  const auto value = file.find(key);
  if (value == file.end() || value->is_null()) {
    return false;
  }
  if (!value->is_boolean()) {
    return refuse(key, setting_fault::wrong_type);
  }
  return value->get<bool>();
}

leaf::result<proxy_settings>
parse_proxy_settings(std::string_view text)
{
  const json file = parse_bounded_json(text, SETTINGS_LIMITS);
  if (!file.is_object()) {
    return refuse("", setting_fault::not_json);
  }
  proxy_settings result;
  BOOST_LEAF_CHECK(parse_texts(file, result));
  if (!is_ip_address(result.host)) {
    return refuse("host", setting_fault::bad_value);
  }
  BOOST_LEAF_AUTO(port, find_setting(file, "peers_port"));
  if (!port->is_number_integer()) {
    return refuse("peers_port", setting_fault::wrong_type);
  }
  const auto port_number = port->get<std::int64_t>();
  if (port_number < 1 || port_number > PEERS_PORT_MAX) {
    return refuse("peers_port", setting_fault::out_of_range);
  }
  result.peers_port = static_cast<std::uint16_t>(port_number);
  BOOST_LEAF_AUTO(heartbeat, find_setting(file, "server_heartbeat_s"));
  if (!heartbeat->is_number()) {
    return refuse("server_heartbeat_s", setting_fault::wrong_type);
  }
  const auto seconds = heartbeat->get<double>();
  if (!(seconds > 0) || seconds > HEARTBEAT_INTERVAL_MAX_S) {
    return refuse("server_heartbeat_s", setting_fault::out_of_range);
  }
  result.server_heartbeat_ms = std::llround(seconds * MS_PER_S);
  BOOST_LEAF_AUTO(share, find_setting(file, "processor_share"));
  if (!share->is_number()) {
    return refuse("processor_share", setting_fault::wrong_type);
  }
  if (!(share->get<double>() > 0) || share->get<double>() > PROCESSOR_SHARE_MAX) {
    return refuse("processor_share", setting_fault::out_of_range);
  }
  result.processor_permille =
    static_cast<std::uint32_t>(std::ceil(share->get<double>() * PERMILLE));
  BOOST_LEAF_AUTO(first, find_setting(file, "is_first_start"));
  if (!first->is_boolean()) {
    return refuse("is_first_start", setting_fault::wrong_type);
  }
  result.is_first_start = first->get<bool>();
  BOOST_LEAF_AUTO(memory_mb, parse_optional_number(file, "memory_mb", MEMORY_MAX_MB, 256));
  result.memory_bytes = static_cast<std::size_t>(memory_mb * BYTES_PER_MB);
  BOOST_LEAF_AUTO(link_mbps, parse_optional_number(file, "link_mbps", LINK_MAX_MBPS, 0));
  result.link_bytes_per_ms = link_mbps * BYTES_PER_MS_PER_MBPS;
  BOOST_LEAF_ASSIGN(result.spills_by_share, parse_optional_flag(file, "zone_spill"));
  BOOST_LEAF_ASSIGN(
    result.prices.zone_ms_per_mb,
    parse_optional_number(file, "zone_traffic_ms_per_mb", TRAFFIC_PRICE_MAX_MS_PER_MB, 0));
  BOOST_LEAF_ASSIGN(
    result.prices.region_ms_per_mb,
    parse_optional_number(file, "region_traffic_ms_per_mb", TRAFFIC_PRICE_MAX_MS_PER_MB, 0));
  BOOST_LEAF_ASSIGN(result.learns_server_limit, parse_optional_flag(file, "learn_server_limit"));
  BOOST_LEAF_CHECK(parse_bound_texts(file, result));
  return result;
}

leaf::result<proxy_settings>
read_proxy_settings(const std::string& path)
{
  std::ifstream file(path);
  if (!file) {
    return refuse(path, setting_fault::unreadable);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return parse_proxy_settings(text.str());
}

} // namespace shallotfield
