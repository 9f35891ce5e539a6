// Encodes and decodes beacons and directory entries.
#include "beacon_codec.h"
#include "json_reader.h"

namespace leaf = boost::leaf;
using nlohmann::json;

namespace shallotfield {

/**
 * Version of the format of beacons and directory entries. Other versions are rejected, so that
 * builds do not misread each other's beacons.
 */
static constexpr std::uint64_t BEACON_FORMAT_VERSION = 2;

/** Size of the array header (3 bytes) and the format version (1 byte) in a datagram. */
static constexpr std::size_t DATAGRAM_HEADER_BYTES = 4;

/** Encodes a beacon as an array, which takes a third of the size of a map. */
static json
beacon_to_json(const node_beacon& beacon)
{
  return json::array({ beacon.id,
                       beacon.boot_id,
                       beacon.sequence,
                       beacon.region,
                       beacon.zone,
                       beacon.host,
                       beacon.processor_permille,
                       beacon.server.service,
                       beacon.server.instance,
                       beacon.server.slots,
                       static_cast<unsigned>(beacon.server.state),
                       beacon.running,
                       beacon.waiting,
                       beacon.slowness_permille,
                       beacon.config_version,
                       beacon.is_store_reachable,
                       beacon.is_leaving });
}

std::vector<std::string>
encode_beacons(const std::vector<const node_beacon*>& beacons)
{
  std::vector<std::string> datagrams;
  std::string records;
  std::uint16_t count = 0;
  const auto flush_datagram = [&] {
    // A datagram is a msgpack array of the format version and the beacons.
    static constexpr char MSGPACK_ARRAY_16 = static_cast<char>(0xdc);
    const auto length = static_cast<std::uint16_t>(count + 1);
    std::string bytes{ MSGPACK_ARRAY_16,
                       static_cast<char>(length >> 8U),
                       static_cast<char>(length) };
    json::to_msgpack(BEACON_FORMAT_VERSION, bytes);
    datagrams.push_back(bytes + records);
    records.clear();
    count = 0;
  };
  for (const node_beacon* beacon : beacons) {
    std::string record;
    json::to_msgpack(beacon_to_json(*beacon), record);
    if (count > 0 &&
        records.size() + record.size() + DATAGRAM_HEADER_BYTES > BEACON_DATAGRAM_BYTES_MAX) {
      flush_datagram();
    }
    records += record;
    ++count;
  }
  if (count > 0) {
    flush_datagram();
  }
  return datagrams;
}

/** Decodes a directory entry into a JSON object and checks its format version. */
static leaf::result<json>
decode_directory_entry(std::string_view bytes)
{
  if (bytes.size() > BEACON_DATAGRAM_BYTES_MAX) {
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
  if (format != BEACON_FORMAT_VERSION) {
    return leaf::new_error(frame_error{ frame_fault::wrong_protocol });
  }
  return head;
}

/** Reads an IP address. To check it, it is parsed as an endpoint with an arbitrary port. */
static leaf::result<std::string>
read_host(const json& head)
{
  BOOST_LEAF_AUTO(host, read_member<std::string>(head, "host"));
  if (!parse_endpoint(host + ":1")) {
    return bad_message();
  }
  return host;
}

/** Copies an element of a beacon's array if its type and range are valid. Returns whether they are.
 */
template<typename T>
static bool
read_field(const json& item, T& into)
{
  if constexpr (std::is_same_v<T, bool>) {
    if (!item.is_boolean()) {
      return false;
    }
  } else if constexpr (std::is_same_v<T, std::string>) {
    if (!item.is_string()) {
      return false;
    }
  } else if (!item.is_number_unsigned() ||
             item.get<std::uint64_t>() > std::numeric_limits<T>::max()) {
    return false;
  }
  into = item.get<T>();
  return true;
}

/** Decodes the output of beacon_to_json(). */
static leaf::result<node_beacon>
parse_beacon(const json& list)
{
  static constexpr std::size_t BEACON_FIELDS = 17; // Elements that beacon_to_json() writes.
  if (!list.is_array() || list.size() != BEACON_FIELDS) {
    return bad_message();
  }
  node_beacon result;
  unsigned state = 0;
  auto item = list.begin();
  const bool is_read =
    read_field(*item++, result.id) && read_field(*item++, result.boot_id) &&
    read_field(*item++, result.sequence) && read_field(*item++, result.region) &&
    read_field(*item++, result.zone) && read_field(*item++, result.host) &&
    read_field(*item++, result.processor_permille) && read_field(*item++, result.server.service) &&
    read_field(*item++, result.server.instance) && read_field(*item++, result.server.slots) &&
    read_field(*item++, state) && read_field(*item++, result.running) &&
    read_field(*item++, result.waiting) && read_field(*item++, result.slowness_permille) &&
    read_field(*item++, result.config_version) && read_field(*item++, result.is_store_reachable) &&
    read_field(*item++, result.is_leaving);
  const bool is_valid = is_read && !result.id.empty() && result.boot_id != 0 &&
                        state < SERVER_STATE_ROWS.size() && parse_endpoint(result.host + ":1");
  if (!is_valid) {
    return bad_message();
  }
  result.server.state = static_cast<server_state>(state);
  return result;
}

leaf::result<std::vector<node_beacon>>
parse_beacons(std::string_view bytes)
{
  if (bytes.size() > BEACON_DATAGRAM_BYTES_MAX) {
    return leaf::new_error(frame_error{ frame_fault::too_large });
  }
  std::optional<frame_error> error;
  const json list = decode_head(bytes, error);
  if (error) {
    return leaf::new_error(*error);
  }
  if (!list.is_array() || list.empty()) {
    return bad_message();
  }
  if (list.front() != BEACON_FORMAT_VERSION) {
    return leaf::new_error(frame_error{ frame_fault::wrong_protocol });
  }
  std::vector<node_beacon> result;
  for (auto item = list.begin() + 1; item != list.end(); ++item) {
    BOOST_LEAF_AUTO(beacon, parse_beacon(*item));
    result.push_back(std::move(beacon));
  }
  return result;
}

std::string
encode_directory_entry(const node_beacon& self)
{
  const json head = { { "format", BEACON_FORMAT_VERSION },
                      { "host", self.host },
                      { "zone", self.zone },
                      { "region", self.region } };
  std::string bytes;
  json::to_msgpack(head, bytes);
  return bytes;
}

leaf::result<node_beacon>
parse_directory_entry(const node_id& id, std::string_view bytes)
{
  BOOST_LEAF_AUTO(head, decode_directory_entry(bytes));
  node_beacon result;
  result.id = id;
  BOOST_LEAF_ASSIGN(result.host, read_host(head));
  BOOST_LEAF_ASSIGN(result.zone, read_member<std::string>(head, "zone"));
  BOOST_LEAF_ASSIGN(result.region, read_member<std::string>(head, "region"));
  return result;
}

} // namespace shallotfield
