// A fake of the platform's metadata store on the Qt event loop. It holds pages of one keyed topic
// and counts the calls.
#pragma once
#include "connection/connection.h"

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QUrl>
#include <QUrlQuery>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace shallotfield {

/** The store. */
class fake_store
{
public:
  /** Items of each page of `keyed.nodes`, in order; the last page has no successor. */
  std::vector<nlohmann::json> pages;
  std::vector<std::string> page_calls; ///< Value of `after` of each call for a page.
  std::string operator_page = R"({"items":[],"has_more":false,"end":0})"; ///< Of `keyed.op`.
  std::string tail;                    ///< Body of each response to a read from an offset.
  std::vector<std::string> appended;   ///< Body of each call that appends a record.
  std::vector<std::string> tail_calls; ///< Value of `from` of each such call.

  fake_store()
  {
    server_.listen(QHostAddress::LocalHost);
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] {
      QTcpSocket* socket = server_.nextPendingConnection();
      auto reader = std::make_shared<request_reader>(1U << 20U);
      QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket, reader] {
        std::optional<http_fault> fault;
        const QByteArray bytes = socket->readAll();
        const auto request =
          reader->feed({ bytes.data(), static_cast<std::size_t>(bytes.size()) }, fault);
        if (request) {
          if (request->head.method == "POST") {
            appended.push_back(request->body);
          }
          const std::string response = format_response(200, {}, answer(request->head.target), true);
          socket->write(response.data(), static_cast<qint64>(response.size()));
        }
      });
    });
  }

  std::uint16_t port() const { return server_.serverPort(); }

private:
  std::string answer(const std::string& target)
  {
    const QUrl url(QString::fromStdString(target));
    const QUrlQuery query(url);
    if (url.path() == "/v1/log-append") {
      return R"({"offset":0,"end":1})";
    }
    if (url.path() == "/v1/log-read") {
      tail_calls.push_back(query.queryItemValue("from").toStdString());
      return tail;
    }
    if (query.queryItemValue("topic") == "keyed.op") {
      return operator_page;
    }
    const std::string after = query.queryItemValue("after").toStdString();
    page_calls.push_back(after);
    // The first page whose last key follows the given one.
    for (std::size_t i = 0; i < pages.size(); ++i) {
      const nlohmann::json& last = pages[i].back();
      const bool has_key = last.is_object() && last.contains("key") && last["key"].is_string();
      if (after.empty() || !has_key || last["key"].get<std::string>() > after) {
        return nlohmann::json{
          { "items", pages[i] }, { "has_more", i + 1 < pages.size() }, { "end", 9 }
        }.dump();
      }
    }
    return R"({"items":[],"has_more":false,"end":9})";
  }

  QTcpServer server_; ///< Listens on a free port of the loopback interface.
};

} // namespace shallotfield
