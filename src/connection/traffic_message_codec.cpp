// Encodes and decodes traffic messages.
#include "traffic_message_codec.h"
#include "json_reader.h"

namespace leaf = boost::leaf;
using nlohmann::json;

namespace shallotfield {

/** Encodes headers as one array of alternating names and values. */
static json
headers_to_json(const std::vector<http_header>& headers)
{
  json list = json::array();
  for (const http_header& header : headers) {
    list.push_back(header.name);
    list.push_back(header.value);
  }
  return list;
}

/** Decodes the member `headers`, which headers_to_json() encoded. */
static leaf::result<std::vector<http_header>>
parse_headers(const json& head)
{
  BOOST_LEAF_AUTO(list, read_array(head, "headers"));
  if (list->size() % 2 != 0) {
    return bad_message();
  }
  std::vector<http_header> headers;
  for (std::size_t i = 0; i < list->size(); i += 2) {
    if (!(*list)[i].is_string() || !(*list)[i + 1].is_string()) {
      return bad_message();
    }
    headers.push_back({ (*list)[i].get<std::string>(), (*list)[i + 1].get<std::string>() });
  }
  return headers;
}

/** Encodes a load report as an array without names, because every response carries one. */
static json
load_to_json(const load_report& load)
{
  return { load.running, load.waiting, load.slots, load.slowness_permille, load.bulk_wait_ms };
}

/** Decodes the member `load`, which load_to_json() encoded. Earlier builds left out the last
 * element.
 */
static leaf::result<load_report>
parse_load(const json& head)
{
  BOOST_LEAF_AUTO(list, read_array(head, "load"));
  static constexpr std::size_t LOAD_FIELDS = 5;
  const bool is_valid =
    list->size() >= LOAD_FIELDS - 1 && list->size() <= LOAD_FIELDS &&
    std::all_of(list->begin(), list->end(), [](const json& item) {
      return item.is_number_unsigned() && item.get<std::uint64_t>() <= UINT32_MAX;
    });
  if (!is_valid) {
    return bad_message();
  }
  return load_report{ (*list)[0].get<std::uint32_t>(),
                      (*list)[1].get<std::uint32_t>(),
                      (*list)[2].get<std::uint32_t>(),
                      (*list)[3].get<std::uint32_t>(),
                      list->size() == LOAD_FIELDS ? (*list)[4].get<std::uint32_t>() : 0 };
}

/** Builds the head of each type of message. */
struct traffic_encoder
{
  shared_body payload; ///< Payload of the message; empty if it has none.

  json operator()(const call_open& message)
  {
    payload = message.body;
    return { { "id", message.id },
             { "method", message.head.method },
             { "target", message.head.target },
             { "headers", headers_to_json(message.head.headers) },
             { "service", message.service },
             { "class", enum_name(message.kind) },
             { "idempotent", message.is_idempotent },
             { "key", message.key },
             { "customer", message.customer },
             { "region", message.region },
             { "timeout", message.timeout_ms },
             { "version", message.version },
             { "window", message.window_bytes },
             { "instance", message.instance },
             { "caller", message.caller_service },
             { "work", message.work },
             { "priority", message.priority },
             { "objective", message.objective_ms },
             { "usual", message.fleet_service_ms } };
  }
  json operator()(const call_cancel& message) { return { { "id", message.id } }; }
  json operator()(const call_credit& message)
  {
    json head = { { "id", message.id }, { "bytes", message.bytes } };
    if (!message.work.empty()) {
      head["work"] = message.work;
      head["objective"] = message.objective_ms;
    }
    return head;
  }
  json operator()(const call_response_head& message)
  {
    return { { "id", message.id },
             { "status", message.head.status },
             { "headers", headers_to_json(message.head.headers) },
             { "load", load_to_json(message.load) } };
  }
  json operator()(const call_response_data& message)
  {
    payload = message.bytes;
    return { { "id", message.id } };
  }
  json operator()(const call_response_end& message)
  {
    return { { "id", message.id },
             { "total", message.total_bytes },
             { "load", load_to_json(message.load) } };
  }
  json operator()(const call_failed& message)
  {
    return { { "id", message.id },
             { "reason", enum_name(message.reason) },
             { "outcome", enum_name(message.result) },
             { "retry_after", message.retry_after_ms },
             { "load", load_to_json(message.load) },
             { "held", message.residence_ms } };
  }
  json operator()(const key_query& message)
  {
    return { { "id", message.id }, { "key", message.key } };
  }
  json operator()(const key_reply& message)
  {
    return { { "id", message.id }, { "claim", enum_name(message.claim) } };
  }
  json operator()(const call_full_response& message)
  {
    payload = message.body;
    return { { "id", message.id },
             { "status", message.head.status },
             { "headers", headers_to_json(message.head.headers) },
             { "load", load_to_json(message.load) },
             { "held", message.residence_ms },
             { "ran", message.service_time_ms } };
  }
  json operator()(const link_ping& message) { return { { "id", message.id } }; }
  json operator()(const link_pong& message) { return { { "id", message.id } }; }
};

encoded_traffic
encode_traffic_parts(const traffic_message& message)
{
  traffic_encoder encoder;
  json head = std::visit(encoder, message);
  head["kind"] = enum_name(kind_of(message));
  return { encode_frame_front(head, encoder.payload.size()), encoder.payload };
}

std::string
encode_traffic(const traffic_message& message)
{
  encoded_traffic parts = encode_traffic_parts(message);
  return std::move(parts.front.append(parts.payload.view()));
}

/** Takes the payload of a frame with the memory that it occupies. */
static shared_body
take_payload(frame& from)
{
  return { std::move(from.payload), from.lease ? std::move(*from.lease) : memory_lease() };
}

/** Reads a duration in ms. Fails with bad_message if it is longer than any that a peer sends, so
 * that adding it to a time can't overflow. */
static leaf::result<std::int64_t>
read_duration(const json& head, const char* key, std::int64_t least)
{
  static constexpr std::int64_t DURATION_MAX_MS = std::int64_t{ 100 } * 24 * 3'600'000;
  BOOST_LEAF_AUTO(value, read_member<std::int64_t>(head, key));
  if (value < std::max(least, -DURATION_MAX_MS) || value > DURATION_MAX_MS) {
    return bad_message();
  }
  return value;
}

/** Decodes a call_open message. */
static leaf::result<traffic_message>
parse_call_open(const json& head, call_id id, shared_body&& payload)
{
  call_open result;
  result.id = id;
  BOOST_LEAF_ASSIGN(result.head.method, read_member<std::string>(head, "method"));
  BOOST_LEAF_ASSIGN(result.head.target, read_member<std::string>(head, "target"));
  BOOST_LEAF_ASSIGN(result.head.headers, parse_headers(head));
  BOOST_LEAF_ASSIGN(result.service, read_member<std::string>(head, "service"));
  BOOST_LEAF_ASSIGN(result.kind, read_enum<work_class>(head, "class"));
  BOOST_LEAF_ASSIGN(result.is_idempotent, read_member<bool>(head, "idempotent"));
  BOOST_LEAF_ASSIGN(result.key, read_member<std::string>(head, "key"));
  BOOST_LEAF_ASSIGN(result.customer, read_member<std::string>(head, "customer"));
  BOOST_LEAF_ASSIGN(result.region, read_member<std::string>(head, "region"));
  BOOST_LEAF_ASSIGN(result.timeout_ms, read_duration(head, "timeout", 0));
  BOOST_LEAF_ASSIGN(result.version, read_member<std::uint64_t>(head, "version"));
  BOOST_LEAF_ASSIGN(result.window_bytes, read_member<std::int64_t>(head, "window"));
  BOOST_LEAF_ASSIGN(result.instance, read_member<std::string>(head, "instance"));
  BOOST_LEAF_ASSIGN(result.caller_service, read_member<std::string>(head, "caller"));
  BOOST_LEAF_ASSIGN(result.work, read_member<std::string>(head, "work"));
  BOOST_LEAF_ASSIGN(result.priority, read_member<std::int64_t>(head, "priority"));
  BOOST_LEAF_ASSIGN(result.objective_ms, read_duration(head, "objective", INT64_MIN));
  BOOST_LEAF_ASSIGN(result.fleet_service_ms, read_duration(head, "usual", 0));
  result.body = std::move(payload);
  return traffic_message(std::move(result));
}

/** Decodes a call_response_head message. */
static leaf::result<traffic_message>
parse_call_response_head(const json& head, call_id id)
{
  call_response_head result;
  result.id = id;
  BOOST_LEAF_ASSIGN(result.head.status, read_member<unsigned>(head, "status"));
  BOOST_LEAF_ASSIGN(result.head.headers, parse_headers(head));
  BOOST_LEAF_ASSIGN(result.load, parse_load(head));
  return traffic_message(std::move(result));
}

/** Decodes a call_full_response message. */
static leaf::result<traffic_message>
parse_call_full_response(const json& head, call_id id, shared_body&& payload)
{
  call_full_response result;
  result.id = id;
  BOOST_LEAF_ASSIGN(result.head.status, read_member<unsigned>(head, "status"));
  BOOST_LEAF_ASSIGN(result.head.headers, parse_headers(head));
  BOOST_LEAF_ASSIGN(result.load, parse_load(head));
  BOOST_LEAF_ASSIGN(result.residence_ms, read_duration(head, "held", INT64_MIN));
  BOOST_LEAF_ASSIGN(result.service_time_ms, read_duration(head, "ran", INT64_MIN));
  result.body = std::move(payload);
  return traffic_message(std::move(result));
}

/** Decodes a call_response_end message. */
static leaf::result<traffic_message>
parse_call_response_end(const json& head, call_id id)
{
  call_response_end result;
  result.id = id;
  BOOST_LEAF_ASSIGN(result.total_bytes, read_member<std::uint64_t>(head, "total"));
  BOOST_LEAF_ASSIGN(result.load, parse_load(head));
  return traffic_message(result);
}

/** Decodes a call_failed message. */
static leaf::result<traffic_message>
parse_call_failed(const json& head, call_id id)
{
  call_failed result;
  result.id = id;
  BOOST_LEAF_ASSIGN(result.reason, read_enum<failure_reason>(head, "reason"));
  BOOST_LEAF_ASSIGN(result.result, read_enum<outcome>(head, "outcome"));
  BOOST_LEAF_ASSIGN(result.retry_after_ms, read_duration(head, "retry_after", 0));
  BOOST_LEAF_ASSIGN(result.load, parse_load(head));
  BOOST_LEAF_ASSIGN(result.residence_ms, read_duration(head, "held", INT64_MIN));
  return traffic_message(result);
}

leaf::result<traffic_message>
parse_traffic(frame&& from)
{
  std::optional<frame_error> error;
  const json head = decode_head(from.head, error);
  if (error) {
    return leaf::new_error(*error);
  }
  if (!head.is_object()) {
    return bad_message();
  }
  BOOST_LEAF_AUTO(kind, read_enum<traffic_kind>(head, "kind"));
  BOOST_LEAF_AUTO(id, read_member<call_id>(head, "id"));
  switch (kind) {
    case traffic_kind::call_open:
      return parse_call_open(head, id, take_payload(from));
    case traffic_kind::call_cancel:
      return traffic_message(call_cancel{ id });
    case traffic_kind::call_credit: {
      BOOST_LEAF_AUTO(bytes, read_member<std::int64_t>(head, "bytes"));
      call_credit credit{ id, bytes, {}, 0 };
      if (head.contains("work")) {
        BOOST_LEAF_ASSIGN(credit.work, read_member<std::string>(head, "work"));
        BOOST_LEAF_ASSIGN(credit.objective_ms, read_duration(head, "objective", INT64_MIN));
      }
      return traffic_message(std::move(credit));
    }
    case traffic_kind::call_response_head:
      return parse_call_response_head(head, id);
    case traffic_kind::call_response_data:
      return traffic_message(call_response_data{ id, std::move(from.payload) });
    case traffic_kind::call_response_end:
      return parse_call_response_end(head, id);
    case traffic_kind::call_failed:
      return parse_call_failed(head, id);
    case traffic_kind::key_query: {
      BOOST_LEAF_AUTO(key, read_member<std::string>(head, "key"));
      return traffic_message(key_query{ id, std::move(key) });
    }
    case traffic_kind::key_reply: {
      BOOST_LEAF_AUTO(claim, read_enum<key_claim>(head, "claim"));
      return traffic_message(key_reply{ id, claim });
    }
    case traffic_kind::call_full_response:
      return parse_call_full_response(head, id, take_payload(from));
    case traffic_kind::link_ping:
      return traffic_message(link_ping{ id });
    case traffic_kind::link_pong:
      return traffic_message(link_pong{ id });
  }
  return bad_message();
}

} // namespace shallotfield
