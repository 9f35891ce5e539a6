// How proxies pass a configuration on to each other: one question and one answer on a connection.
#pragma once
#include "frame_codec.h"
#include "version/version.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <variant>

namespace shallotfield {

/** Asks for the configuration in force. */
struct config_request
{
  std::uint64_t base = 0; ///< Version that the sender holds; 0: none.
};

using config_transfer = std::variant<config_request, packed_config>;

/** @param message A message. @return The frame to send. */
std::string
encode_config_transfer(const config_transfer& message);

/** @param from A frame from a peer. @return The message; or frame_error. */
boost::leaf::result<config_transfer>
parse_config_transfer(const frame& from);

} // namespace shallotfield
