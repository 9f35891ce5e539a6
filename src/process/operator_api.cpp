// The HTTP API on the operators' port.
#include "operator_api_base.h"

#include <QHostAddress>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace leaf = boost::leaf;
using nlohmann::json;

namespace shallotfield {

/** Largest length of a text field, such as a publish id or an author. */
static constexpr std::size_t TEXT_BYTES_MAX = 200;

/** Number of finished publishes whose results are kept for polling. */
static constexpr std::size_t FINISHED_PUBLISHES_MAX = 256;

/** Largest number of slots that a backend server may announce. */
static constexpr std::uint64_t SLOTS_MAX = 100'000;

using status_code = QHttpServerResponder::StatusCode;

/** Builds the error for a rejected request. */
static leaf::error_id
make_error(operator_fault fault, std::string_view field)
{
  return leaf::new_error(operator_error{ fault, std::string(field) });
}

/** Parses a body that must be a JSON object, of limited size and depth. */
static leaf::result<json>
parse_object(std::string_view body)
{
  json value = leaf::try_handle_all([&] { return parse_bounded_json(body); },
                                    [] { return json(json::value_t::discarded); });
  if (!value.is_object()) {
    return make_error(operator_fault::not_json, "");
  }
  return value;
}

/** Reads a text field, which must be present, not empty and at most TEXT_BYTES_MAX long. */
static leaf::result<std::string>
read_text_field(const json& object, std::string_view key)
{
  const auto value = object.find(key);
  if (value == object.end() || !value->is_string()) {
    return make_error(operator_fault::missing_field, key);
  }
  std::string text = value->get<std::string>();
  if (text.empty() || text.size() > TEXT_BYTES_MAX) {
    return make_error(operator_fault::bad_value, key);
  }
  return text;
}

/** Reads an unsigned number field, which must be present and at most `maximum`. */
static leaf::result<std::uint64_t>
read_number_field(const json& object, std::string_view key, std::uint64_t maximum)
{
  const auto value = object.find(key);
  if (value == object.end() || !value->is_number_unsigned()) {
    return make_error(operator_fault::missing_field, key);
  }
  const auto number = value->get<std::uint64_t>();
  if (number > maximum) {
    return make_error(operator_fault::bad_value, key);
  }
  return number;
}

leaf::result<publish_requested>
parse_publish(std::string_view body)
{
  BOOST_LEAF_AUTO(value, parse_object(body));
  publish_requested result;
  BOOST_LEAF_ASSIGN(result.publish_id, read_text_field(value, "publish_id"));
  BOOST_LEAF_ASSIGN(result.author, read_text_field(value, "author"));
  if (value.contains("base_version")) {
    BOOST_LEAF_ASSIGN(result.base_version, read_number_field(value, "base_version", UINT64_MAX));
  }
  if (!value.contains("document")) {
    return make_error(operator_fault::missing_field, "document");
  }
  result.target = std::move(value["document"]);
  return result;
}

leaf::result<announcement>
parse_announcement(std::string_view body)
{
  BOOST_LEAF_AUTO(value, parse_object(body));
  announcement result;
  BOOST_LEAF_ASSIGN(result.info.service, read_text_field(value, "service"));
  BOOST_LEAF_ASSIGN(result.address.host, read_text_field(value, "host"));
  BOOST_LEAF_AUTO(port, read_number_field(value, "port", UINT16_MAX));
  BOOST_LEAF_AUTO(slots, read_number_field(value, "slots", SLOTS_MAX));
  BOOST_LEAF_AUTO(name, read_text_field(value, "state"));
  const std::optional<server_state> state = parse_enum<server_state>(name);
  if (!state) {
    return make_error(operator_fault::bad_value, "state");
  }
  if (QHostAddress(QString::fromStdString(result.address.host)).isNull() || port == 0) {
    return make_error(operator_fault::bad_value, "host");
  }
  result.address.port = static_cast<std::uint16_t>(port);
  result.info.slots = static_cast<std::uint32_t>(slots);
  result.info.state = *state;
  return result;
}

json
status_to_json(const control& state, instant now)
{
  const compiled_version_ptr& current = state.config().current();
  std::uint64_t member_count = 0;
  for (const auto& [id, record] : state.members().records()) {
    member_count += is_tombstone(record) ? 0 : 1;
  }
  const std::uint64_t reported_nodes = count_nodes(state.fleet());
  json fleet = summary_to_json(state.fleet());
  fleet["nodes"] = member_count;
  fleet["not_known"] = member_count > reported_nodes ? member_count - reported_nodes : 0;
  return { { "node", state.members().own().id },
           { "region", state.members().own().region },
           { "zone", state.members().own().zone },
           { "role", enum_name(state.plan().role) },
           { "parent", state.plan().parent.value_or("") },
           { "version", current->number },
           { "digest", current->digest },
           { "in_force_since", state.in_force_since() },
           { "offset", state.config().offset() },
           { "halted", state.is_halted() },
           { "in_touch_ms", std::max<mono_ms>(0, state.lease_until() - now.mono) },
           { "log_reachable", state.log().is_reachable },
           { "log_gap", state.log().has_gap },
           { "fleet", std::move(fleet) } };
}

json
publish_to_json(const send_publish_result& effect)
{
  json result = { { "result", enum_name(effect.result) }, { "version", effect.version } };
  if (effect.result == publish_result::duplicate) {
    result["verdict"] = enum_name(effect.earlier_verdict);
  }
  if (effect.error) {
    result["field"] = effect.error->field;
    result["fault"] = enum_name(effect.error->fault);
  }
  if (effect.result == publish_result::conflict) {
    result["since"] = json::array();
    for (const proposal_verdict& item : effect.since) {
      result["since"].push_back(verdict_to_json(item));
    }
  }
  return result;
}

/** Sends a JSON response in its canonical form. */
static void
send_json(QHttpServerResponder& responder, const json& value, status_code status)
{
  responder.write(
    QByteArray::fromStdString(canonical_text(value) + "\n"), "application/json", status);
}

/** Logs and counts a rejected request, and responds with its error. */
static void
send_error(QHttpServerResponder& responder, const operator_error& error)
{
  count(counter_id::inputs_refused);
  write_log(
    log_event::input_refused,
    { { "edge", "operators" }, { "fault", enum_name(error.fault) }, { "field", error.field } });
  const bool is_unauthorized = error.fault == operator_fault::no_token;
  send_json(responder,
            { { "error", enum_name(error.fault) }, { "field", error.field } },
            is_unauthorized ? status_code::Unauthorized : status_code::BadRequest);
}

operator_api::operator_api(const settings& options, const control& state)
  : options_(options)
  , state_(state)
{
  add_read_routes();
  add_write_routes();
}

std::uint16_t
operator_api::listen()
{
  return server_.listen(QHostAddress(QString::fromStdString(options_.host)),
                        static_cast<quint16>(options_.operators_port));
}

bool
operator_api::is_authorized(const QHttpServerRequest& request) const
{
  return request.value("Authorization").toStdString() == "Bearer " + options_.operators_token;
}

void
operator_api::add_read_routes()
{
  server_.route("/metrics", QHttpServerRequest::Method::Get, [] {
    return QHttpServerResponse("text/plain; version=0.0.4",
                               QByteArray::fromStdString(metrics_text()));
  });
  server_.route("/v1/status",
                QHttpServerRequest::Method::Get,
                [this](const QHttpServerRequest&, QHttpServerResponder&& responder) {
                  send_json(responder, status_to_json(state_, read_clocks()), status_code::Ok);
                });
  server_.route("/v1/config",
                QHttpServerRequest::Method::Get,
                [this](const QHttpServerRequest&, QHttpServerResponder&& responder) {
                  const compiled_version_ptr& current = state_.config().current();
                  send_json(responder,
                            { { "version", current->number }, { "document", current->source } },
                            status_code::Ok);
                });
  server_.route("/v1/history",
                QHttpServerRequest::Method::Get,
                [this](const QHttpServerRequest&, QHttpServerResponder&& responder) {
                  json list = json::array();
                  for (const proposal_verdict& item : state_.config().verdicts()) {
                    list.push_back(verdict_to_json(item));
                  }
                  send_json(responder, { { "judgements", std::move(list) } }, status_code::Ok);
                });
  server_.route("/v1/publish/<arg>",
                QHttpServerRequest::Method::Get,
                [this](const QString& publish_id, QHttpServerResponder&& responder) {
                  send_publish_status(publish_id, std::move(responder));
                });
  server_.route("/v1/members",
                QHttpServerRequest::Method::Get,
                [this](const QHttpServerRequest&, QHttpServerResponder&& responder) {
                  json list = json::array();
                  for (const auto& [id, record] : state_.members().records()) {
                    list.push_back(member_to_json(record));
                  }
                  send_json(responder, { { "members", std::move(list) } }, status_code::Ok);
                });
}

void
operator_api::add_write_routes()
{
  using member_handler =
    leaf::result<void> (operator_api::*)(std::string_view, QHttpServerResponder&);
  const auto add = [this](const QString& path, member_handler handler) {
    server_.route(
      path,
      QHttpServerRequest::Method::Post,
      [this, handler](const QHttpServerRequest& request, QHttpServerResponder&& responder) {
        handle_write(request, std::move(responder), [this, handler](auto body, auto& to) {
          return (this->*handler)(body, to);
        });
      });
  };
  add("/v1/publish", &operator_api::handle_publish);
  add("/v1/server", &operator_api::handle_announcement);
  add("/v1/drain", &operator_api::handle_drain);
}

void
operator_api::handle_write(const QHttpServerRequest& request,
                           QHttpServerResponder&& responder,
                           const write_handler& handler)
{
  const QByteArray body = request.body();
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      if (!is_authorized(request)) {
        return make_error(operator_fault::no_token, "");
      }
      return handler({ body.data(), static_cast<std::size_t>(body.size()) }, responder);
    },
    [&](const operator_error& error) { send_error(responder, error); },
    [&] {
      send_error(responder, { operator_fault::not_json, "" });
    });
}

leaf::result<void>
operator_api::handle_publish(std::string_view body, QHttpServerResponder& responder)
{
  BOOST_LEAF_AUTO(event, parse_publish(body));
  event.publish = next_publish_++; // The ticket, which the result will carry.
  const std::string id = event.publish_id;
  pending_publishes_[event.publish] = id;
  // When a publish is retried with its id, the former result must not be taken for the new one.
  finished_publishes_.erase(id);
  on_publish(std::move(event));
  send_publish_status(QString::fromStdString(id), std::move(responder));
  return {};
}

void
operator_api::store_publish_result(const send_publish_result& effect)
{
  const auto found = pending_publishes_.find(effect.publish);
  if (found == pending_publishes_.end()) {
    return;
  }
  if (finished_publishes_.insert_or_assign(found->second, publish_to_json(effect)).second) {
    finished_order_.push_back(found->second);
  }
  pending_publishes_.erase(found);
  if (finished_order_.size() > FINISHED_PUBLISHES_MAX) {
    finished_publishes_.erase(finished_order_.front());
    finished_order_.pop_front();
  }
}

void
operator_api::send_publish_status(const QString& publish_id, QHttpServerResponder&& responder)
{
  const auto finished = finished_publishes_.find(publish_id.toStdString());
  const bool is_pending = std::any_of(
    pending_publishes_.begin(), pending_publishes_.end(), [&publish_id](const auto& item) {
      return item.second == publish_id.toStdString();
    });
  if (finished != finished_publishes_.end()) {
    send_json(responder, finished->second, status_code::Ok);
  } else {
    send_json(responder, { { "result", is_pending ? "pending" : "unknown" } }, status_code::Ok);
  }
}

leaf::result<void>
operator_api::handle_announcement(std::string_view body, QHttpServerResponder& responder)
{
  BOOST_LEAF_AUTO(value, parse_announcement(body));
  on_server_announced(value);
  send_json(responder, { { "result", "noted" } }, status_code::Ok);
  return {};
}

leaf::result<void>
operator_api::handle_drain(std::string_view /*body*/, QHttpServerResponder& responder)
{
  send_json(responder, { { "result", "draining" } }, status_code::Ok);
  on_drain();
  return {};
}

} // namespace shallotfield
