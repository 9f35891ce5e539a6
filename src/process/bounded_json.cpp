// Checks JSON texts against limits before they are parsed.
#include "bounded_json.h"

namespace shallotfield {

/** Returns the position after the string whose content begins at `at`. */
static std::size_t
skip_string(std::string_view text, std::size_t at)
{
  while (at < text.size() && text[at] != '"') {
    at += text[at] == '\\' ? 2 : 1;
  }
  return at + 1;
}

/** Returns whether more than `depth_max` objects and arrays are open anywhere in a JSON text. The
 * text need not be valid. */
static bool
exceeds_depth(std::string_view text, std::size_t depth_max)
{
  std::size_t depth = 0;
  for (std::size_t at = 0; at < text.size();) {
    const char c = text[at++];
    if (c == '"') {
      at = skip_string(text, at);
    } else if (c == '[' || c == '{') {
      if (++depth > depth_max) {
        return true;
      }
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

nlohmann::json
parse_bounded_json(std::string_view text, const json_limits& limits)
{
  if (text.size() > limits.bytes || exceeds_depth(text, limits.depth)) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
  return nlohmann::json::parse(text, nullptr, false);
}

} // namespace shallotfield
