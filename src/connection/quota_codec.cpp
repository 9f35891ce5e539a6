// Encodes and decodes messages about quotas.
#include "quota_codec.h"
#include "beacon_codec.h"
#include "datagram_format_type.h"
#include "frame_codec.h"

#include <algorithm>
#include <cmath>

namespace leaf = boost::leaf;
using nlohmann::json;

namespace shallotfield {

/** Versions of the formats of reports and answers. They differ from those of beacons and of crash
 * records, which come first in a datagram as well. */
static constexpr std::uint64_t REPORT_FORMAT_VERSION = number_of(datagram_format::quota_report);
static constexpr std::uint64_t ANSWER_FORMAT_VERSION = number_of(datagram_format::quota_answer);

/** First byte of a msgpack array whose length has 16 bits. It precedes the format version. */
static constexpr char MSGPACK_ARRAY_16 = static_cast<char>(0xdc);

/** Position of the format version in a datagram, after the header of the array. */
static constexpr std::size_t FORMAT_OFFSET = 3;

/** Number of elements before the items of a report: format, scope, node, zone, time, proxies. */
static constexpr std::size_t REPORT_HEADER_FIELDS = 6;

/** Number of elements before the items of an answer: format, time, first and last digest. */
static constexpr std::size_t ANSWER_HEADER_FIELDS = 4;

/** Size limits of the names in a report, and of the encoded header. */
static constexpr std::size_t NAME_BYTES_MAX = 256;
static constexpr std::size_t HEADER_BYTES_MAX = 40;

/** Maximum size of an encoded item: header, digest and two numbers. */
static constexpr std::size_t ITEM_BYTES_MAX = 20;

/** Rates are sent as whole numbers of this unit, and fractions as well. */
static constexpr double RATE_UNITS_PER_S = 100;
static constexpr double FRACTION_UNITS = 10'000;

/** Largest rate that is accepted, in RATE_UNITS_PER_S, and the smallest; use may be negative for a
 * moment when requests are given back. */
static constexpr std::int64_t RATE_UNITS_MAX = 2'000'000'000;

/** Largest number of proxies that a report may stand for. */
static constexpr std::uint64_t PROXIES_MAX = 1'000'000;

/** Starts a datagram with the header of an array of `length` elements. */
static std::string
start_array(std::size_t length)
{
  return { MSGPACK_ARRAY_16, static_cast<char>(length >> 8U), static_cast<char>(length) };
}

static std::int64_t
to_units(double rate_per_s)
{
  const double units = std::round(rate_per_s * RATE_UNITS_PER_S);
  const auto limit = static_cast<double>(RATE_UNITS_MAX);
  return static_cast<std::int64_t>(std::clamp(units, -limit, limit));
}

/** Encodes a report. */
static std::vector<std::string>
encode_report(const quota_report& report)
{
  const std::size_t names = report.node.size() + report.zone.size();
  const std::size_t items_max =
    (BEACON_DATAGRAM_BYTES_MAX - HEADER_BYTES_MAX - std::min(names, 2 * NAME_BYTES_MAX)) /
    ITEM_BYTES_MAX;
  std::vector<std::string> datagrams;
  std::size_t start = 0;
  do {
    const std::size_t end = std::min(start + items_max, report.usage.size());
    std::string bytes = start_array(REPORT_HEADER_FIELDS + end - start);
    json::to_msgpack(REPORT_FORMAT_VERSION, bytes);
    json::to_msgpack(static_cast<std::uint64_t>(report.scope), bytes);
    json::to_msgpack(report.node, bytes);
    json::to_msgpack(report.zone, bytes);
    json::to_msgpack(report.sent_at, bytes);
    json::to_msgpack(report.proxies, bytes);
    for (std::size_t i = start; i < end; ++i) {
      const account_usage& item = report.usage[i];
      json::to_msgpack(
        json::array({ item.account, to_units(item.asked_per_s), to_units(item.admitted_per_s) }),
        bytes);
    }
    datagrams.push_back(std::move(bytes));
    start = end;
  } while (start < report.usage.size());
  return datagrams;
}

/** Encodes an answer. */
static std::vector<std::string>
encode_answer(const quota_answer& answer)
{
  static constexpr std::size_t ITEMS_MAX =
    (BEACON_DATAGRAM_BYTES_MAX - HEADER_BYTES_MAX) / ITEM_BYTES_MAX;
  std::vector<std::string> datagrams;
  std::size_t start = 0;
  account_digest first = answer.first;
  do {
    const std::size_t end = std::min(start + ITEMS_MAX, answer.limits.size());
    const account_digest last =
      end < answer.limits.size() ? answer.limits[end].account - 1 : answer.last;
    std::string bytes = start_array(ANSWER_HEADER_FIELDS + end - start);
    json::to_msgpack(ANSWER_FORMAT_VERSION, bytes);
    json::to_msgpack(answer.report_sent_at, bytes);
    json::to_msgpack(first, bytes);
    json::to_msgpack(last, bytes);
    for (std::size_t i = start; i < end; ++i) {
      const double units = std::floor(answer.limits[i].admitted_fraction * FRACTION_UNITS);
      json::to_msgpack(
        json::array({ answer.limits[i].account,
                      static_cast<std::uint64_t>(std::clamp(units, 0.0, FRACTION_UNITS)) }),
        bytes);
    }
    datagrams.push_back(std::move(bytes));
    first = last + 1;
    start = end;
  } while (start < answer.limits.size());
  return datagrams;
}

std::vector<std::string>
encode_quota_message(const quota_message& message)
{
  return std::visit(overloaded{
                      [](const quota_report& report) { return encode_report(report); },
                      [](const quota_answer& answer) { return encode_answer(answer); },
                    },
                    message);
}

bool
has_quota_message(std::string_view datagram)
{
  return datagram.size() > FORMAT_OFFSET && datagram.front() == MSGPACK_ARRAY_16 &&
         (datagram[FORMAT_OFFSET] == static_cast<char>(REPORT_FORMAT_VERSION) ||
          datagram[FORMAT_OFFSET] == static_cast<char>(ANSWER_FORMAT_VERSION));
}

/** Returns whether a number lies within the rates that are accepted. */
static bool
is_rate(const json& item)
{
  if (item.is_number_unsigned()) {
    return item.get<std::uint64_t>() <= static_cast<std::uint64_t>(RATE_UNITS_MAX);
  }
  return item.is_number_integer() && item.get<std::int64_t>() >= -RATE_UNITS_MAX &&
         item.get<std::int64_t>() <= RATE_UNITS_MAX;
}

/** Returns whether a number is a time of a monotonic clock. */
static bool
is_time(const json& item)
{
  return item.is_number_unsigned() &&
         item.get<std::uint64_t>() <= static_cast<std::uint64_t>(INT64_MAX);
}

/** Returns whether a field is a name that is neither empty nor too long. */
static bool
is_name(const json& item)
{
  return item.is_string() && !item.get_ref<const std::string&>().empty() &&
         item.get_ref<const std::string&>().size() <= NAME_BYTES_MAX;
}

/** Decodes a report. Returns no value if its header is invalid. */
static std::optional<quota_datagram>
read_report(const json& items)
{
  const bool has_header = items.size() >= REPORT_HEADER_FIELDS && items[1].is_number_unsigned() &&
                          items[1].get<std::uint64_t>() < QUOTA_SCOPE_ROWS.size() &&
                          is_name(items[2]) && is_name(items[3]) && is_time(items[4]) &&
                          items[5].is_number_unsigned() &&
                          items[5].get<std::uint64_t>() <= PROXIES_MAX;
  if (!has_header) {
    return std::nullopt;
  }
  quota_datagram result;
  quota_report report{ QUOTA_SCOPE_ROWS.at(items[1].get<std::size_t>()).value,
                       items[2].get<std::string>(),
                       items[3].get<std::string>(),
                       items[4].get<mono_ms>(),
                       items[5].get<std::uint32_t>(),
                       {} };
  for (std::size_t i = REPORT_HEADER_FIELDS; i < items.size(); ++i) {
    const json& item = items[i];
    if (item.is_array() && item.size() >= 3 && item[0].is_number_unsigned() && is_rate(item[1]) &&
        is_rate(item[2])) {
      report.usage.push_back({ item[0].get<std::uint64_t>(),
                               item[1].get<double>() / RATE_UNITS_PER_S,
                               item[2].get<double>() / RATE_UNITS_PER_S });
    } else {
      ++result.rejected_items;
    }
  }
  result.message = std::move(report);
  return result;
}

/** Decodes an answer. Returns no value if its header is invalid. */
static std::optional<quota_datagram>
read_answer(const json& items)
{
  const bool has_header = items.size() >= ANSWER_HEADER_FIELDS && is_time(items[1]) &&
                          items[2].is_number_unsigned() && items[3].is_number_unsigned() &&
                          items[2].get<std::uint64_t>() <= items[3].get<std::uint64_t>();
  if (!has_header) {
    return std::nullopt;
  }
  quota_datagram result;
  quota_answer answer{
    items[1].get<mono_ms>(), items[2].get<std::uint64_t>(), items[3].get<std::uint64_t>(), {}
  };
  for (std::size_t i = ANSWER_HEADER_FIELDS; i < items.size(); ++i) {
    const json& item = items[i];
    if (item.is_array() && item.size() >= 2 && item[0].is_number_unsigned() &&
        item[1].is_number_unsigned() &&
        item[1].get<std::uint64_t>() <= static_cast<std::uint64_t>(FRACTION_UNITS)) {
      answer.limits.push_back(
        { item[0].get<std::uint64_t>(), item[1].get<double>() / FRACTION_UNITS });
    } else {
      ++result.rejected_items;
    }
  }
  result.message = std::move(answer);
  return result;
}

leaf::result<quota_datagram>
parse_quota_message(std::string_view bytes)
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
  if (format != REPORT_FORMAT_VERSION && format != ANSWER_FORMAT_VERSION) {
    return leaf::new_error(frame_error{ frame_fault::wrong_protocol });
  }
  std::optional<quota_datagram> result =
    format == REPORT_FORMAT_VERSION ? read_report(items) : read_answer(items);
  if (!result) {
    return leaf::new_error(frame_error{ frame_fault::bad_message });
  }
  return std::move(*result);
}

} // namespace shallotfield
