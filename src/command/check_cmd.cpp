// The `check` command: reviews a configuration before it is published.
#include "command_func.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace leaf = boost::leaf;
using nlohmann::json;

namespace shallotfield {

leaf::result<std::string>
read_file(const std::string& option, const std::string& path)
{
  std::ifstream file(path);
  if (path.empty() || !file) {
    return leaf::new_error(option_error{ option });
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

namespace {

/** What a check found. */
struct check_report
{
  json summary;                               ///< What the configuration holds.
  std::vector<review_finding> findings;       ///< What the operator is unlikely to have meant.
  std::vector<config_difference> differences; ///< What differs from the version in force.
};

} // namespace

/** Checks a document of nodes. */
static leaf::result<check_report>
check_document(const std::string& text)
{
  BOOST_LEAF_AUTO(value, parse_bounded_json(text));
  BOOST_LEAF_AUTO(parsed, parse_document(value));
  return check_report{ { { "services", parsed.services.size() },
                         { "routes", parsed.routes.size() },
                         { "digest", sha256_hex(canonical_text(value)) } },
                       review_configuration(parsed),
                       {} };
}

/** Checks a configuration of proxies. `base` is the text of the version in force; empty: none. */
static leaf::result<check_report>
check_proxy_configuration(const std::string& text, const std::string& base)
{
  BOOST_LEAF_AUTO(parsed, platform::parse_configuration(text));
  const route_table table(std::move(parsed));
  const route_document& content = table.content();
  check_report report;
  report.summary = { { "version", content.version },
                     { "services", content.services.size() },
                     { "routes", content.rules.size() },
                     { "accounts", content.accounts.size() } };
  report.findings = review_configuration(table);
  if (!base.empty()) {
    BOOST_LEAF_AUTO(in_force, platform::parse_configuration(base));
    const auto succession = review_succession(content, in_force);
    report.findings.insert(report.findings.end(), succession.begin(), succession.end());
    report.differences = compare_configurations(content, in_force);
  }
  return report;
}

/** Prints a report as one JSON object. */
static void
print_json(const check_report& report)
{
  json findings = json::array();
  for (const review_finding& item : report.findings) {
    findings.push_back({ { "fault", enum_name(item.fault) },
                         { "section", enum_name(item.section) },
                         { "name", item.name },
                         { "detail", item.detail } });
  }
  json differences = json::array();
  for (const config_difference& item : report.differences) {
    differences.push_back({ { "change", enum_name(item.change) },
                            { "section", enum_name(item.section) },
                            { "name", item.name },
                            { "detail", item.detail } });
  }
  json whole = report.summary;
  whole["result"] = "valid";
  whole["findings"] = std::move(findings);
  whole["differences"] = std::move(differences);
  std::cout << canonical_text(whole) << '\n';
}

/** Prints a report as lines of key=value pairs. */
static void
print_lines(const check_report& report)
{
  std::cout << "result=valid";
  for (const auto& [key, value] : report.summary.items()) {
    std::cout << ' ' << key << '=' << (value.is_string() ? value.get<std::string>() : value.dump());
  }
  std::cout << " findings=" << report.findings.size() << '\n';
  for (const review_finding& item : report.findings) {
    std::cout << "finding=" << enum_name(item.fault) << " section=" << enum_name(item.section)
              << " name=" << json(item.name).dump() << " detail=" << json(item.detail).dump()
              << '\n';
  }
  for (const config_difference& item : report.differences) {
    std::cout << "difference=" << enum_name(item.change) << " section=" << enum_name(item.section)
              << " name=" << json(item.name).dump() << " detail=" << json(item.detail).dump()
              << '\n';
  }
}

exit_code
run_check(const command_options& options)
{
  return run_and_report_errors([&]() -> leaf::result<exit_code> {
    const std::optional<config_format> format = parse_enum<config_format>(options.format);
    if (!format) {
      return leaf::new_error(option_error{ "format" });
    }
    BOOST_LEAF_AUTO(text, read_file("file", options.document_path));
    std::string base;
    if (!options.base_path.empty()) {
      BOOST_LEAF_ASSIGN(base, read_file("base-file", options.base_path));
    }
    BOOST_LEAF_AUTO(report,
                    *format == config_format::proxy ? check_proxy_configuration(text, base)
                                                    : check_document(text));
    if (options.as_json) {
      print_json(report);
    } else {
      print_lines(report);
    }
    return report.findings.empty() ? exit_code::ok : exit_code::findings;
  });
}

} // namespace shallotfield
