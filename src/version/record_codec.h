// Writes and reads the records in the platform's log.
#pragma once
#include "record_type.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

namespace shallotfield {

/** @param value The proposal. @return Its record: JSON text with a format number. */
std::string
encode_proposal(const proposal& value);

/**
 * Reads a proposal.
 * @param bytes The record, from outside.
 * @return The proposal; or record_error.
 */
boost::leaf::result<proposal>
parse_proposal(std::string_view bytes);

/** @param value The snapshot. @return Its record: JSON text with a format number and a digest. */
std::string
encode_snapshot(const snapshot& value);

/**
 * Reads a snapshot and checks its digests.
 * @param bytes The record, from outside.
 * @return The snapshot; or record_error.
 */
boost::leaf::result<snapshot>
parse_snapshot(std::string_view bytes);

/** @param value The judgement. @return It as JSON, for snapshots and operators. */
nlohmann::json
verdict_to_json(const proposal_verdict& value);

} // namespace shallotfield
