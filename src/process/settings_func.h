// Parsing and validation of the settings of a node.
#pragma once
#include "settings_type.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

namespace shallotfield {

/**
 * Parses the text of a settings file: one JSON object with the member names of `settings` as keys.
 * Unknown keys are rejected, so that a misspelt key can't go unnoticed. Returns the settings, with
 * defaults for absent numbers. Fails with setting_error, which names the key.
 */
boost::leaf::result<settings>
parse_settings(std::string_view text);

/**
 * Reads and parses a settings file. Fails with setting_error, which names the key, or the path if
 * the file is unreadable.
 */
boost::leaf::result<settings>
read_settings(const std::string& path);

/**
 * Returns whether a text is an IP address in its usual form. Short forms of IPv4 such as `10.1`,
 * and IPv6 addresses with a zone index, are not, because libraries disagree on what they mean.
 */
bool
is_ip_address(std::string_view text);

/**
 * Parses `HOST:PORT`, where HOST is an IP address; names are not resolved. Returns std::nullopt if
 * the address or the port is invalid.
 */
std::optional<endpoint>
parse_endpoint(std::string_view text);

} // namespace shallotfield
