// The HTTP API on the operators' port of a node: publishing and reading the configuration, status,
// metrics, draining, and the announcements of the local backend server.
#pragma once
#include "control_base.h"

#include <QHttpServer>
#include <QHttpServerResponder>
#include <deque>
#include <functional>
#include <map>

namespace shallotfield {

/** Why a request to the operators' port was rejected. */
enum class operator_fault
{
  no_token,      ///< The bearer token is missing or wrong.
  not_json,      ///< The body is not a JSON object.
  missing_field, ///< A field is absent or has the wrong JSON type.
  bad_value,     ///< A value is empty, too long, out of range or not a valid name.
};

inline constexpr enum_table<operator_fault, 4> OPERATOR_FAULT_ROWS = { {
  { operator_fault::no_token, "no_token" },
  { operator_fault::not_json, "not_json" },
  { operator_fault::missing_field, "missing_field" },
  { operator_fault::bad_value, "bad_value" },
} };
static_assert(is_complete(OPERATOR_FAULT_ROWS, operator_fault::bad_value));

/** Returns the name table of operator faults. */
constexpr const auto&
enum_rows(operator_fault)
{
  return OPERATOR_FAULT_ROWS;
}

/** Why a request was rejected, and the field at fault. */
struct operator_error
{
  operator_fault fault; ///< What is wrong.
  std::string field;    ///< Name of the field; empty if the fault is not in a field.
  bool operator==(const operator_error&) const = default;
};

/** The announcement that a backend server repeats to renew its lease. */
struct announcement
{
  server_info info; ///< Its service, slots and state.
  endpoint address; ///< Its address.
  bool operator==(const announcement&) const = default;
};

/**
 * Parses the body of a publish, which is untrusted:
 * `{"publish_id":TEXT,"author":TEXT,"base_version":N,"document":{…}}`, where base_version may be
 * absent. The document itself is not validated here. Returns the event without its ticket, the
 * member `publish`, which operator_api sets. Fails with operator_error.
 */
boost::leaf::result<publish_requested>
parse_publish(std::string_view body);

/**
 * Parses the body of an announcement, which is untrusted:
 * `{"service":TEXT,"host":IP,"port":N,"slots":N,"state":NAME}`. Fails with operator_error.
 */
boost::leaf::result<announcement>
parse_announcement(std::string_view body);

/** Returns the response to GET /v1/status, which the `status` command prints. */
nlohmann::json
status_to_json(const control& state, instant now);

/** Returns the result of a publish as JSON, which the `publish` command prints. */
nlohmann::json
publish_to_json(const send_publish_result& effect);

/**
 * HTTP server of the operators' port; lives on the control thread. Every request is answered
 * immediately: QHttpServer aborts the process if a deferred response is sent after the client has
 * disconnected. Clients therefore poll for the result of a publish.
 */
class operator_api
{
public:
  std::function<void(publish_requested&&)> on_publish;          ///< Called for each publish.
  std::function<void(const announcement&)> on_server_announced; ///< Called for each announcement.
  std::function<void()> on_drain; ///< Called when the node is asked to drain.

  /** Registers the routes. Both arguments must outlive this object. */
  operator_api(const settings& options, const control& state);

  /** Starts listening. Returns the port number; 0 if the port can't be opened. */
  std::uint16_t listen();

  /** Stores the result of a publish, for which its operator polls. Only the latest are kept. */
  void store_publish_result(const send_publish_result& effect);

private:
  /** Whether a request carries the operators' token. */
  bool is_authorized(const QHttpServerRequest& request) const;
  /** Registers the routes that only read; they need no token. */
  void add_read_routes();
  /** Registers the routes that change something; they need the token. */
  void add_write_routes();
  using write_handler =
    std::function<boost::leaf::result<void>(std::string_view, QHttpServerResponder&)>;
  /** Checks the token and runs a handler; responds with the error if either fails. */
  void handle_write(const QHttpServerRequest& request,
                    QHttpServerResponder&& responder,
                    const write_handler& handler);
  boost::leaf::result<void> handle_publish(std::string_view body, QHttpServerResponder& responder);
  /** Responds with the result of a publish, or "pending", or "unknown" for an unknown id. */
  void send_publish_status(const QString& publish_id, QHttpServerResponder&& responder);
  boost::leaf::result<void> handle_announcement(std::string_view body,
                                                QHttpServerResponder& responder);
  boost::leaf::result<void> handle_drain(std::string_view body, QHttpServerResponder& responder);

  const settings& options_; ///< Settings of the node.
  const control& state_;    ///< Read by the status, config, history and members routes.
  QHttpServer server_;      ///< Serves the routes.
  std::map<publish_ticket, std::string> pending_publishes_;  ///< Publish ids, by ticket.
  std::map<std::string, nlohmann::json> finished_publishes_; ///< Results, by publish id.
  std::deque<std::string> finished_order_; ///< Ids of the finished publishes, oldest first.
  publish_ticket next_publish_ = 1;        ///< Ticket of the next publish.
};

} // namespace shallotfield
