// Encodes and decodes traffic messages.
#pragma once
#include "frame_codec.h"
#include "traffic_message_type.h"

#include <boost/leaf/result.hpp>
#include <string>

namespace shallotfield {

/** A frame to send: what comes before its payload, and the payload. */
struct encoded_traffic
{
  std::string front;
  shared_body payload;
  std::size_t size() const { return front.size() + payload.size(); }
};

/** Returns the frame to send, without copying the body of the message. */
encoded_traffic
encode_traffic_parts(const traffic_message& message);

/** Returns the frame to send as one text. */
std::string
encode_traffic(const traffic_message& message);

/** Decodes a message from a peer. The payload is moved out of the frame. Fails with frame_error. */
boost::leaf::result<traffic_message>
parse_traffic(frame&& from);

} // namespace shallotfield
