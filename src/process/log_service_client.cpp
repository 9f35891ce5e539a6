// HTTP client of the platform's log service.
#include "bounded_json.h"
#include "log_service_client_base.h"

#include <QByteArray>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>
#include <nlohmann/json.hpp>

namespace shallotfield {

static constexpr int HTTP_OK = 200;
static constexpr int HTTP_CLIENT_ERROR = 400;
static constexpr int HTTP_SERVER_ERROR = 500;
static constexpr int HTTP_UNAVAILABLE = 503;

/** Returns a member of a JSON object, or std::nullopt if it is absent or not an unsigned number. */
static std::optional<std::uint64_t>
unsigned_member(const nlohmann::json& object, const char* key)
{
  const auto value = object.find(key);
  if (value == object.end() || !value->is_number_unsigned()) {
    return std::nullopt;
  }
  return value->get<std::uint64_t>();
}

/** Parses one record of a page; std::nullopt if it is malformed. */
static std::optional<log_service_record>
parse_log_service_record(const nlohmann::json& item)
{
  if (!item.is_object()) {
    return std::nullopt;
  }
  const auto offset = unsigned_member(item, "offset");
  const auto data = item.find("data");
  if (!offset || data == item.end() || !data->is_string()) {
    return std::nullopt;
  }
  const auto decoded = QByteArray::fromBase64Encoding(
    QByteArray::fromStdString(data->get<std::string>()),
    QByteArray::Base64Encoding | QByteArray::AbortOnBase64DecodingErrors);
  if (!decoded) {
    return std::nullopt;
  }
  return log_service_record{ *offset, decoded.decoded.toStdString() };
}

log_service_result
parse_log_service_page(const std::string& body)
{
  const nlohmann::json response = parse_bounded_json(body, LOG_SERVICE_JSON_LIMITS);
  if (!response.is_object()) {
    return log_service_fault::malformed;
  }
  const auto first = unsigned_member(response, "first");
  const auto next = unsigned_member(response, "next");
  const auto records = response.find("records");
  if (!first || !next || records == response.end() || !records->is_array()) {
    return log_service_fault::malformed;
  }
  log_service_page page{ *first, *next, {} };
  for (const nlohmann::json& item : *records) {
    std::optional<log_service_record> record = parse_log_service_record(item);
    const bool is_consecutive =
      record && (page.records.empty() || record->offset == page.records.back().offset + 1);
    if (!is_consecutive || record->offset < page.first || record->offset >= page.next) {
      return log_service_fault::malformed;
    }
    page.records.push_back(std::move(*record));
  }
  return page;
}

/** Parses the response to an append. */
static log_service_result
parse_append_response(const std::string& body)
{
  const nlohmann::json response = parse_bounded_json(body, LOG_SERVICE_JSON_LIMITS);
  const auto offset =
    response.is_object() ? unsigned_member(response, "offset") : std::optional<std::uint64_t>();
  if (!offset) {
    // The record was written, but its offset is unknown. Unlike malformed, no_response says that an
    // append may have taken effect.
    return log_service_fault::no_response;
  }
  return log_service_appended{ *offset };
}

/**
 * Classifies a failed reply. Only a rejection by the service, or a connection that was never open,
 * proves that nothing was written.
 */
static log_service_fault
classify_failure(const QNetworkReply& reply, int status)
{
  const bool is_client_error = status >= HTTP_CLIENT_ERROR && status < HTTP_SERVER_ERROR;
  if (is_client_error || status == HTTP_UNAVAILABLE) {
    return log_service_fault::refused;
  }
  switch (reply.error()) {
    case QNetworkReply::ConnectionRefusedError:
    case QNetworkReply::HostNotFoundError:
      return log_service_fault::unreachable;
    default:
      return log_service_fault::no_response;
  }
}

log_service_client::log_service_client(std::string base_url, std::int64_t timeout_ms)
  : base_url_(std::move(base_url))
  , timeout_ms_(timeout_ms)
{
}

void
log_service_client::on_finished(QNetworkReply* reply,
                                const std::function<log_service_result(const std::string&)>& parse,
                                const handler& done)
{
  QObject::connect(reply, &QNetworkReply::finished, reply, [reply, parse, done] {
    reply->deleteLater();
    const int status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    if (reply->error() == QNetworkReply::NoError && status == HTTP_OK) {
      done(parse(reply->readAll().toStdString()));
    } else {
      done(classify_failure(*reply, status));
    }
  });
}

void
log_service_client::read(log_service_stream stream,
                         std::uint64_t from,
                         std::uint64_t limit,
                         std::int64_t wait_ms,
                         const handler& done)
{
  const std::string url = base_url_ + "/streams/" + std::string(enum_name(stream)) +
                          "/records?from=" + std::to_string(from) +
                          "&limit=" + std::to_string(limit) + "&wait_ms=" + std::to_string(wait_ms);
  QNetworkRequest request(QUrl(QString::fromStdString(url)));
  request.setTransferTimeout(static_cast<int>(timeout_ms_ + wait_ms));
  on_finished(manager_.get(request), parse_log_service_page, done);
}

void
log_service_client::append(log_service_stream stream, const std::string& bytes, const handler& done)
{
  const std::string url = base_url_ + "/streams/" + std::string(enum_name(stream)) + "/records";
  QNetworkRequest request(QUrl(QString::fromStdString(url)));
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/octet-stream");
  request.setTransferTimeout(static_cast<int>(timeout_ms_));
  on_finished(
    manager_.post(request, QByteArray::fromStdString(bytes)), parse_append_response, done);
}

} // namespace shallotfield
