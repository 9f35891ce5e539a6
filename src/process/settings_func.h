// Reads and checks settings.
#pragma once
#include "settings_type.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

namespace shallotfield {

/**
 * Parses the text of a settings file.
 * @param text JSON text: one object, keys as in `settings`.
 * @return The settings, with defaults for absent numbers; or setting_error, which names the key.
 */
boost::leaf::result<settings>
parse_settings(std::string_view text);

/**
 * Reads and parses a settings file.
 * @param path Path of the file.
 * @return The settings; or setting_error, which names the key or the file.
 */
boost::leaf::result<settings>
read_settings(const std::string& path);

/**
 * Parses `HOST:PORT` with an IP number.
 * @param text The text.
 * @return The endpoint; or nothing if the text has no valid IP number or port.
 */
std::optional<endpoint>
parse_endpoint(std::string_view text);

} // namespace shallotfield
