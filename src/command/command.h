// The commands of the binary.
#pragma once
#include "exit_code_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace shallotfield {

/** The subcommands. */
enum class command
{
  node,    ///< Runs a node.
  proxy,   ///< Runs a proxy on the platform.
  publish, ///< Publishes a document.
  check,   ///< Checks a document without a node.
  status,  ///< Shows what is in force.
  history, ///< Shows the latest verdicts.
  diff,    ///< Compares a document with what is in force.
  drain,   ///< Tells a node to leave.
};

inline constexpr enum_table<command, 8> COMMAND_ROWS = { {
  { command::node, "node" },
  { command::proxy, "proxy" },
  { command::publish, "publish" },
  { command::check, "check" },
  { command::status, "status" },
  { command::history, "history" },
  { command::diff, "diff" },
  { command::drain, "drain" },
} };
static_assert(is_complete(COMMAND_ROWS, command::drain));

/** @return The name table of commands. */
constexpr const auto&
enum_rows(command)
{
  return COMMAND_ROWS;
}

/** What the command line says. */
struct command_options
{
  std::string settings_path;                 ///< --settings
  std::string node;                          ///< --node, HOST:PORT
  std::string token;                         ///< --token, or the environment's SHALLOTFIELD_TOKEN
  std::string document_path;                 ///< --file
  std::string publish_id;                    ///< --id
  std::string author;                        ///< --author
  std::optional<std::uint64_t> base_version; ///< --base
  bool as_json = false;                      ///< --json
  bool watches = false;                      ///< --watch
};

/** Tells on standard error which setting is wrong. @param error The fault. @return The exit code.
 */
exit_code
report_setting_error(const setting_error& error);

/** Runs a node until it is told to leave. @param options Options. @return The exit code. */
exit_code
run_node(const command_options& options);

/** Runs a proxy until it is told to leave. @param options Options. @return The exit code. */
exit_code
run_proxy(const command_options& options);

/** Publishes a document. @param options Options. @return The exit code. */
exit_code
run_publish(const command_options& options);

/** Checks a document. @param options Options. @return The exit code. */
exit_code
run_check(const command_options& options);

/** Shows what is in force. @param options Options. @return The exit code. */
exit_code
run_status(const command_options& options);

/** Shows the latest verdicts. @param options Options. @return The exit code. */
exit_code
run_history(const command_options& options);

/** Compares a document with what is in force. @param options Options. @return The exit code. */
exit_code
run_diff(const command_options& options);

/** Tells a node to leave. @param options Options. @return The exit code. */
exit_code
run_drain(const command_options& options);

} // namespace shallotfield
