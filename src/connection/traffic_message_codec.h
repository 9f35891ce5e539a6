// Encodes and decodes traffic messages.
#pragma once
#include "frame_codec.h"
#include "traffic_message_type.h"

#include <boost/leaf/result.hpp>
#include <string>

namespace shallotfield {

/** Returns the frame to send. */
std::string
encode_traffic(const traffic_message& message);

/** Decodes a message from a peer. The payload is moved out of the frame. Fails with frame_error. */
boost::leaf::result<traffic_message>
parse_traffic(frame&& from);

} // namespace shallotfield
