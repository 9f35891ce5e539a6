// The subcommands of the shallotfield binary and the options that they share.
#pragma once
#include "exit_code_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace shallotfield {

/** A subcommand, the first argument of the command line. */
enum class command
{
  node,    ///< Runs a mesh node with the settings file of `--settings`.
  proxy,   ///< Runs a proxy; the platform provides its settings file and metadata store.
  publish, ///< Publishes a configuration document.
  check,   ///< Reviews a configuration locally, without contacting a node.
  status,  ///< Shows the version in force and the number of nodes that have it.
  history, ///< Shows the latest verdicts on published documents.
  diff,    ///< Compares a document with the one in force.
  drain,   ///< Asks a node to drain and leave the fleet.
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

/** Returns the name table of commands. */
constexpr const auto&
enum_rows(command)
{
  return COMMAND_ROWS;
}

/** Format of a configuration file. */
enum class config_format
{
  node,  ///< The document that operators publish to nodes.
  proxy, ///< The platform's configuration, which proxies follow.
};

inline constexpr enum_table<config_format, 2> CONFIG_FORMAT_ROWS = { {
  { config_format::node, "node" },
  { config_format::proxy, "proxy" },
} };
static_assert(is_complete(CONFIG_FORMAT_ROWS, config_format::proxy));

/** Returns the name table of formats. */
constexpr const auto&
enum_rows(config_format)
{
  return CONFIG_FORMAT_ROWS;
}

/** Options of the command line. A command ignores those that it does not use. */
struct command_options
{
  std::string settings_path; ///< `--settings`: settings file; a proxy has a default for it.
  std::string node;          ///< `--node`: operators' port of the node to contact, as HOST:PORT.
  std::string token;         ///< `--token`, or else the environment variable SHALLOTFIELD_TOKEN.
  std::string document_path; ///< `--file`: path of the document.
  std::string format;        ///< `--format`: format of the document, a config_format.
  std::string base_path;     ///< `--base-file`: configuration in force, to compare with.
  std::string publish_id;    ///< `--id`: publish id; run_publish() generates one if it is empty.
  std::string author;        ///< `--author`: recorded with a published document.
  std::optional<std::uint64_t> base_version; ///< `--base`: version that the document is based on.
  bool as_json = false;                      ///< `--json`: print JSON instead of key=value pairs.
  bool watches = false;                      ///< `--watch`: `status` prints again every second.
};

/**
 * Prints the invalid setting and its fault on standard error, in the format of a log line. Logging
 * has not started when the settings are read. Returns exit_code::settings.
 */
exit_code
report_setting_error(const setting_error& error);

/** Runs a node until it has left the fleet after SIGTERM, SIGINT or a drain request. */
exit_code
run_node(const command_options& options);

/**
 * Runs a proxy until it has left the fleet after SIGTERM or SIGINT. SIGHUP reloads the bounds that
 * the platform sets for the whole fleet, such as the retry budget, from the settings file.
 */
exit_code
run_proxy(const command_options& options);

/** Validates a document, publishes it through a node and waits for the verdict. */
exit_code
run_publish(const command_options& options);

/** Validates and reviews a configuration locally, and compares it with the one in force. */
exit_code
run_check(const command_options& options);

/** Prints the status of a node, once, or every second with `--watch`. */
exit_code
run_status(const command_options& options);

/** Prints the latest verdicts that a node knows, one line each. */
exit_code
run_history(const command_options& options);

/** Prints the JSON Patch operations that turn the document in force into the given one. */
exit_code
run_diff(const command_options& options);

/** Asks a node to drain: it finishes its open requests and leaves the fleet. */
exit_code
run_drain(const command_options& options);

} // namespace shallotfield
