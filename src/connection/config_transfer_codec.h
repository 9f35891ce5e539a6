// Messages by which a proxy fetches the configuration of a peer. Each connection carries one
// request and one response.
#pragma once
#include "frame_codec.h"
#include "version/version.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <variant>

namespace shallotfield {

/** Requests the configuration in force. */
struct config_request
{
  /** Version that the sender holds, from which the response may be a delta; 0: none. */
  std::uint64_t base = 0;
};

/** Any message of a transfer: the request or its response. */
using config_transfer = std::variant<config_request, packed_config>;

/** Returns the frame to send. */
std::string
encode_config_transfer(const config_transfer& message);

/** Decodes a message from a peer. Fails with frame_error. */
boost::leaf::result<config_transfer>
parse_config_transfer(const frame& from);

} // namespace shallotfield
