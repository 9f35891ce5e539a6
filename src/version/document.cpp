// Parses and validates documents.
#include "document_func.h"
#include "table/document_table.h"

#include <QCryptographicHash>
#include <boost/leaf/error.hpp>
#include <set>

namespace leaf = boost::leaf;
using nlohmann::json;

namespace shallotfield {

/** Returns a document_error for a field. */
static leaf::error_id
make_error(const std::string& field, document_fault fault)
{
  return leaf::new_error(document_error{ field, fault });
}

/** Returns the JSON pointer to a member of an object, with the key escaped as RFC 6901 requires. */
static std::string
child_pointer(const std::string& object, const std::string& key)
{
  return (json::json_pointer(object) / key).to_string();
}

leaf::result<json>
parse_bounded_json(std::string_view text)
{
  if (text.size() > DOCUMENT_BYTES_MAX) {
    return make_error("", document_fault::too_large);
  }
  bool too_deep = false;
  const json::parser_callback_t check_depth = [&too_deep](int depth, json::parse_event_t, json&) {
    too_deep = too_deep || static_cast<std::size_t>(depth) > DOCUMENT_DEPTH_MAX;
    return !too_deep;
  };
  json value = json::parse(text, check_depth, false);
  if (too_deep) {
    return make_error("", document_fault::too_deep);
  }
  if (value.is_discarded()) {
    return make_error("", document_fault::not_json);
  }
  return value;
}

/** Checks that a value is an object and has no keys other than the given ones. */
static leaf::result<void>
check_object(const json& value, const std::string& field, std::span<const std::string_view> keys)
{
  if (!value.is_object()) {
    return make_error(field, document_fault::wrong_type);
  }
  for (const auto& [key, item] : value.items()) {
    if (std::find(keys.begin(), keys.end(), key) == keys.end()) {
      return make_error(child_pointer(field, key), document_fault::unknown_field);
    }
  }
  return {};
}

/** Checks length and characters of the name of a service, route, server or header. */
static leaf::result<void>
check_name(const std::string& name, const std::string& field)
{
  const bool is_valid = std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
  });
  if (name.empty() || name.size() > NAME_BYTES_MAX || !is_valid) {
    return make_error(field, document_fault::bad_name);
  }
  return {};
}

/**
 * Returns an integer member of an object, checked against its bounds; the fallback if it is
 * absent.
 */
static leaf::result<std::int64_t>
parse_number(const json& object,
             const std::string& field,
             const std::string& key,
             std::int64_t fallback,
             std::int64_t minimum,
             std::int64_t maximum)
{
  const auto value = object.find(key);
  if (value == object.end()) {
    return fallback;
  }
  if (!value->is_number_integer()) {
    return make_error(child_pointer(field, key), document_fault::wrong_type);
  }
  const bool exceeds_int64 = value->is_number_unsigned() && value->get<std::uint64_t>() > INT64_MAX;
  if (exceeds_int64 || value->get<std::int64_t>() < minimum ||
      value->get<std::int64_t>() > maximum) {
    return make_error(child_pointer(field, key), document_fault::out_of_range);
  }
  return value->get<std::int64_t>();
}

/**
 * Returns a string member of an object; empty if it is absent. Its length is limited to
 * MATCH_BYTES_MAX, also if it names a service or an enumerator.
 */
static leaf::result<std::string>
parse_text(const json& object, const std::string& field, const std::string& key)
{
  const auto value = object.find(key);
  if (value == object.end()) {
    return std::string();
  }
  if (!value->is_string()) {
    return make_error(child_pointer(field, key), document_fault::wrong_type);
  }
  std::string text = value->get<std::string>();
  if (text.size() > MATCH_BYTES_MAX) {
    return make_error(child_pointer(field, key), document_fault::too_large);
  }
  return text;
}

/** Returns the enumerator that a member of an object names; the fallback if it is absent. */
template<typename E>
static leaf::result<E>
parse_enumerator(const json& object, const std::string& field, const std::string& key, E fallback)
{
  if (!object.contains(key)) {
    return fallback;
  }
  BOOST_LEAF_AUTO(name, parse_text(object, field, key));
  const std::optional<E> value = parse_enum<E>(name);
  if (!value) {
    return make_error(child_pointer(field, key), document_fault::bad_value);
  }
  return *value;
}

static leaf::result<service_spec>
parse_service(const json& value, const std::string& field)
{
  static constexpr std::array<std::string_view, 4> KEYS = {
    "class", "timeout_ms", "retry_percent", "hedge_after_ms"
  };
  BOOST_LEAF_CHECK(check_object(value, field, KEYS));
  service_spec result;
  BOOST_LEAF_ASSIGN(result.kind, parse_enumerator(value, field, "class", work_class::interactive));
  for (const service_number_row& row : SERVICE_NUMBER_ROWS) {
    BOOST_LEAF_ASSIGN(
      result.*row.member,
      parse_number(value, field, std::string(row.key), row.fallback, row.minimum, row.maximum));
  }
  return result;
}

static leaf::result<route_target>
parse_target(const json& value, const std::string& field)
{
  static constexpr std::array<std::string_view, 2> KEYS = { "service", "weight" };
  BOOST_LEAF_CHECK(check_object(value, field, KEYS));
  route_target result;
  BOOST_LEAF_ASSIGN(result.service, parse_text(value, field, "service"));
  if (result.service.empty()) {
    return make_error(child_pointer(field, "service"), document_fault::missing_field);
  }
  BOOST_LEAF_ASSIGN(result.weight, parse_number(value, field, "weight", 1, 0, WEIGHT_MAX));
  return result;
}

/** Parses the targets of a route; at least one must have a weight above 0. */
static leaf::result<std::vector<route_target>>
parse_targets(const json& route, const std::string& field)
{
  const auto targets = route.find("targets");
  const std::string targets_field = child_pointer(field, "targets");
  if (targets == route.end()) {
    return make_error(targets_field, document_fault::missing_field);
  }
  if (!targets->is_array()) {
    return make_error(targets_field, document_fault::wrong_type);
  }
  if (targets->size() > DOCUMENT_ITEMS_MAX) {
    return make_error(targets_field, document_fault::too_large);
  }
  std::vector<route_target> result;
  std::int64_t total = 0;
  for (const json& item : *targets) {
    BOOST_LEAF_AUTO(target,
                    parse_target(item, targets_field + "/" + std::to_string(result.size())));
    total += target.weight;
    result.push_back(std::move(target));
  }
  if (total == 0) {
    return make_error(targets_field, document_fault::no_weight);
  }
  return result;
}

/** Parses the methods of a route; an absent list is an empty one, which matches any method. */
static leaf::result<std::vector<std::string>>
parse_methods(const json& route, const std::string& field)
{
  std::vector<std::string> result;
  const auto methods = route.find("methods");
  if (methods == route.end()) {
    return result;
  }
  const std::string methods_field = child_pointer(field, "methods");
  if (!methods->is_array() || methods->size() > DOCUMENT_ITEMS_MAX) {
    return make_error(methods_field, document_fault::wrong_type);
  }
  for (const json& item : *methods) {
    const std::string text = item.is_string() ? item.get<std::string>() : "";
    const bool is_method =
      !text.empty() && text.size() <= NAME_BYTES_MAX &&
      std::all_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
    if (!is_method) {
      return make_error(methods_field + "/" + std::to_string(result.size()),
                        document_fault::bad_value);
    }
    result.push_back(text);
  }
  return result;
}

/** Parses the header condition of a route, if it has one. */
static leaf::result<std::optional<header_match>>
parse_header_match(const json& route, const std::string& field)
{
  static constexpr std::array<std::string_view, 2> KEYS = { "name", "value" };
  const auto value = route.find("header");
  if (value == route.end()) {
    return std::optional<header_match>();
  }
  const std::string header_field = child_pointer(field, "header");
  BOOST_LEAF_CHECK(check_object(*value, header_field, KEYS));
  header_match result;
  BOOST_LEAF_ASSIGN(result.name, parse_text(*value, header_field, "name"));
  BOOST_LEAF_ASSIGN(result.value, parse_text(*value, header_field, "value"));
  BOOST_LEAF_CHECK(check_name(result.name, child_pointer(header_field, "name")));
  return std::optional(result);
}

static leaf::result<route_spec>
parse_route(const json& value, const std::string& field)
{
  static constexpr std::array<std::string_view, 7> KEYS = { "priority", "host",   "path_prefix",
                                                            "methods",  "header", "idempotent",
                                                            "targets" };
  BOOST_LEAF_CHECK(check_object(value, field, KEYS));
  route_spec result;
  BOOST_LEAF_ASSIGN(result.priority,
                    parse_number(value, field, "priority", 0, -PRIORITY_MAX, PRIORITY_MAX));
  BOOST_LEAF_ASSIGN(result.host, parse_text(value, field, "host"));
  BOOST_LEAF_ASSIGN(result.path_prefix, parse_text(value, field, "path_prefix"));
  if (result.path_prefix.empty() || result.path_prefix.front() != '/') {
    return make_error(child_pointer(field, "path_prefix"), document_fault::bad_value);
  }
  BOOST_LEAF_ASSIGN(result.methods, parse_methods(value, field));
  BOOST_LEAF_ASSIGN(result.header, parse_header_match(value, field));
  BOOST_LEAF_ASSIGN(result.idempotency_rule,
                    parse_enumerator(value, field, "idempotent", idempotency::by_method));
  BOOST_LEAF_ASSIGN(result.targets, parse_targets(value, field));
  return result;
}

/** Returns a top-level object of the document; an empty object if it is absent. */
static leaf::result<const json*>
find_section(const json& value, const std::string& key)
{
  static const json empty = json::object();
  const auto section = value.find(key);
  if (section == value.end()) {
    return &empty;
  }
  if (!section->is_object()) {
    return make_error("/" + key, document_fault::wrong_type);
  }
  if (section->size() > DOCUMENT_ITEMS_MAX) {
    return make_error("/" + key, document_fault::too_large);
  }
  return &*section;
}

/** Checks that the targets of all routes are services of the document. */
static leaf::result<void>
check_targets(const document& result)
{
  for (const auto& [name, route] : result.routes) {
    for (std::size_t i = 0; i < route.targets.size(); ++i) {
      if (!result.services.contains(route.targets[i].service)) {
        return make_error(child_pointer("/routes", name) + "/targets/" + std::to_string(i) +
                            "/service",
                          document_fault::unknown_service);
      }
    }
  }
  return {};
}

/**
 * Checks that no two routes have the same priority and conditions, as the choice between them would
 * be arbitrary.
 */
static leaf::result<void>
check_ambiguity(const document& result)
{
  std::set<std::string> seen;
  for (const auto& [name, route] : result.routes) {
    json match = { route.priority, route.host, route.path_prefix, route.methods };
    if (route.header) {
      match.push_back({ route.header->name, route.header->value });
    }
    if (!seen.insert(canonical_text(match)).second) {
      return make_error(child_pointer("/routes", name), document_fault::ambiguous_route);
    }
  }
  return {};
}

leaf::result<document>
parse_document(const json& value)
{
  static constexpr std::array<std::string_view, 3> KEYS = { "services",
                                                            "routes",
                                                            "blocked_servers" };
  BOOST_LEAF_CHECK(check_object(value, "", KEYS));
  BOOST_LEAF_AUTO(services, find_section(value, "services"));
  BOOST_LEAF_AUTO(routes, find_section(value, "routes"));
  BOOST_LEAF_AUTO(blocked, find_section(value, "blocked_servers"));
  document result;
  for (const auto& [name, item] : services->items()) {
    const std::string field = child_pointer("/services", name);
    BOOST_LEAF_CHECK(check_name(name, field));
    BOOST_LEAF_ASSIGN(result.services[name], parse_service(item, field));
  }
  for (const auto& [name, item] : routes->items()) {
    const std::string field = child_pointer("/routes", name);
    BOOST_LEAF_CHECK(check_name(name, field));
    BOOST_LEAF_ASSIGN(result.routes[name], parse_route(item, field));
  }
  for (const auto& [name, reason] : blocked->items()) {
    const std::string field = child_pointer("/blocked_servers", name);
    BOOST_LEAF_CHECK(check_name(name, field));
    if (!reason.is_string()) {
      return make_error(field, document_fault::wrong_type);
    }
    result.blocked_servers.push_back(name);
  }
  BOOST_LEAF_CHECK(check_targets(result));
  BOOST_LEAF_CHECK(check_ambiguity(result));
  return result;
}

std::string
canonical_text(const json& value)
{
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string
sha256_hex(std::string_view bytes)
{
  QCryptographicHash hash(QCryptographicHash::Sha256);
  hash.addData(QByteArrayView(bytes.data(), static_cast<qsizetype>(bytes.size())));
  return hash.result().toHex().toStdString();
}

} // namespace shallotfield
