// Encodes and decodes beacons.
#include "beacon_codec.h"
#include "json_reader.h"

namespace leaf = boost::leaf;
using nlohmann::json;

namespace shallotfield {

/** Version of the beacon's format. Another one is refused, so that builds don't misread each other.
 */
static constexpr std::uint64_t BEACON_FORMAT = 1;

std::string
encode_beacon(const node_beacon& beacon)
{
  const json head = { { "format", BEACON_FORMAT },
                      { "id", beacon.id },
                      { "boot", beacon.boot },
                      { "sequence", beacon.sequence },
                      { "region", beacon.region },
                      { "zone", beacon.zone },
                      { "host", beacon.host },
                      { "service", beacon.server.service },
                      { "instance", beacon.server.instance },
                      { "slots", beacon.server.slots },
                      { "state", enum_name(beacon.server.state) },
                      { "running", beacon.running },
                      { "waiting", beacon.waiting },
                      { "version", beacon.config_version },
                      { "store", beacon.is_store_reachable },
                      { "leaving", beacon.is_leaving } };
  std::string bytes;
  json::to_msgpack(head, bytes);
  return bytes;
}

/** Decodes a map of this format. */
static leaf::result<json>
decode_map(std::string_view bytes)
{
  if (bytes.size() > BEACON_BYTES_MAX) {
    return leaf::new_error(frame_error{ frame_fault::too_large });
  }
  std::optional<frame_error> error;
  json head = decode_head(bytes, error);
  if (error) {
    return leaf::new_error(*error);
  }
  if (!head.is_object()) {
    return bad_message();
  }
  BOOST_LEAF_AUTO(format, read_member<std::uint64_t>(head, "format"));
  if (format != BEACON_FORMAT) {
    return leaf::new_error(frame_error{ frame_fault::wrong_protocol });
  }
  return head;
}

/** Reads an IP number with a port that doesn't matter. */
static leaf::result<std::string>
read_host(const json& head)
{
  BOOST_LEAF_AUTO(host, read_member<std::string>(head, "host"));
  if (!parse_endpoint(host + ":1")) {
    return bad_message();
  }
  return host;
}

leaf::result<node_beacon>
parse_beacon(std::string_view bytes)
{
  BOOST_LEAF_AUTO(head, decode_map(bytes));
  node_beacon result;
  BOOST_LEAF_ASSIGN(result.id, read_member<std::string>(head, "id"));
  BOOST_LEAF_ASSIGN(result.boot, read_member<std::uint64_t>(head, "boot"));
  BOOST_LEAF_ASSIGN(result.sequence, read_member<std::uint64_t>(head, "sequence"));
  BOOST_LEAF_ASSIGN(result.region, read_member<std::string>(head, "region"));
  BOOST_LEAF_ASSIGN(result.zone, read_member<std::string>(head, "zone"));
  BOOST_LEAF_ASSIGN(result.host, read_host(head));
  BOOST_LEAF_ASSIGN(result.server.service, read_member<std::string>(head, "service"));
  BOOST_LEAF_ASSIGN(result.server.instance, read_member<std::string>(head, "instance"));
  BOOST_LEAF_ASSIGN(result.server.slots, read_member<std::uint32_t>(head, "slots"));
  BOOST_LEAF_ASSIGN(result.server.state, read_enum<server_state>(head, "state"));
  BOOST_LEAF_ASSIGN(result.running, read_member<std::uint32_t>(head, "running"));
  BOOST_LEAF_ASSIGN(result.waiting, read_member<std::uint32_t>(head, "waiting"));
  BOOST_LEAF_ASSIGN(result.config_version, read_member<std::uint64_t>(head, "version"));
  BOOST_LEAF_ASSIGN(result.is_store_reachable, read_member<bool>(head, "store"));
  BOOST_LEAF_ASSIGN(result.is_leaving, read_member<bool>(head, "leaving"));
  if (result.id.empty() || result.boot == 0) {
    return bad_message();
  }
  return result;
}

std::string
encode_address(const node_beacon& self)
{
  const json head = { { "format", BEACON_FORMAT },
                      { "host", self.host },
                      { "zone", self.zone },
                      { "region", self.region } };
  std::string bytes;
  json::to_msgpack(head, bytes);
  return bytes;
}

leaf::result<node_beacon>
parse_address(const node_id& id, std::string_view bytes)
{
  BOOST_LEAF_AUTO(head, decode_map(bytes));
  node_beacon result;
  result.id = id;
  BOOST_LEAF_ASSIGN(result.host, read_host(head));
  BOOST_LEAF_ASSIGN(result.zone, read_member<std::string>(head, "zone"));
  BOOST_LEAF_ASSIGN(result.region, read_member<std::string>(head, "region"));
  return result;
}

} // namespace shallotfield
