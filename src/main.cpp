// Entry point: parses the command line and runs the chosen command.
#include "command/command.h"

#include <QCoreApplication>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

using namespace shallotfield;

/** Version of the program, printed by --version. */
static constexpr std::string_view PROGRAM_VERSION = "0.1.0";

/** Builds the parser of the command line. */
static cxxopts::Options
build_option_parser()
{
  cxxopts::Options options(
    "shallotfield",
    "Distributes the configuration of a service mesh and routes its "
    "requests.\nCommands: node, proxy, publish, check, status, history, diff, drain");
  // clang-format off
  options.add_options()
    ("command", "What to do", cxxopts::value<std::string>())
    ("settings", "Settings file of a node or a proxy (JSON)", cxxopts::value<std::string>())
    ("node", "Operators' port of a node, HOST:PORT", cxxopts::value<std::string>())
    ("token", "Operators' token; default: SHALLOTFIELD_TOKEN", cxxopts::value<std::string>())
    ("file", "Document (JSON)", cxxopts::value<std::string>())
    ("format", "Format of the document: node or proxy", cxxopts::value<std::string>()->default_value("node"))
    ("base-file", "Configuration in force, to compare with", cxxopts::value<std::string>())
    ("id", "Publish id; repeat a publish with the same one", cxxopts::value<std::string>())
    ("author", "Who publishes", cxxopts::value<std::string>()->default_value("operator"))
    ("base", "Version that the document is based on", cxxopts::value<std::uint64_t>())
    ("json", "Show JSON")
    ("watch", "Show again every second")
    ("help", "Show this help")
    ("version", "Show the program's version");
  // clang-format on
  options.parse_positional({ "command" });
  options.positional_help("COMMAND");
  return options;
}

/** Returns the value of a text option, or an empty string if the option is absent. */
static std::string
text_option(const cxxopts::ParseResult& line, const std::string& name)
{
  return line.count(name) > 0 ? line[name].as<std::string>() : std::string();
}

/** Converts the parsed command line to the options of a command. */
static command_options
collect_options(const cxxopts::ParseResult& line)
{
  command_options options;
  options.settings_path = text_option(line, "settings");
  options.node = text_option(line, "node");
  options.token = text_option(line, "token");
  const char* environment = std::getenv("SHALLOTFIELD_TOKEN");
  if (options.token.empty() && environment != nullptr) {
    options.token = environment;
  }
  options.document_path = text_option(line, "file");
  options.format = line["format"].as<std::string>();
  options.base_path = text_option(line, "base-file");
  options.publish_id = text_option(line, "id");
  options.author = line["author"].as<std::string>();
  if (line.count("base") > 0) {
    options.base_version = line["base"].as<std::uint64_t>();
  }
  options.as_json = line.count("json") > 0;
  options.watches = line.count("watch") > 0;
  return options;
}

/** Calls the function that implements a command. */
static exit_code
run_command(command name, const command_options& options)
{
  switch (name) {
    case command::node:
      return run_node(options);
    case command::proxy:
      return run_proxy(options);
    case command::publish:
      return run_publish(options);
    case command::check:
      return run_check(options);
    case command::status:
      return run_status(options);
    case command::history:
      return run_history(options);
    case command::diff:
      return run_diff(options);
    case command::drain:
      return run_drain(options);
  }
  return exit_code::internal;
}

int
main(int argc, char** argv)
{
  const QCoreApplication application(argc, argv);
  cxxopts::Options options = build_option_parser();
  try {
    const cxxopts::ParseResult line = options.parse(argc, argv);
    if (line.count("help") > 0) {
      std::cout << options.help() << '\n';
      return static_cast<int>(exit_code::ok);
    }
    if (line.count("version") > 0) {
      std::cout << "shallotfield " << PROGRAM_VERSION << '\n';
      return static_cast<int>(exit_code::ok);
    }
    const std::optional<command> name = parse_enum<command>(text_option(line, "command"));
    if (!name) {
      std::cerr << options.help() << '\n';
      return static_cast<int>(exit_code::usage);
    }
    return static_cast<int>(run_command(*name, collect_options(line)));
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "error=usage detail=\"" << error.what() << "\"\n";
    return static_cast<int>(exit_code::usage);
  }
}
