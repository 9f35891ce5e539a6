// Exit codes of the shallotfield binary.
#pragma once
#include "process/process.h"

namespace shallotfield {

/** Exit code of a command, by kind of failure. Its number is the position in this list, from 0. */
enum class exit_code
{
  ok,          ///< The command succeeded.
  internal,    ///< A defect of the program, or a failure that has no code of its own.
  usage,       ///< The command line is invalid.
  settings,    ///< A setting is invalid; nothing was started.
  invalid,     ///< The document is invalid.
  conflict,    ///< The base version is not the current version.
  unavailable, ///< The node or the log service is unreachable; nothing was written.
  unknown,     ///< The outcome is unknown; it is safe to retry with the same publish id.
  refused,     ///< The node rejected the call.
  findings,    ///< The document is valid, but its review has findings.
};

inline constexpr enum_table<exit_code, 10> EXIT_CODE_ROWS = { {
  { exit_code::ok, "ok" },
  { exit_code::internal, "internal" },
  { exit_code::usage, "usage" },
  { exit_code::settings, "settings" },
  { exit_code::invalid, "invalid" },
  { exit_code::conflict, "conflict" },
  { exit_code::unavailable, "unavailable" },
  { exit_code::unknown, "unknown" },
  { exit_code::refused, "refused" },
  { exit_code::findings, "findings" },
} };
static_assert(is_complete(EXIT_CODE_ROWS, exit_code::findings));

/** Returns the name table of exit codes. */
constexpr const auto&
enum_rows(exit_code)
{
  return EXIT_CODE_ROWS;
}

} // namespace shallotfield
