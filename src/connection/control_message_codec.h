// Encodes and decodes control messages.
#pragma once
#include "control_message_type.h"
#include "frame_codec.h"

#include <boost/leaf/result.hpp>
#include <string>

namespace shallotfield {

/** Returns the frame to send. */
std::string
encode_control(const control_message& message);

/** Decodes a message from a peer. Fails with frame_error. */
boost::leaf::result<control_message>
parse_control(const frame& from);

/** Encodes a member record, for messages and for the operators' API. */
nlohmann::json
member_to_json(const member_record& record);

/** Encodes a version summary, for messages and for the operators' API. */
nlohmann::json
summary_to_json(const version_summary& summary);

} // namespace shallotfield
