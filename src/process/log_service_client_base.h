// Client of the platform's log service, over HTTP.
#pragma once
#include "log_service_type.h"

#include <QNetworkAccessManager>
#include <functional>

class QNetworkReply;

namespace shallotfield {

/**
 * Parses the body of an answer to a read.
 * @param body JSON: `{"first":N,"next":N,"records":[{"offset":N,"data":"base64"},…]}`.
 * @return The page, or log_service_fault::malformed.
 */
log_service_result
parse_log_service_page(const std::string& body);

/**
 * Calls the log service. The library may send a request again by itself when a connection drops;
 * that does no harm here, since a repeated proposal is recognised by its publish id, and a
 * repeated snapshot says the same.
 */
class log_service_client
{
public:
  using handler = std::function<void(log_service_result)>;

  /**
   * @param base_url Base URL of the service, without a trailing slash.
   * @param timeout_ms Timeout of a call, on top of the time that a read asks to wait.
   */
  log_service_client(std::string base_url, std::int64_t timeout_ms);

  /**
   * Reads records.
   * @param stream The stream.
   * @param from First offset wanted.
   * @param limit Most records wanted.
   * @param wait_ms How long the service holds the call if there is no such record yet.
   * @param done Gets a log_service_page or a log_service_fault.
   */
  void read(log_service_stream stream,
            std::uint64_t from,
            std::uint64_t limit,
            std::int64_t wait_ms,
            const handler& done);

  /**
   * Appends a record.
   * @param stream The stream.
   * @param bytes The record.
   * @param done Gets a log_service_appended or a log_service_fault.
   */
  void append(log_service_stream stream, const std::string& bytes, const handler& done);

private:
  /** Hands the outcome of a reply to its handler. */
  static void watch(QNetworkReply* reply,
                    const std::function<log_service_result(const std::string&)>& parse,
                    const handler& done);

  std::string base_url_;          ///< Without a trailing slash.
  std::int64_t timeout_ms_;       ///< Timeout of a call.
  QNetworkAccessManager manager_; ///< Connections to the service.
};

} // namespace shallotfield
