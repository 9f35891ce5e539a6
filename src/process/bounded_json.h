// Parses JSON texts from outside the process within limits on their size and nesting.
#pragma once
#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

namespace shallotfield {

/** Limits for a JSON text. */
struct json_limits
{
  std::size_t bytes; ///< Size of the text.
  std::size_t depth; ///< Number of objects and arrays that are open at the same time.
};

/** Limits for the responses and records of the log service. Its largest page holds a few records of
 * several MB in base64. */
inline constexpr json_limits LOG_SERVICE_JSON_LIMITS = { 64U << 20U, 16 };

/**
 * Parses a JSON text. The limits are checked before the parser runs, because a parsed value takes
 * many times the memory of its text, and functions of the JSON library that copy or print a value
 * are recursive. Returns a value of type `discarded` if the text is invalid or exceeds a limit.
 */
nlohmann::json
parse_bounded_json(std::string_view text, const json_limits& limits);

} // namespace shallotfield
