// HTTP client for the operators' port of a node.
#include "operator_client.h"

#include <QEventLoop>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <boost/leaf/error.hpp>

namespace leaf = boost::leaf;

namespace shallotfield {

/** Time limit of a response. Nodes respond at once, but the limit exceeds the largest
 * publish_timeout_ms, 120 s, so it would suffice even if the response to a publish waited for the
 * verdict. */
static constexpr int RESPONSE_TIMEOUT_MS = 130'000;

/** Builds a request with the JSON content type, the token and the time limit. */
static QNetworkRequest
build_request(const operator_target& target, const std::string& path)
{
  QNetworkRequest request(QUrl(QString::fromStdString("http://" + target.node.host + ":" +
                                                      std::to_string(target.node.port) + path)));
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  request.setRawHeader("Authorization", QByteArray::fromStdString("Bearer " + target.token));
  request.setTransferTimeout(RESPONSE_TIMEOUT_MS);
  return request;
}

/**
 * Runs a nested event loop until a reply has finished and parses its body. A failure before the
 * connection was open proves that the node got nothing; after any other failure without a response
 * the outcome is unknown.
 */
static leaf::result<nlohmann::json>
await_reply(QNetworkReply& reply)
{
  QEventLoop loop;
  QObject::connect(&reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
  if (!reply.isFinished()) {
    loop.exec();
  }
  const int status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  const std::string body = reply.readAll().toStdString();
  if (status == 0) {
    const bool was_never_sent = reply.error() == QNetworkReply::ConnectionRefusedError ||
                                reply.error() == QNetworkReply::HostNotFoundError;
    return leaf::new_error(call_error{ was_never_sent ? exit_code::unavailable : exit_code::unknown,
                                       reply.errorString().toStdString() });
  }
  if (reply.error() != QNetworkReply::NoError) {
    return leaf::new_error(call_error{ exit_code::refused, body });
  }
  nlohmann::json value = nlohmann::json::parse(body, nullptr, false);
  if (value.is_discarded()) {
    return leaf::new_error(call_error{ exit_code::unknown, body });
  }
  return value;
}

leaf::result<nlohmann::json>
get_json(const operator_target& target, const std::string& path)
{
  QNetworkAccessManager manager;
  const std::unique_ptr<QNetworkReply> reply(manager.get(build_request(target, path)));
  return await_reply(*reply);
}

leaf::result<nlohmann::json>
post_json(const operator_target& target, const std::string& path, const nlohmann::json& body)
{
  QNetworkAccessManager manager;
  const std::unique_ptr<QNetworkReply> reply(
    manager.post(build_request(target, path), QByteArray::fromStdString(body.dump())));
  return await_reply(*reply);
}

} // namespace shallotfield
