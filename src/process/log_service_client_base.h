// HTTP client of the platform's log service.
#pragma once
#include "log_service_type.h"

#include <QNetworkAccessManager>
#include <functional>

class QNetworkReply;

namespace shallotfield {

/**
 * Parses the body of the response to a read. A page with any malformed record, with a gap, or with
 * an offset outside of [first, next) is rejected as a whole. Returns the page, or
 * log_service_fault::malformed.
 * @param body JSON: `{"first":N,"next":N,"records":[{"offset":N,"data":"base64"},…]}`.
 */
log_service_result
parse_log_service_page(const std::string& body);

/**
 * Asynchronous client of the log service. QNetworkAccessManager may resend a request on its own
 * when a connection breaks, so an append can take effect twice. This is harmless: a duplicate
 * proposal is recognised by its publish id, and a duplicate snapshot or census has the same
 * content.
 */
class log_service_client
{
public:
  using handler = std::function<void(log_service_result)>;

  /**
   * @param base_url Base URL of the service, without a trailing slash.
   * @param timeout_ms Time limit of a call; for a read that waits, its wait_ms is added.
   */
  log_service_client(std::string base_url, std::int64_t timeout_ms);

  /**
   * Reads up to `limit` records, as a long poll. `from` is the offset of the first record to
   * return. `wait_ms` limits how long the service may hold the call while there is no such record.
   * `done` is called with a log_service_page or a log_service_fault.
   */
  void read(log_service_stream stream,
            std::uint64_t from,
            std::uint64_t limit,
            std::int64_t wait_ms,
            const handler& done);

  /**
   * Appends a record with the content `bytes`. `done` is called with a log_service_appended or a
   * log_service_fault.
   */
  void append(log_service_stream stream, const std::string& bytes, const handler& done);

private:
  /** When a reply has finished, parses it or classifies its failure and calls the handler. */
  static void on_finished(QNetworkReply* reply,
                          const std::function<log_service_result(const std::string&)>& parse,
                          const handler& done);

  std::string base_url_;          ///< Base URL without a trailing slash.
  std::int64_t timeout_ms_;       ///< Time limit of a call.
  QNetworkAccessManager manager_; ///< Sends the requests and owns the connections.
};

} // namespace shallotfield
