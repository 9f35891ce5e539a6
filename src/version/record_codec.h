// Encodes and parses the records that are stored in the log service of the platform.
#pragma once
#include "record_type.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

namespace shallotfield {

/** Encodes a proposal as JSON text with a format number. */
std::string
encode_proposal(const proposal& value);

/** Parses an untrusted record as a proposal. Fails with record_error. */
boost::leaf::result<proposal>
parse_proposal(std::string_view bytes);

/** Encodes a snapshot as JSON text with a format number and a checksum. */
std::string
encode_snapshot(const snapshot& value);

/**
 * Parses an untrusted record as a snapshot, and verifies its checksum and the digest of its
 * document. Fails with record_error.
 */
boost::leaf::result<snapshot>
parse_snapshot(std::string_view bytes);

/** Converts a verdict to JSON, as used in snapshots and in responses to operators. */
nlohmann::json
verdict_to_json(const proposal_verdict& value);

} // namespace shallotfield
