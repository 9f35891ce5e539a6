// Encodes and decodes control messages.
#pragma once
#include "control_message_type.h"
#include "frame_codec.h"

#include <boost/leaf/result.hpp>
#include <string>

namespace shallotfield {

/** @param message A message. @return The bytes of its frame. */
std::string
encode_control(const control_message& message);

/**
 * Decodes a control message.
 * @param from The frame, from a peer.
 * @return The message; or frame_error.
 */
boost::leaf::result<control_message>
parse_control(const frame& from);

/** @param record A member record. @return It as JSON. */
nlohmann::json
member_to_json(const member_record& record);

/** @param summary A summary. @return It as JSON. */
nlohmann::json
summary_to_json(const version_summary& summary);

} // namespace shallotfield
