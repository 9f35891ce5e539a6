// The formats of the datagrams that proxies send to each other.
#pragma once
#include "process/process.h"

#include <cstdint>

namespace shallotfield {

/** Format of a datagram. Its number is the first item of the datagram, by which the receiver tells
 * formats apart, so that each number may stand here only once. */
enum class datagram_format : std::uint64_t
{
  beacons = 2,           ///< beacon_codec.
  crash_records_1 = 101, ///< crash_report_codec, as earlier builds send them.
  crash_records = 102,   ///< crash_report_codec.
  quota_report = 111,    ///< quota_codec: use of quotas.
  quota_answer = 112,    ///< quota_codec: limits of accounts.
  rollout_news = 121,    ///< rollout_news_codec.
};

inline constexpr std::array<std::pair<datagram_format, std::string_view>, 6>
  DATAGRAM_FORMAT_ROWS = { { { datagram_format::beacons, "beacons" },
                             { datagram_format::crash_records_1, "crash_records_1" },
                             { datagram_format::crash_records, "crash_records" },
                             { datagram_format::quota_report, "quota_report" },
                             { datagram_format::quota_answer, "quota_answer" },
                             { datagram_format::rollout_news, "rollout_news" } } };

/** Returns whether the numbers of the formats increase, so that each occurs only once. */
constexpr bool
are_datagram_formats_distinct()
{
  for (std::size_t i = 1; i < DATAGRAM_FORMAT_ROWS.size(); ++i) {
    if (DATAGRAM_FORMAT_ROWS[i - 1].first >= DATAGRAM_FORMAT_ROWS[i].first) {
      return false;
    }
  }
  return true;
}
static_assert(are_datagram_formats_distinct());

/** Returns the number of a format. */
constexpr std::uint64_t
number_of(datagram_format format)
{
  return static_cast<std::uint64_t>(format);
}

} // namespace shallotfield
