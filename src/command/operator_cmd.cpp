// The commands for operators that call a node: publish, status, history, diff and drain.
#include "command.h"
#include "command_func.h"
#include "operator_client.h"
#include "version/version.h"

#include <QDateTime>
#include <QEventLoop>
#include <QTimer>
#include <QUrl>
#include <QUuid>
#include <iostream>

namespace leaf = boost::leaf;
using nlohmann::json;

namespace shallotfield {

/** Interval at which `status --watch` prints a line. */
static constexpr int WATCH_INTERVAL_MS = 1000;

/** Largest number of times that a publish is sent, with the same id, until its outcome is known. */
static constexpr int PUBLISH_ATTEMPTS_MAX = 3;

/** Interval at which a node is asked for the verdict on a pending publish. */
static constexpr int PUBLISH_POLL_INTERVAL_MS = 50;

/** Blocks for some time while the event loop keeps running. */
static void
wait_in_event_loop(int ms)
{
  QEventLoop loop;
  QTimer::singleShot(ms, &loop, &QEventLoop::quit);
  loop.exec();
}

/** Parses `--node` and `--token`. */
static leaf::result<operator_target>
parse_target(const command_options& options)
{
  const std::optional<endpoint> node = parse_endpoint(options.node);
  if (!node) {
    return leaf::new_error(option_error{ "node" });
  }
  return operator_target{ *node, options.token };
}

/** Formats a Unix time in ms as an ISO 8601 date and time in UTC. */
static std::string
format_time(std::int64_t unix_ms)
{
  return QDateTime::fromMSecsSinceEpoch(unix_ms, Qt::UTC).toString(Qt::ISODateWithMs).toStdString();
}

/** Percent-encodes a text for use as one segment of a URL path. */
static std::string
percent_encode(const std::string& text)
{
  return QUrl::toPercentEncoding(QString::fromStdString(text)).toStdString();
}

/**
 * Sends a publish and polls for its verdict. While the node responds that the outcome is unknown,
 * retries the publish with the same id, by which the fleet recognises the duplicate. A call
 * that fails ends the attempts.
 */
static leaf::result<json>
publish_until_known(const operator_target& target, const json& body, const std::string& id)
{
  json response = { { "result", "unknown" } };
  for (int i = 0; i < PUBLISH_ATTEMPTS_MAX && response.value("result", "") == "unknown"; ++i) {
    BOOST_LEAF_ASSIGN(response, post_json(target, "/v1/publish", body));
    while (response.value("result", "") == "pending") {
      wait_in_event_loop(PUBLISH_POLL_INTERVAL_MS);
      BOOST_LEAF_ASSIGN(response, get_json(target, "/v1/publish/" + percent_encode(id)));
    }
  }
  return response;
}

/** Maps the result of a publish to an exit code; a result that is not listed is a refusal. */
static exit_code
publish_exit_code(const std::string& result)
{
  static constexpr std::array<std::pair<std::string_view, exit_code>, 5> CODES = { {
    { "accepted", exit_code::ok },
    { "conflict", exit_code::conflict },
    { "invalid", exit_code::invalid },
    { "unavailable", exit_code::unavailable },
    { "unknown", exit_code::unknown },
  } };
  for (const auto& [name, code] : CODES) {
    if (name == result) {
      return code;
    }
  }
  return exit_code::refused;
}

exit_code
run_publish(const command_options& options)
{
  return run_and_report_errors([&]() -> leaf::result<exit_code> {
    BOOST_LEAF_AUTO(target, parse_target(options));
    BOOST_LEAF_AUTO(text, read_file("file", options.document_path));
    BOOST_LEAF_AUTO(value, parse_bounded_json(text));
    BOOST_LEAF_CHECK(parse_document(value));
    const std::string id = options.publish_id.empty()
                             ? QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString()
                             : options.publish_id;
    json body = { { "publish_id", id }, { "author", options.author }, { "document", value } };
    if (options.base_version) {
      body["base_version"] = *options.base_version;
    }
    BOOST_LEAF_AUTO(response, publish_until_known(target, body, id));
    const std::string result = response.value("result", "");
    std::cout << "result=" << result << " version=" << response.value("version", 0)
              << " publish_id=" << id;
    if (response.contains("verdict")) {
      std::cout << " verdict=" << response.value("verdict", "");
    }
    if (response.contains("fault")) {
      std::cout << " field=" << response.value("field", "")
                << " fault=" << response.value("fault", "");
    }
    std::cout << '\n';
    // After a conflict: the recent accepted versions that the document does not take into account.
    for (const json& item : response.value("since", json::array())) {
      if (!options.base_version || item.value("version", 0ULL) > *options.base_version) {
        std::cout << "since version=" << item.value("version", 0ULL)
                  << " author=" << item.value("author", "")
                  << " changed=" << item.value("changed", json::array()).dump() << '\n';
      }
    }
    // A duplicate ends like the earlier publish with the same id.
    const std::string effective_result =
      result == "duplicate" ? response.value("verdict", "") : result;
    return publish_exit_code(effective_result);
  });
}

/** Prints the status of a node: as JSON, or as one line of key=value pairs. */
static void
show_status(const json& status, bool as_json)
{
  if (as_json) {
    std::cout << status.dump() << std::endl;
    return;
  }
  const json fleet = status.value("fleet", json::object());
  const auto version = status.value("version", std::uint64_t{ 0 });
  // Number of nodes on which the version is in force.
  std::uint64_t nodes_in_force = 0;
  for (const json& item : fleet.value("counts", json::array())) {
    if (item.value("version", std::uint64_t{ 0 }) == version) {
      nodes_in_force = item.value("nodes", std::uint64_t{ 0 });
    }
  }
  std::cout << "version=" << version << " in_force_on=" << nodes_in_force
            << " nodes=" << fleet.value("nodes", std::uint64_t{ 0 })
            << " not_known=" << fleet.value("not_known", std::uint64_t{ 0 })
            << " since=" << format_time(status.value("in_force_since", std::int64_t{ 0 }))
            << " node=" << status.value("node", "") << " role=" << status.value("role", "")
            << " log=" << (status.value("log_reachable", false) ? "reachable" : "unreachable")
            << " lagging=" << fleet.value("lagging", json::array()).dump() << std::endl;
}

exit_code
run_status(const command_options& options)
{
  return run_and_report_errors([&]() -> leaf::result<exit_code> {
    BOOST_LEAF_AUTO(target, parse_target(options));
    for (;;) {
      BOOST_LEAF_AUTO(status, get_json(target, "/v1/status"));
      show_status(status, options.as_json);
      if (!options.watches) {
        return exit_code::ok;
      }
      wait_in_event_loop(WATCH_INTERVAL_MS);
    }
  });
}

exit_code
run_history(const command_options& options)
{
  return run_and_report_errors([&]() -> leaf::result<exit_code> {
    BOOST_LEAF_AUTO(target, parse_target(options));
    BOOST_LEAF_AUTO(history, get_json(target, "/v1/history"));
    if (options.as_json) {
      std::cout << history.dump() << '\n';
      return exit_code::ok;
    }
    const json list = history.value("judgements", json::array());
    for (std::size_t i = 0; i < list.size(); ++i) {
      const json& item = list[i];
      std::cout << "offset=" << item.value("offset", 0ULL)
                << " written=" << format_time(item.value("written_at", std::int64_t{ 0 }))
                << " verdict=" << item.value("verdict", "")
                << " version=" << item.value("version", 0ULL)
                << " author=" << item.value("author", "")
                << " publish_id=" << item.value("publish_id", "")
                << " changed=" << item.value("changed", json::array()).dump() << '\n';
    }
    return exit_code::ok;
  });
}

exit_code
run_diff(const command_options& options)
{
  return run_and_report_errors([&]() -> leaf::result<exit_code> {
    BOOST_LEAF_AUTO(target, parse_target(options));
    BOOST_LEAF_AUTO(text, read_file("file", options.document_path));
    BOOST_LEAF_AUTO(value, parse_bounded_json(text));
    BOOST_LEAF_CHECK(parse_document(value));
    BOOST_LEAF_AUTO(config, get_json(target, "/v1/config"));
    const json operations = json::diff(config.value("document", json::object()), value);
    std::cout << "base_version=" << config.value("version", 0ULL)
              << " changes=" << operations.size() << '\n';
    for (const json& operation : operations) {
      std::cout << operation.dump() << '\n';
    }
    return exit_code::ok;
  });
}

exit_code
run_drain(const command_options& options)
{
  return run_and_report_errors([&]() -> leaf::result<exit_code> {
    BOOST_LEAF_AUTO(target, parse_target(options));
    BOOST_LEAF_AUTO(response, post_json(target, "/v1/drain", json::object()));
    std::cout << "result=" << response.value("result", "") << '\n';
    return exit_code::ok;
  });
}

} // namespace shallotfield
