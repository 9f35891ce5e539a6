// Encodes and parses the records that are stored in the log service of the platform.
#include "record_codec.h"
#include "document_func.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace leaf = boost::leaf;
using nlohmann::json;

namespace shallotfield {

static leaf::error_id
make_error(record_fault fault)
{
  return leaf::new_error(record_error{ fault });
}

/** Parses the text of a record and checks its format number. */
static leaf::result<json>
parse_envelope(std::string_view bytes)
{
  json value =
    leaf::try_handle_all([&] { return parse_bounded_json(bytes); },
                         [](const document_error&) { return json(json::value_t::discarded); },
                         [] { return json(json::value_t::discarded); });
  if (!value.is_object() || !value.contains("format") || !value["format"].is_number_unsigned()) {
    return make_error(record_fault::malformed);
  }
  const auto format = value["format"].get<std::uint64_t>();
  if (format > RECORD_FORMAT) {
    return make_error(record_fault::new_format);
  }
  if (format == 0) {
    return make_error(record_fault::malformed);
  }
  return value;
}

/**
 * Returns a member of a JSON object. The record is malformed if it is absent or of another type.
 */
template<typename T>
static leaf::result<T>
parse_field(const json& object, const char* key)
{
  const auto value = object.find(key);
  if (value == object.end()) {
    return make_error(record_fault::malformed);
  }
  if constexpr (std::is_same_v<T, std::string>) {
    if (!value->is_string()) {
      return make_error(record_fault::malformed);
    }
  } else if constexpr (std::is_unsigned_v<T>) {
    if (!value->is_number_unsigned()) {
      return make_error(record_fault::malformed);
    }
  } else {
    const bool exceeds_int64 =
      value->is_number_unsigned() && value->get<std::uint64_t>() > INT64_MAX;
    if (!value->is_number_integer() || exceeds_int64) {
      return make_error(record_fault::malformed);
    }
  }
  return value->get<T>();
}

std::string
encode_proposal(const proposal& value)
{
  return canonical_text({ { "format", RECORD_FORMAT },
                          { "publish_id", value.publish_id },
                          { "author", value.author },
                          { "written_at", value.written_at },
                          { "base_version", value.base_version },
                          { "patch", value.patch },
                          { "digest", value.digest } });
}

leaf::result<proposal>
parse_proposal(std::string_view bytes)
{
  BOOST_LEAF_AUTO(value, parse_envelope(bytes));
  proposal result;
  BOOST_LEAF_ASSIGN(result.publish_id, parse_field<std::string>(value, "publish_id"));
  BOOST_LEAF_ASSIGN(result.author, parse_field<std::string>(value, "author"));
  BOOST_LEAF_ASSIGN(result.written_at, parse_field<std::int64_t>(value, "written_at"));
  BOOST_LEAF_ASSIGN(result.base_version, parse_field<std::uint64_t>(value, "base_version"));
  BOOST_LEAF_ASSIGN(result.digest, parse_field<std::string>(value, "digest"));
  if (result.publish_id.empty() || !value.contains("patch") || !value["patch"].is_array()) {
    return make_error(record_fault::malformed);
  }
  result.patch = std::move(value["patch"]);
  return result;
}

json
verdict_to_json(const proposal_verdict& value)
{
  json result = { { "publish_id", value.publish_id },
                  { "offset", value.offset },
                  { "verdict", enum_name(value.result) },
                  { "version", value.version },
                  { "author", value.author },
                  { "written_at", value.written_at },
                  { "changed", value.changed } };
  if (value.error) {
    result["field"] = value.error->field;
    result["fault"] = enum_name(value.error->fault);
  }
  return result;
}

/** Parses a verdict that is part of a snapshot. */
static leaf::result<proposal_verdict>
parse_verdict(const json& value)
{
  if (!value.is_object() || !value.contains("changed") || !value["changed"].is_array()) {
    return make_error(record_fault::malformed);
  }
  proposal_verdict result;
  BOOST_LEAF_ASSIGN(result.publish_id, parse_field<std::string>(value, "publish_id"));
  BOOST_LEAF_ASSIGN(result.offset, parse_field<std::uint64_t>(value, "offset"));
  BOOST_LEAF_AUTO(name, parse_field<std::string>(value, "verdict"));
  BOOST_LEAF_ASSIGN(result.version, parse_field<std::uint64_t>(value, "version"));
  BOOST_LEAF_ASSIGN(result.author, parse_field<std::string>(value, "author"));
  BOOST_LEAF_ASSIGN(result.written_at, parse_field<std::int64_t>(value, "written_at"));
  const std::optional<verdict> known = parse_enum<verdict>(name);
  if (!known) {
    return make_error(record_fault::malformed);
  }
  result.result = *known;
  for (const json& path : value["changed"]) {
    if (!path.is_string()) {
      return make_error(record_fault::malformed);
    }
    result.changed.push_back(path.get<std::string>());
  }
  if (value.contains("fault")) {
    BOOST_LEAF_AUTO(fault_name, parse_field<std::string>(value, "fault"));
    BOOST_LEAF_AUTO(field, parse_field<std::string>(value, "field"));
    const std::optional<document_fault> fault = parse_enum<document_fault>(fault_name);
    if (!fault) {
      return make_error(record_fault::malformed);
    }
    result.error = document_error{ field, *fault };
  }
  return result;
}

std::string
encode_snapshot(const snapshot& value)
{
  json body = { { "offset", value.offset },   { "chain", value.chain },
                { "version", value.version }, { "digest", value.digest },
                { "source", value.source },   { "judgements", json::array() } };
  for (const proposal_verdict& item : value.verdicts) {
    body["judgements"].push_back(verdict_to_json(item));
  }
  const std::string checksum = sha256_hex(canonical_text(body));
  return canonical_text(
    { { "format", RECORD_FORMAT }, { "body", std::move(body) }, { "check", checksum } });
}

leaf::result<snapshot>
parse_snapshot(std::string_view bytes)
{
  BOOST_LEAF_AUTO(envelope, parse_envelope(bytes));
  if (!envelope.contains("body") || !envelope["body"].is_object()) {
    return make_error(record_fault::malformed);
  }
  json& value = envelope["body"];
  BOOST_LEAF_AUTO(checksum, parse_field<std::string>(envelope, "check"));
  if (checksum != sha256_hex(canonical_text(value))) {
    return make_error(record_fault::bad_digest);
  }
  snapshot result;
  BOOST_LEAF_ASSIGN(result.offset, parse_field<std::uint64_t>(value, "offset"));
  BOOST_LEAF_ASSIGN(result.chain, parse_field<std::string>(value, "chain"));
  BOOST_LEAF_ASSIGN(result.version, parse_field<std::uint64_t>(value, "version"));
  BOOST_LEAF_ASSIGN(result.digest, parse_field<std::string>(value, "digest"));
  if (!value.contains("source") || !value.contains("judgements") ||
      !value["judgements"].is_array()) {
    return make_error(record_fault::malformed);
  }
  result.source = value["source"];
  if (result.digest != sha256_hex(canonical_text(result.source))) {
    return make_error(record_fault::bad_digest);
  }
  for (const json& item : value["judgements"]) {
    BOOST_LEAF_AUTO(parsed, parse_verdict(item));
    result.verdicts.push_back(std::move(parsed));
  }
  return result;
}

} // namespace shallotfield
