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

/** Returns the key under which a rejected request is stored in the platform's store. */
std::string
stored_suspect_key(const request_digest& request);

/** Returns whether a record of the store is about a rejected request. */
bool
is_stored_suspect_key(std::string_view key);

/** A rejected request as a node stored it. */
struct stored_suspect
{
  node_id node; ///< Node that stored it.
  std::vector<crash_record> records;
};

/** Returns a rejected request as it is stored. Times are sent as ages at a wall-clock time. */
std::string
encode_stored_suspect(const stored_suspect& suspect, const instant& now);

/**
 * Decodes a rejected request from the store, with times relative to `now`. Its records must be
 * about the request that its key names. Fails with frame_error.
 */
boost::leaf::result<stored_suspect>
parse_stored_suspect(std::string_view key, std::string_view value, const instant& now);

} // namespace shallotfield
