// Encodes and decodes crash records.
#include "crash_report_codec.h"
#include "beacon_codec.h"
#include "datagram_format_type.h"
#include "json_reader.h"

namespace leaf = boost::leaf;
using nlohmann::json;

namespace shallotfield {

/** Version of the format of crash records. It differs from the versions of beacons, which come
 * first in a datagram as well, so that builds which don't know crash records reject the datagram.
 */
static constexpr std::uint64_t CRASH_FORMAT_VERSION = number_of(datagram_format::crash_records);

/** The version before, which is still read. It has a flag in place of the finding, which says
 * whether the request is acquitted. */
static constexpr std::uint64_t CRASH_FORMAT_VERSION_1 = number_of(datagram_format::crash_records_1);

/** Version of the format of rejected requests in the store. */
static constexpr std::uint64_t STORED_FORMAT_VERSION = 1;

/** Start of the keys of rejected requests in the store, where other keys are ids of nodes. */
static constexpr std::string_view STORED_KEY_PREFIX = "crash-suspect.";

/** Number of elements before the records of a stored request: format, wall-clock time, node. */
static constexpr std::size_t STORED_HEADER_FIELDS = 3;

/** Size limit of the name of the node that stored a request. */
static constexpr std::size_t STORED_NODE_BYTES_MAX = 256;

/** Position of the format version in a datagram, after the header of the msgpack array. */
static constexpr std::size_t FORMAT_OFFSET = 3;

/** First byte of a msgpack array whose length has 16 bits. */
static constexpr char MSGPACK_ARRAY_16 = static_cast<char>(0xdc);

/** Maximum size of an encoded record. */
static constexpr std::size_t RECORD_BYTES_MAX = 40;

/** Number of records in a datagram. */
static constexpr std::size_t RECORDS_MAX = (BEACON_DATAGRAM_BYTES_MAX - 8) / RECORD_BYTES_MAX;

/** Number of elements of a record. */
static constexpr std::size_t RECORD_FIELDS = 5;

/** Returns the elements of a record in a message. */
static json
write_crash_record(const crash_record& record, mono_ms now)
{
  const auto age = static_cast<std::uint64_t>(std::max<mono_ms>(now - record.happened_at, 0));
  return json::array({ record.request.high,
                       record.request.low,
                       record.id,
                       age,
                       static_cast<std::uint64_t>(record.finding) });
}

std::vector<std::string>
encode_crash_records(const std::vector<crash_record>& records, mono_ms now)
{
  std::vector<std::string> datagrams;
  for (std::size_t start = 0; start < records.size(); start += RECORDS_MAX) {
    const std::size_t end = std::min(start + RECORDS_MAX, records.size());
    const auto length = static_cast<std::uint16_t>(end - start + 1);
    std::string bytes{ MSGPACK_ARRAY_16,
                       static_cast<char>(length >> 8U),
                       static_cast<char>(length) };
    json::to_msgpack(CRASH_FORMAT_VERSION, bytes);
    for (std::size_t i = start; i < end; ++i) {
      json::to_msgpack(write_crash_record(records[i], now), bytes);
    }
    datagrams.push_back(std::move(bytes));
  }
  return datagrams;
}

bool
has_crash_records(std::string_view datagram)
{
  return datagram.size() > FORMAT_OFFSET && datagram.front() == MSGPACK_ARRAY_16 &&
         (datagram[FORMAT_OFFSET] == static_cast<char>(CRASH_FORMAT_VERSION) ||
          datagram[FORMAT_OFFSET] == static_cast<char>(CRASH_FORMAT_VERSION_1));
}

/** Decodes the finding of a record. Returns no value if it is invalid. */
static std::optional<crash_finding>
read_finding(const json& item, std::uint64_t format)
{
  if (format == CRASH_FORMAT_VERSION_1) {
    return item.is_boolean()
             ? std::optional(item.get<bool>() ? crash_finding::acquitted : crash_finding::suspected)
             : std::nullopt;
  }
  if (!item.is_number_unsigned() || item.get<std::uint64_t>() >= CRASH_FINDING_ROWS.size()) {
    return std::nullopt;
  }
  return CRASH_FINDING_ROWS.at(item.get<std::size_t>()).value;
}

/** Decodes one record. Returns no value if it is invalid. */
static std::optional<crash_record>
read_crash_record(const json& item, std::uint64_t format, mono_ms now)
{
  if (!item.is_array() || item.size() != RECORD_FIELDS || !item[0].is_number_unsigned() ||
      !item[1].is_number_unsigned() || !item[2].is_number_unsigned() ||
      !item[3].is_number_unsigned()) {
    return std::nullopt;
  }
  const std::optional<crash_finding> finding = read_finding(item[4], format);
  const auto age = item[3].get<std::uint64_t>();
  const crash_record record{ { item[0].get<std::uint64_t>(), item[1].get<std::uint64_t>() },
                             item[2].get<std::uint64_t>(),
                             now - static_cast<mono_ms>(std::min<std::uint64_t>(age, UINT32_MAX)),
                             finding.value_or(crash_finding::suspected) };
  const bool is_valid = finding && record.id != 0 && age <= UINT32_MAX;
  return is_valid ? std::optional(record) : std::nullopt;
}

leaf::result<crash_report>
parse_crash_records(std::string_view bytes, mono_ms now)
{
  if (bytes.size() > BEACON_DATAGRAM_BYTES_MAX) {
    return leaf::new_error(frame_error{ frame_fault::too_large });
  }
  std::optional<frame_error> error;
  const json items = decode_head(bytes, error);
  if (error) {
    return leaf::new_error(*error);
  }
  const std::uint64_t format = items.is_array() && !items.empty() && items[0].is_number_unsigned()
                                 ? items[0].get<std::uint64_t>()
                                 : 0;
  if (format != CRASH_FORMAT_VERSION && format != CRASH_FORMAT_VERSION_1) {
    return leaf::new_error(frame_error{ frame_fault::wrong_protocol });
  }
  crash_report result;
  for (std::size_t i = 1; i < items.size(); ++i) {
    if (const auto record = read_crash_record(items[i], format, now)) {
      result.records.push_back(*record);
    } else {
      ++result.rejected_records;
    }
  }
  return result;
}

std::string
stored_suspect_key(const request_digest& request)
{
  return std::string(STORED_KEY_PREFIX) + format_digest(request);
}

bool
is_stored_suspect_key(std::string_view key)
{
  return key.starts_with(STORED_KEY_PREFIX);
}

std::string
encode_stored_suspect(const stored_suspect& suspect, const instant& now)
{
  json items = { STORED_FORMAT_VERSION, now.unix, suspect.node };
  for (const crash_record& record : suspect.records) {
    items.push_back(write_crash_record(record, now.mono));
  }
  std::string bytes;
  json::to_msgpack(items, bytes);
  return bytes;
}

leaf::result<stored_suspect>
parse_stored_suspect(std::string_view key, std::string_view value, const instant& now)
{
  if (value.size() > BEACON_DATAGRAM_BYTES_MAX) {
    return leaf::new_error(frame_error{ frame_fault::too_large });
  }
  std::optional<frame_error> error;
  const json items = decode_head(value, error);
  if (error) {
    return leaf::new_error(*error);
  }
  const bool has_header = items.is_array() && items.size() > STORED_HEADER_FIELDS &&
                          items[0].is_number_unsigned() && items[1].is_number_integer() &&
                          items[2].is_string();
  if (!has_header) {
    return leaf::new_error(frame_error{ frame_fault::bad_message });
  }
  if (items[0].get<std::uint64_t>() != STORED_FORMAT_VERSION) {
    return leaf::new_error(frame_error{ frame_fault::wrong_protocol });
  }
  // The clock of the node that wrote the record may differ from this one's, or one may have jumped.
  const auto written_at = items[1].get<unix_ms>();
  const mono_ms age = written_at > 0 && written_at < now.unix ? now.unix - written_at : 0;
  stored_suspect result{ items[2].get<std::string>(), {} };
  for (std::size_t i = STORED_HEADER_FIELDS; i < items.size(); ++i) {
    const auto record = read_crash_record(items[i], CRASH_FORMAT_VERSION, now.mono - age);
    if (!record || stored_suspect_key(record->request) != key) {
      return leaf::new_error(frame_error{ frame_fault::bad_message });
    }
    result.records.push_back(*record);
  }
  if (result.node.size() > STORED_NODE_BYTES_MAX) {
    return leaf::new_error(frame_error{ frame_fault::bad_message });
  }
  return result;
}

} // namespace shallotfield
