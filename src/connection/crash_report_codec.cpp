// Encodes and decodes crash records.
#include "crash_report_codec.h"
#include "beacon_codec.h"
#include "json_reader.h"

namespace leaf = boost::leaf;
using nlohmann::json;

namespace shallotfield {

/** Version of the format of crash records. It differs from the versions of beacons, which come
 * first in a datagram as well, so that builds which don't know crash records reject the datagram.
 */
static constexpr std::uint64_t CRASH_FORMAT_VERSION = 101;

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
      const crash_record& record = records[i];
      const auto age = static_cast<std::uint64_t>(std::max<mono_ms>(now - record.happened_at, 0));
      json::to_msgpack(
        json::array(
          { record.request.high, record.request.low, record.crash, age, record.is_acquitted }),
        bytes);
    }
    datagrams.push_back(std::move(bytes));
  }
  return datagrams;
}

bool
has_crash_records(std::string_view datagram)
{
  return datagram.size() > FORMAT_OFFSET && datagram.front() == MSGPACK_ARRAY_16 &&
         datagram[FORMAT_OFFSET] == static_cast<char>(CRASH_FORMAT_VERSION);
}

/** Decodes one record. Returns no value if it is invalid. */
static std::optional<crash_record>
read_crash_record(const json& item, mono_ms now)
{
  if (!item.is_array() || item.size() != RECORD_FIELDS || !item[0].is_number_unsigned() ||
      !item[1].is_number_unsigned() || !item[2].is_number_unsigned() ||
      !item[3].is_number_unsigned() || !item[4].is_boolean()) {
    return std::nullopt;
  }
  const auto age = item[3].get<std::uint64_t>();
  const auto crash = item[2].get<std::uint64_t>();
  if (crash == 0 || age > std::numeric_limits<std::uint32_t>::max()) {
    return std::nullopt;
  }
  return crash_record{ { item[0].get<std::uint64_t>(), item[1].get<std::uint64_t>() },
                       crash,
                       now - static_cast<mono_ms>(age),
                       item[4].get<bool>() };
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
  const bool is_known_format = items.is_array() && !items.empty() &&
                               items[0].is_number_unsigned() &&
                               items[0].get<std::uint64_t>() == CRASH_FORMAT_VERSION;
  if (!is_known_format) {
    return leaf::new_error(frame_error{ frame_fault::wrong_protocol });
  }
  crash_report result;
  for (std::size_t i = 1; i < items.size(); ++i) {
    if (const std::optional<crash_record> record = read_crash_record(items[i], now)) {
      result.records.push_back(*record);
    } else {
      ++result.rejected_records;
    }
  }
  return result;
}

} // namespace shallotfield
