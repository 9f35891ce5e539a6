// Stand-in for the platform's append-only log service: HTTP, offsets, bounded retention, and
// faults that are switched while it runs.
#include "process/process.h"

#include <QCoreApplication>
#include <QHostAddress>
#include <QHttpServer>
#include <QHttpServerResponder>
#include <QTimer>
#include <QUrlQuery>
#include <deque>
#include <iostream>
#include <list>
#include <nlohmann/json.hpp>

using namespace shallotfield;
using nlohmann::json;

namespace {

/** How the service misbehaves. */
enum class log_mode
{
  ok,           ///< It works.
  outage,       ///< Every call is answered with 503.
  slow,         ///< Every call is answered after a delay.
  lose_answers, ///< Appends take effect, but their answer is 500.
};

constexpr enum_table<log_mode, 4> LOG_MODE_ROWS = { {
  { log_mode::ok, "ok" },
  { log_mode::outage, "outage" },
  { log_mode::slow, "slow" },
  { log_mode::lose_answers, "lose_answers" },
} };
static_assert(is_complete(LOG_MODE_ROWS, log_mode::lose_answers));

constexpr const auto&
enum_rows(log_mode)
{
  return LOG_MODE_ROWS;
}

constexpr int SLOW_MS = 2000;

/** A read that waits for its record. */
struct waiting_read
{
  std::uint64_t from;
  std::uint64_t limit;
  QHttpServerResponder responder;
};

/** One stream. */
struct stream
{
  std::uint64_t first = 1;
  std::deque<QByteArray> records;
  std::list<waiting_read> waiting;

  std::uint64_t next() const { return first + records.size(); }
};

/** The service. */
class log_service
{
public:
  log_service()
  {
    using method = QHttpServerRequest::Method;
    server_.route("/streams/<arg>/records",
                  method::Get,
                  [this](const QString& name,
                         const QHttpServerRequest& request,
                         QHttpServerResponder&& responder) {
                    later(std::move(responder),
                          [this, name, query = request.query()](QHttpServerResponder&& to) {
                            read(name, query, std::move(to));
                          });
                  });
    server_.route(
      "/streams/<arg>/records",
      method::Post,
      [this](
        const QString& name, const QHttpServerRequest& request, QHttpServerResponder&& responder) {
        later(std::move(responder), [this, name, body = request.body()](QHttpServerResponder&& to) {
          append(name, body, std::move(to));
        });
      });
    server_.route(
      "/mode/<arg>", method::Post, [this](const QString& name, QHttpServerResponder&& responder) {
        const auto mode = parse_enum<log_mode>(name.toStdString());
        mode_ = mode.value_or(mode_);
        responder.write(mode ? QHttpServerResponder::StatusCode::Ok
                             : QHttpServerResponder::StatusCode::BadRequest);
      });
    server_.route("/streams/<arg>/keep/<arg>",
                  method::Post,
                  [this](const QString& name, quint64 count, QHttpServerResponder&& responder) {
                    stream& target = streams_[name];
                    while (target.records.size() > count) {
                      target.records.pop_front();
                      ++target.first;
                    }
                    responder.write(QHttpServerResponder::StatusCode::Ok);
                  });
    server_.route("/stats", method::Get, [this] {
      const json stats = { { "reads", reads_ }, { "appends", appends_ }, { "bytes", bytes_ } };
      return QHttpServerResponse("application/json", QByteArray::fromStdString(stats.dump()));
    });
  }

  std::uint16_t listen(std::uint16_t port) { return server_.listen(QHostAddress::LocalHost, port); }

private:
  using action = std::function<void(QHttpServerResponder&&)>;

  /** Applies the mode to a call. */
  void later(QHttpServerResponder&& responder, const action& act)
  {
    if (mode_ == log_mode::outage) {
      responder.write(QHttpServerResponder::StatusCode::ServiceUnavailable);
      return;
    }
    if (mode_ != log_mode::slow) {
      act(std::move(responder));
      return;
    }
    auto held = std::make_shared<QHttpServerResponder>(std::move(responder));
    QTimer::singleShot(SLOW_MS, &server_, [held, act] { act(std::move(*held)); });
  }

  void answer_read(const stream& from,
                   std::uint64_t offset,
                   std::uint64_t limit,
                   QHttpServerResponder& to)
  {
    json answer = { { "first", from.first },
                    { "next", from.next() },
                    { "records", json::array() } };
    for (std::uint64_t at = std::max(offset, from.first);
         at < from.next() && answer["records"].size() < limit;
         ++at) {
      answer["records"].push_back(
        { { "offset", at }, { "data", from.records[at - from.first].toBase64().toStdString() } });
    }
    const std::string text = answer.dump();
    bytes_ += text.size();
    to.write(QByteArray::fromStdString(text), "application/json");
  }

  void read(const QString& name, const QUrlQuery& query, QHttpServerResponder&& responder)
  {
    ++reads_;
    stream& from = streams_[name];
    const auto number = [&query](const char* key) {
      return query.queryItemValue(key).toULongLong();
    };
    const std::uint64_t offset = number("from");
    if (offset < from.next() || number("wait_ms") == 0) {
      answer_read(from, offset, number("limit"), responder);
      return;
    }
    from.waiting.push_back({ offset, number("limit"), std::move(responder) });
    const auto item = std::prev(from.waiting.end());
    item_ids_[&*item] = ++next_wait_;
    QTimer::singleShot(static_cast<int>(number("wait_ms")),
                       &server_,
                       [this, &from, target = &*item, id = next_wait_] {
                         const auto known = item_ids_.find(target);
                         if (known != item_ids_.end() && known->second == id) {
                           finish_wait(from, target);
                         }
                       });
  }

  void finish_wait(stream& from, const waiting_read* target)
  {
    for (auto it = from.waiting.begin(); it != from.waiting.end(); ++it) {
      if (&*it == target) {
        answer_read(from, it->from, it->limit, it->responder);
        item_ids_.erase(target);
        from.waiting.erase(it);
        return;
      }
    }
  }

  void append(const QString& name, const QByteArray& body, QHttpServerResponder&& responder)
  {
    ++appends_;
    stream& to = streams_[name];
    const std::uint64_t offset = to.next();
    to.records.push_back(body);
    std::vector<const waiting_read*> waiting;
    for (const waiting_read& item : to.waiting) {
      waiting.push_back(&item);
    }
    for (const waiting_read* item : waiting) {
      finish_wait(to, item);
    }
    if (mode_ == log_mode::lose_answers) {
      responder.write(QHttpServerResponder::StatusCode::InternalServerError);
      return;
    }
    responder.write(QByteArray::fromStdString(json{ { "offset", offset } }.dump()),
                    "application/json");
  }

  QHttpServer server_;
  log_mode mode_ = log_mode::ok;
  std::map<QString, stream> streams_;
  std::map<const waiting_read*, std::uint64_t> item_ids_;
  std::uint64_t next_wait_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t appends_ = 0;
  std::uint64_t bytes_ = 0;
};

} // namespace

int
main(int argc, char** argv)
{
  const QCoreApplication application(argc, argv);
  log_service service;
  const std::uint16_t wanted =
    argc > 1 ? static_cast<std::uint16_t>(std::stoi(argv[1])) : std::uint16_t{ 0 };
  const std::uint16_t port = service.listen(wanted);
  std::cout << "event=listening edge=log port=" << port << std::endl;
  return port == 0 ? 1 : QCoreApplication::exec();
}
