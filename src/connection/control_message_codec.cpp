// Encodes and decodes control messages.
#include "control_message_codec.h"
#include "json_reader.h"

#include <boost/leaf/handle_errors.hpp>

namespace leaf = boost::leaf;
using nlohmann::json;

namespace shallotfield {

json
member_to_json(const member_record& record)
{
  return { { "id", record.id },
           { "inc", record.incarnation },
           { "seq", record.sequence },
           { "state", enum_name(record.state) },
           { "region", record.region },
           { "zone", record.zone },
           { "host", record.control.host },
           { "port", record.control.port },
           { "traffic", record.traffic_port },
           { "service", record.server.service },
           { "slots", record.server.slots },
           { "server", enum_name(record.server.state) } };
}

/** Decodes the output of member_to_json(). */
static leaf::result<member_record>
parse_member(const json& value)
{
  if (!value.is_object()) {
    return bad_message();
  }
  member_record result;
  BOOST_LEAF_ASSIGN(result.id, read_member<std::string>(value, "id"));
  BOOST_LEAF_ASSIGN(result.incarnation, read_member<std::uint64_t>(value, "inc"));
  BOOST_LEAF_ASSIGN(result.sequence, read_member<std::uint64_t>(value, "seq"));
  BOOST_LEAF_ASSIGN(result.state, read_enum<member_state>(value, "state"));
  BOOST_LEAF_ASSIGN(result.region, read_member<std::string>(value, "region"));
  BOOST_LEAF_ASSIGN(result.zone, read_member<std::string>(value, "zone"));
  BOOST_LEAF_ASSIGN(result.control.host, read_member<std::string>(value, "host"));
  BOOST_LEAF_ASSIGN(result.control.port, read_member<std::uint16_t>(value, "port"));
  BOOST_LEAF_ASSIGN(result.traffic_port, read_member<std::uint16_t>(value, "traffic"));
  BOOST_LEAF_ASSIGN(result.server.service, read_member<std::string>(value, "service"));
  BOOST_LEAF_ASSIGN(result.server.slots, read_member<std::uint32_t>(value, "slots"));
  BOOST_LEAF_ASSIGN(result.server.state, read_enum<server_state>(value, "server"));
  return result;
}

json
summary_to_json(const version_summary& summary)
{
  json counts = json::array();
  for (const version_count& item : summary.counts) {
    counts.push_back({ { "version", item.version }, { "nodes", item.nodes } });
  }
  return { { "counts", std::move(counts) }, { "lagging", summary.lagging } };
}

/** Decodes the output of summary_to_json() in the member `key` of a head. */
static leaf::result<version_summary>
parse_summary(const json& head, const char* key)
{
  const auto value = head.find(key);
  if (value == head.end() || !value->is_object()) {
    return bad_message();
  }
  version_summary result;
  BOOST_LEAF_AUTO(counts, read_array(*value, "counts"));
  for (const json& item : *counts) {
    if (!item.is_object()) {
      return bad_message();
    }
    version_count entry;
    BOOST_LEAF_ASSIGN(entry.version, read_member<std::uint64_t>(item, "version"));
    BOOST_LEAF_ASSIGN(entry.nodes, read_member<std::uint64_t>(item, "nodes"));
    result.counts.push_back(entry);
  }
  BOOST_LEAF_AUTO(lagging, read_array(*value, "lagging"));
  for (const json& item : *lagging) {
    if (!item.is_string()) {
      return bad_message();
    }
    result.lagging.push_back(item.get<std::string>());
  }
  return result;
}

/** Builds the head of each type of message. */
struct control_encoder
{
  std::string_view payload;   ///< Set for messages that have a payload.
  std::string encoded_census; ///< Holds the payload of a census_message.

  json operator()(const hello_message& message)
  {
    return { { "protocol", message.protocol },
             { "sender", member_to_json(message.sender) },
             { "members", message.members_digest } };
  }
  json operator()(const subscribe_message& message)
  {
    return { { "offset", message.offset },
             { "chain", message.chain },
             { "follows", message.follows } };
  }
  json operator()(const entries_message& message)
  {
    json entries = json::array();
    for (const config_entry& entry : message.entries) {
      entries.push_back(
        { { "offset", entry.offset }, { "bytes", entry.bytes }, { "chain", entry.chain } });
    }
    return { { "entries", std::move(entries) } };
  }
  json operator()(const snapshot_message& message)
  {
    payload = message.bytes;
    return json::object();
  }
  json operator()(const members_message& message)
  {
    json records = json::array();
    for (const member_record& record : message.records) {
      records.push_back(member_to_json(record));
    }
    return { { "records", std::move(records) },
             { "is_all", message.is_full_set },
             { "wants_all", message.wants_full_set } };
  }
  json operator()(const heartbeat_message& message)
  {
    return { { "offset", message.offset },
             { "members", message.members_digest },
             { "stamp", message.stamp },
             { "echo", message.echo },
             { "lease", message.lease_ms },
             { "cut", message.is_partitioned },
             { "below", summary_to_json(message.subtree_versions) } };
  }
  json operator()(const fleet_message& message)
  {
    return { { "fleet", summary_to_json(message.fleet) } };
  }
  json operator()(const goodbye_message& /*message*/) { return json::object(); }
  json operator()(const census_message& message)
  {
    encoded_census = encode_census(message.latest_census);
    payload = encoded_census;
    return { { "offset", message.latest_census.offset } };
  }
};

std::string
encode_control(const control_message& message)
{
  control_encoder encoder;
  json head = std::visit(encoder, message);
  head["kind"] = enum_name(kind_of(message));
  return encode_frame(head, encoder.payload);
}

/**
 * Decodes a hello_message. The protocol version is checked first, since the format of the remaining
 * members may differ in other versions.
 */
static leaf::result<control_message>
parse_hello(const json& head)
{
  hello_message result;
  BOOST_LEAF_ASSIGN(result.protocol, read_member<std::uint64_t>(head, "protocol"));
  if (result.protocol != PROTOCOL_VERSION) {
    return leaf::new_error(frame_error{ frame_fault::wrong_protocol });
  }
  if (!head.contains("sender")) {
    return bad_message();
  }
  BOOST_LEAF_ASSIGN(result.sender, parse_member(head["sender"]));
  BOOST_LEAF_ASSIGN(result.members_digest, read_member<std::uint64_t>(head, "members"));
  return control_message(std::move(result));
}

/** Decodes a subscribe_message. */
static leaf::result<control_message>
parse_subscribe(const json& head)
{
  subscribe_message result;
  BOOST_LEAF_ASSIGN(result.offset, read_member<std::uint64_t>(head, "offset"));
  BOOST_LEAF_ASSIGN(result.chain, read_member<std::string>(head, "chain"));
  BOOST_LEAF_ASSIGN(result.follows, read_member<bool>(head, "follows"));
  return control_message(std::move(result));
}

/** Decodes an entries_message. */
static leaf::result<control_message>
parse_entries(const json& head)
{
  entries_message result;
  BOOST_LEAF_AUTO(entries, read_array(head, "entries"));
  for (const json& item : *entries) {
    if (!item.is_object()) {
      return bad_message();
    }
    config_entry entry;
    BOOST_LEAF_ASSIGN(entry.offset, read_member<std::uint64_t>(item, "offset"));
    BOOST_LEAF_ASSIGN(entry.bytes, read_member<std::string>(item, "bytes"));
    BOOST_LEAF_ASSIGN(entry.chain, read_member<std::string>(item, "chain"));
    result.entries.push_back(std::move(entry));
  }
  return control_message(std::move(result));
}

/** Decodes a members_message. */
static leaf::result<control_message>
parse_members(const json& head)
{
  members_message result;
  BOOST_LEAF_ASSIGN(result.is_full_set, read_member<bool>(head, "is_all"));
  BOOST_LEAF_ASSIGN(result.wants_full_set, read_member<bool>(head, "wants_all"));
  BOOST_LEAF_AUTO(records, read_array(head, "records"));
  for (const json& item : *records) {
    BOOST_LEAF_AUTO(record, parse_member(item));
    result.records.push_back(std::move(record));
  }
  return control_message(std::move(result));
}

/** Decodes a heartbeat_message. */
static leaf::result<control_message>
parse_heartbeat(const json& head)
{
  heartbeat_message result;
  BOOST_LEAF_ASSIGN(result.offset, read_member<std::uint64_t>(head, "offset"));
  BOOST_LEAF_ASSIGN(result.members_digest, read_member<std::uint64_t>(head, "members"));
  BOOST_LEAF_ASSIGN(result.stamp, read_member<std::int64_t>(head, "stamp"));
  BOOST_LEAF_ASSIGN(result.echo, read_member<std::int64_t>(head, "echo"));
  BOOST_LEAF_ASSIGN(result.lease_ms, read_member<std::int64_t>(head, "lease"));
  BOOST_LEAF_ASSIGN(result.is_partitioned, read_member<bool>(head, "cut"));
  BOOST_LEAF_ASSIGN(result.subtree_versions, parse_summary(head, "below"));
  return control_message(std::move(result));
}

/** Decodes a census_message. An invalid census makes the whole message invalid. */
static leaf::result<control_message>
parse_census_message(const json& head, std::string_view payload)
{
  BOOST_LEAF_AUTO(offset, read_member<std::uint64_t>(head, "offset"));
  census_message result;
  const bool is_valid = leaf::try_handle_all(
    [&]() -> leaf::result<bool> {
      BOOST_LEAF_ASSIGN(result.latest_census, parse_census(offset, payload));
      return true;
    },
    [] { return false; });
  if (!is_valid) {
    return bad_message();
  }
  return control_message(std::move(result));
}

leaf::result<control_message>
parse_control(const frame& from)
{
  std::optional<frame_error> error;
  const json head = decode_head(from.head, error);
  if (error) {
    return leaf::new_error(*error);
  }
  if (!head.is_object()) {
    return bad_message();
  }
  BOOST_LEAF_AUTO(kind, read_enum<control_kind>(head, "kind"));
  switch (kind) {
    case control_kind::hello:
      return parse_hello(head);
    case control_kind::subscribe:
      return parse_subscribe(head);
    case control_kind::entries:
      return parse_entries(head);
    case control_kind::snapshot:
      return control_message(snapshot_message{ from.payload });
    case control_kind::members:
      return parse_members(head);
    case control_kind::heartbeat:
      return parse_heartbeat(head);
    case control_kind::fleet: {
      BOOST_LEAF_AUTO(fleet, parse_summary(head, "fleet"));
      return control_message(fleet_message{ std::move(fleet) });
    }
    case control_kind::goodbye:
      return control_message(goodbye_message{});
    case control_kind::census:
      return parse_census_message(head, from.payload);
  }
  return bad_message();
}

} // namespace shallotfield
