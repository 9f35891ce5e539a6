// Encodes and decodes traffic messages.
#pragma once
#include "frame_codec.h"
#include "traffic_message_type.h"

#include <boost/leaf/result.hpp>
#include <string>

namespace shallotfield {

/** @param message A message. @return The bytes of its frame. */
std::string
encode_traffic(const traffic_message& message);

/**
 * Decodes a traffic message.
 * @param from The frame, from a peer; its payload is moved out.
 * @return The message; or frame_error.
 */
boost::leaf::result<traffic_message>
parse_traffic(frame&& from);

} // namespace shallotfield
