// How proxies pass a configuration on to each other: one question and one answer on a connection.
#pragma once
#include "frame_codec.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <variant>

namespace shallotfield {

/** Largest configuration that is passed on, before compression. */
inline constexpr std::size_t CONFIG_BYTES_MAX = 16U << 20U;

/** Asks for the configuration in force. */
struct config_question
{};

/** A configuration, as it stands in the store. */
struct config_copy
{
  std::uint64_t version = 0; ///< Its version.
  std::string text;          ///< Its text.
};

using config_transfer = std::variant<config_question, config_copy>;

/** @param message A message. @return The frame to send. */
std::string
encode_config_transfer(const config_transfer& message);

/** @param from A frame from a peer. @return The message; or frame_error. */
boost::leaf::result<config_transfer>
parse_config_transfer(const frame& from);

} // namespace shallotfield
