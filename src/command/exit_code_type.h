// How the process ends, by kind of failure.
#pragma once
#include "process/process.h"

namespace shallotfield {

/** Exit codes of the commands. Their order is their number. */
enum class exit_code
{
  ok,          ///< Done.
  internal,    ///< A fault of the program.
  usage,       ///< The command line is wrong.
  settings,    ///< A setting is wrong; nothing was started.
  invalid,     ///< The document is invalid.
  conflict,    ///< The document is based on another version than the current one.
  unavailable, ///< The node or the log can't be reached; nothing was written.
  unknown,     ///< The outcome is not known; repeat with the same publish id.
  refused,     ///< The node refused the call.
};

inline constexpr enum_table<exit_code, 9> EXIT_CODE_ROWS = { {
  { exit_code::ok, "ok" },
  { exit_code::internal, "internal" },
  { exit_code::usage, "usage" },
  { exit_code::settings, "settings" },
  { exit_code::invalid, "invalid" },
  { exit_code::conflict, "conflict" },
  { exit_code::unavailable, "unavailable" },
  { exit_code::unknown, "unknown" },
  { exit_code::refused, "refused" },
} };
static_assert(is_complete(EXIT_CODE_ROWS, exit_code::refused));

/** @return The name table of exit codes. */
constexpr const auto&
enum_rows(exit_code)
{
  return EXIT_CODE_ROWS;
}

} // namespace shallotfield
