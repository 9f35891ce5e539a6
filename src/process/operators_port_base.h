// The operators' HTTP port: publishing, reading back, metrics, and announcements by the backend
// server beside the node.
#pragma once
#include "control_base.h"

#include <QHttpServer>
#include <QHttpServerResponder>
#include <deque>
#include <functional>
#include <map>

namespace shallotfield {

/** Why a call to the operators' port is refused. */
enum class operator_fault
{
  no_token,      ///< The token is missing or wrong.
  not_json,      ///< The body is no JSON.
  missing_field, ///< A field is absent or has the wrong type.
  bad_value,     ///< A value is out of range or none of the valid ones.
};

inline constexpr enum_table<operator_fault, 4> OPERATOR_FAULT_ROWS = { {
  { operator_fault::no_token, "no_token" },
  { operator_fault::not_json, "not_json" },
  { operator_fault::missing_field, "missing_field" },
  { operator_fault::bad_value, "bad_value" },
} };
static_assert(is_complete(OPERATOR_FAULT_ROWS, operator_fault::bad_value));

/** @return The name table of faults on the operators' port. */
constexpr const auto&
enum_rows(operator_fault)
{
  return OPERATOR_FAULT_ROWS;
}

/** A call that was refused. */
struct operator_error
{
  operator_fault fault; ///< Why.
  std::string field;    ///< The field, if it is one.
  bool operator==(const operator_error&) const = default;
};

/** A backend server's announcement. */
struct announcement
{
  server_info info; ///< What it is.
  endpoint at;      ///< Where it is.
  bool operator==(const announcement&) const = default;
};

/**
 * Parses a publish: `{"publish_id":TEXT,"author":TEXT,"base_version":N,"document":{…}}`;
 * base_version may be absent.
 * @param body The body, from outside.
 * @return The event, without a ticket; or operator_error.
 */
boost::leaf::result<publish_requested>
parse_publish(std::string_view body);

/**
 * Parses an announcement: `{"service":TEXT,"host":IP,"port":N,"slots":N,"state":NAME}`.
 * @param body The body, from outside.
 * @return The announcement; or operator_error.
 */
boost::leaf::result<announcement>
parse_announcement(std::string_view body);

/** @param state The control state. @param now Current time. @return What `status` shows. */
nlohmann::json
status_to_json(const control& state, instant now);

/** @param answer How a publish ended. @return What `publish` shows. */
nlohmann::json
publish_to_json(const send_publish_result& answer);

/**
 * Listens for operators. Lives on the control thread. Each call is answered at once: an answer that
 * the library's server is to send later ends the process if the caller has gone meanwhile, so
 * operators ask again for the outcome of a publish.
 */
class operators_port
{
public:
  std::function<void(publish_requested&&)> on_publish;          ///< An operator publishes.
  std::function<void(const announcement&)> on_server_announced; ///< The server announced itself.
  std::function<void()> on_drain; ///< An operator asks the node to leave.

  /** @param options Settings. @param state The control state, for reading back. */
  operators_port(const settings& options, const control& state);

  /** Opens the port. @return Its number; 0 if it can't be opened. */
  std::uint16_t listen();

  /** Keeps how a publish ended, for its operator to ask for. @param answer How it ended. */
  void answer(const send_publish_result& answer);

private:
  /** Whether a request carries the operators' token. */
  bool is_authorized(const QHttpServerRequest& request) const;
  void add_read_routes();
  void add_write_routes();
  using write_handler =
    std::function<boost::leaf::result<void>(std::string_view, QHttpServerResponder&)>;
  /** Makes a change if the token is right; answers with what is wrong otherwise. */
  void handle_write(const QHttpServerRequest& request,
                    QHttpServerResponder&& responder,
                    const write_handler& act);
  boost::leaf::result<void> handle_publish(std::string_view body, QHttpServerResponder& responder);
  void send_publish_status(const QString& publish_id, QHttpServerResponder&& responder);
  boost::leaf::result<void> handle_announcement(std::string_view body,
                                                QHttpServerResponder& responder);
  boost::leaf::result<void> handle_drain(std::string_view body, QHttpServerResponder& responder);

  const settings& options_;                                  ///< Settings.
  const control& state_;                                     ///< The control state.
  QHttpServer server_;                                       ///< The library's server.
  std::map<publish_ticket, std::string> publishes_;          ///< Ids of publishes under way.
  std::map<std::string, nlohmann::json> finished_publishes_; ///< How publishes ended, by id.
  std::deque<std::string> finished_order_;                   ///< Their ids, oldest first.
  publish_ticket next_publish_ = 1;                          ///< Number of the next publish.
};

} // namespace shallotfield
