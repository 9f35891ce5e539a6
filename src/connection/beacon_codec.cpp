// Encodes and decodes beacons and directory entries.
#include "beacon_codec.h"
#include "datagram_format_type.h"
#include "json_reader.h"

#include <algorithm>
#include <array>
#include <variant>

namespace leaf = boost::leaf;
using nlohmann::json;

namespace shallotfield {

/**
 * Version of the format of beacons and directory entries. Other versions are rejected, so that
 * builds do not misread each other's beacons.
 */
static constexpr std::uint64_t BEACON_FORMAT_VERSION = number_of(datagram_format::beacons);

/** Size limit of the names in a directory entry. A beacon with these names has to fit into a
 * datagram. */
static constexpr std::size_t DIRECTORY_NAME_BYTES_MAX = 200;

/** Size limit of the version of a server. */
static constexpr std::size_t VERSION_BYTES_MAX = 200;

/** Size of the array header (3 bytes) and the format version (1 byte) in a datagram. */
static constexpr std::size_t DATAGRAM_HEADER_BYTES = 4;

/** Encodes a beacon as an array, which takes a third of the size of a map. */
static json
beacon_to_json(const node_beacon& beacon)
{
  json fields = json::array({ beacon.id,
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
                              beacon.is_leaving,
                              beacon.bulk_wait_ms,
                              beacon.server.version,
                              beacon.rollout.order,
                              static_cast<unsigned>(beacon.rollout.step),
                              beacon.rollout.taken,
                              beacon.rollout.answered,
                              beacon.rollout.failed,
                              static_cast<unsigned>(beacon.server.standing) });
  // Builds that know fewer fields skip the others only if these are scalars. A build with fields
  // after these has to write all REPORTED_RULES words before them, with 0 for those not in use.
  for (const rule_evidence& item : beacon.rollout.rules) {
    if (item.rule != 0) {
      fields.push_back(pack_rule_evidence(item));
    }
  }
  return fields;
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

/** Reads an IP address. */
static leaf::result<std::string>
read_host(const json& head)
{
  BOOST_LEAF_AUTO(host, read_member<std::string>(head, "host"));
  if (!is_ip_address(host)) {
    return bad_message();
  }
  return host;
}

namespace {

/**
 * Builds the beacons of a datagram while it is parsed. Proxies receive many beacons, most of which
 * only repeat what is known, so they are read without an intermediate document.
 */
class beacon_reader
{
public:
  beacon_datagram result;
  frame_fault fault = frame_fault::bad_head; ///< Why parsing was stopped.

  // The SAX interface of the library defines the names of these functions.
  bool null() { return add_odd_value(); }
  bool boolean(bool value) { return add_value(value); }
  bool number_integer(std::int64_t /*value*/) { return add_odd_value(); }
  bool number_unsigned(std::uint64_t value) { return add_value(value); }
  bool number_float(double /*value*/, const std::string& /*text*/) { return add_odd_value(); }
  bool string(std::string& value) { return add_value(std::move(value)); }
  bool binary(std::vector<std::uint8_t>& /*value*/) { return add_odd_value(); }
  bool key(std::string& /*value*/) { return true; }
  bool start_object(std::size_t /*items*/) { return enter(false); }
  bool start_array(std::size_t items) { return enter(depth_ == BEACON_DEPTH - 1, items); }
  bool end_object() { return leave(); }
  bool end_array() { return leave(); }
  bool parse_error(std::size_t /*at*/,
                   const std::string& /*token*/,
                   const std::exception& /*error*/)
  {
    return false;
  }

private:
  /** Nesting depth of the elements of a beacon: a datagram is an array, a beacon is another one. */
  static constexpr std::size_t BEACON_DEPTH = 2;

  /** Number of elements of a beacon that this build knows. */
  static constexpr std::size_t BEACON_FIELDS = 25 + REPORTED_RULES;

  /** Number of elements that each beacon has. Earlier builds leave out those that follow, and later
   * builds may add some of any type, which are skipped. */
  static constexpr std::size_t BEACON_FIELDS_MIN = 17;

  using field = std::variant<std::string*, std::uint64_t*, std::uint32_t*, bool*>;

  bool stop(frame_fault why)
  {
    fault = why;
    return false;
  }

  /** Copies a value if its type and range are those of the field. Returns whether they are. */
  template<typename T>
  static bool assign(const field& to, T&& value)
  {
    return std::visit(
      [&value](auto* target) {
        using source_type = std::decay_t<T>;
        using target_type = std::remove_pointer_t<decltype(target)>;
        constexpr bool is_number = std::is_same_v<source_type, std::uint64_t> &&
                                   std::is_integral_v<target_type> &&
                                   !std::is_same_v<target_type, bool>;
        if constexpr (is_number) {
          if (value > std::numeric_limits<target_type>::max()) {
            return false;
          }
          *target = static_cast<target_type>(value);
          return true;
        } else if constexpr (std::is_same_v<source_type, target_type>) {
          *target = std::forward<T>(value);
          return true;
        } else {
          return false;
        }
      },
      to);
  }

  /** Handles a value that may be the format version or an element of a beacon. */
  template<typename T>
  bool add_value(T&& value)
  {
    if (depth_ == 0) {
      return stop(frame_fault::bad_message);
    }
    if (depth_ == BEACON_DEPTH - 1 && !has_format_) {
      has_format_ = true;
      std::uint64_t format = 0;
      const bool is_known =
        assign(&format, std::forward<T>(value)) && format == BEACON_FORMAT_VERSION;
      return is_known || stop(frame_fault::wrong_protocol);
    }
    if (depth_ == BEACON_DEPTH && is_beacon_) {
      is_valid_ = is_valid_ && (fields_read_ >= BEACON_FIELDS ||
                                assign(fields_[fields_read_], std::forward<T>(value)));
      ++fields_read_;
      return true;
    }
    return add_odd_value();
  }

  /** Returns whether the parser is in an element of a beacon that only later builds know. */
  bool is_in_later_field() const
  {
    return depth_ >= BEACON_DEPTH && is_beacon_ && fields_read_ >= BEACON_FIELDS;
  }

  /** Handles a value that no valid beacon has at this place. */
  bool add_odd_value()
  {
    if (depth_ == 0) {
      return stop(frame_fault::bad_message);
    }
    if (is_in_later_field()) {
      fields_read_ += depth_ == BEACON_DEPTH ? 1 : 0;
      return true;
    }
    if (depth_ == BEACON_DEPTH - 1 && !has_format_) {
      return stop(frame_fault::wrong_protocol);
    }
    result.rejected_beacons += depth_ == BEACON_DEPTH - 1 ? 1 : 0;
    is_valid_ = false;
    return true;
  }

  bool enter(bool is_beacon, std::size_t items = 0)
  {
    if (depth_ == BEACON_DEPTH - 1 && !has_format_) {
      return stop(frame_fault::wrong_protocol);
    }
    if (++depth_ > HEAD_DEPTH_MAX) {
      return stop(frame_fault::too_deep);
    }
    if (depth_ == BEACON_DEPTH) {
      beacon_ = {};
      state_ = 0;
      step_ = 0;
      standing_ = 0;
      rules_ = {};
      fields_read_ = 0;
      is_beacon_ = is_beacon;
      is_valid_ = items >= BEACON_FIELDS_MIN;
    } else if (depth_ > BEACON_DEPTH && !is_in_later_field()) {
      is_valid_ = false;
    }
    return true;
  }

  bool leave()
  {
    if (depth_ == BEACON_DEPTH) {
      finish_beacon();
    } else if (depth_ == BEACON_DEPTH + 1) {
      ++fields_read_;
    }
    --depth_;
    return (depth_ > 0 || has_format_) || stop(frame_fault::bad_message);
  }

  void finish_beacon()
  {
    const bool is_complete =
      is_valid_ && is_beacon_ && !beacon_.id.empty() && beacon_.boot_id != 0 &&
      state_ < SERVER_STATE_ROWS.size() && step_ < ROLLOUT_STEP_ROWS.size() &&
      beacon_.server.version.size() <= VERSION_BYTES_MAX && is_ip_address(beacon_.host);
    if (!is_complete) {
      ++result.rejected_beacons;
      return;
    }
    beacon_.server.state = static_cast<server_state>(state_);
    // A standing that only later builds know opens nothing that was rolled back.
    beacon_.server.standing = standing_ < SERVER_STANDING_ROWS.size()
                                ? static_cast<server_standing>(standing_)
                                : server_standing::none;
    beacon_.rollout.step = static_cast<rollout_step>(step_);
    std::transform(
      rules_.begin(), rules_.end(), beacon_.rollout.rules.begin(), unpack_rule_evidence);
    result.beacons.push_back(std::move(beacon_));
  }

  node_beacon beacon_;                                   ///< The beacon that is being read.
  std::uint32_t state_ = 0;                              ///< State of its server.
  std::uint32_t step_ = 0;                               ///< Step of its roll-out.
  std::uint32_t standing_ = 0;                           ///< Standing of its server.
  std::array<std::uint64_t, REPORTED_RULES> rules_ = {}; ///< Packed evidence of rules.
  std::size_t depth_ = 0;                                ///< Number of open arrays and objects.
  std::size_t fields_read_ = 0;                          ///< Elements of the beacon so far.
  bool has_format_ = false;                              ///< The format version was read.
  bool is_beacon_ = false; ///< The element of the datagram is an array.
  bool is_valid_ = false;  ///< No element of the beacon was odd so far.
  /** Destinations of the elements of a beacon, in the order in which beacon_to_json() writes them.
   */
  std::array<field, BEACON_FIELDS> fields_ = { &beacon_.id,
                                               &beacon_.boot_id,
                                               &beacon_.sequence,
                                               &beacon_.region,
                                               &beacon_.zone,
                                               &beacon_.host,
                                               &beacon_.processor_permille,
                                               &beacon_.server.service,
                                               &beacon_.server.instance,
                                               &beacon_.server.slots,
                                               &state_,
                                               &beacon_.running,
                                               &beacon_.waiting,
                                               &beacon_.slowness_permille,
                                               &beacon_.config_version,
                                               &beacon_.is_store_reachable,
                                               &beacon_.is_leaving,
                                               &beacon_.bulk_wait_ms,
                                               &beacon_.server.version,
                                               &beacon_.rollout.order,
                                               &step_,
                                               &beacon_.rollout.taken,
                                               &beacon_.rollout.answered,
                                               &beacon_.rollout.failed,
                                               &standing_,
                                               &rules_[0],
                                               &rules_[1],
                                               &rules_[2] };
  static_assert(REPORTED_RULES == 3);
};

} // namespace

leaf::result<beacon_datagram>
parse_beacons(std::string_view bytes)
{
  if (bytes.size() > BEACON_DATAGRAM_BYTES_MAX) {
    return leaf::new_error(frame_error{ frame_fault::too_large });
  }
  beacon_reader reader;
  if (!json::sax_parse(bytes, &reader, json::input_format_t::msgpack)) {
    return leaf::new_error(frame_error{ reader.fault });
  }
  return std::move(reader.result);
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
  if (id.empty() || id.size() > DIRECTORY_NAME_BYTES_MAX) {
    return bad_message();
  }
  BOOST_LEAF_ASSIGN(result.host, read_host(head));
  BOOST_LEAF_ASSIGN(result.zone, read_member<std::string>(head, "zone"));
  BOOST_LEAF_ASSIGN(result.region, read_member<std::string>(head, "region"));
  if (std::max(result.zone.size(), result.region.size()) > DIRECTORY_NAME_BYTES_MAX) {
    return bad_message();
  }
  return result;
}

} // namespace shallotfield
