// Encodes crash records as datagrams, which proxies exchange on the port of the beacons.
#pragma once
#include "process/process.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace shallotfield {

/** Returns datagrams in msgpack that carry the records. Times are sent as ages. */
std::vector<std::string>
encode_crash_records(const std::vector<crash_record>& records, mono_ms now);

/** Returns whether a datagram carries crash records rather than beacons. */
bool
has_crash_records(std::string_view datagram);

/** The content of a datagram. */
struct crash_report
{
  std::vector<crash_record> records;
  std::size_t rejected_records = 0; ///< Records that were left out because they are invalid.
};

/**
 * Decodes a datagram from a peer, with times relative to `now`. An invalid record is left out; the
 * others hold. Fails with frame_error if the datagram as a whole is invalid.
 */
boost::leaf::result<crash_report>
parse_crash_records(std::string_view bytes, mono_ms now);

} // namespace shallotfield
