// Stand-in for the platform's append-only log service: HTTP, offsets, bounded retention, and
// faults that are switched while it runs.
#include "http_port.h"
#include "process/process.h"

#include <QByteArray>
#include <QCoreApplication>
#include <QStringList>
#include <QTimer>
#include <QUrl>
#include <QUrlQuery>
#include <deque>
#include <iostream>

using namespace shallotfield;
using nlohmann::json;

namespace {

/** How the service misbehaves. */
enum class fault_mode
{
  ok,           ///< It works.
  outage,       ///< Every call is answered with 503.
  slow,         ///< Every call is answered after a delay.
  lose_answers, ///< Appends take effect, but their answer is 500.
};

constexpr enum_table<fault_mode, 4> FAULT_MODE_ROWS = { {
  { fault_mode::ok, "ok" },
  { fault_mode::outage, "outage" },
  { fault_mode::slow, "slow" },
  { fault_mode::lose_answers, "lose_answers" },
} };
static_assert(is_complete(FAULT_MODE_ROWS, fault_mode::lose_answers));

constexpr const auto&
enum_rows(fault_mode)
{
  return FAULT_MODE_ROWS;
}

constexpr int SLOW_RESPONSE_DELAY_MS = 2000;
constexpr unsigned OK = 200;
constexpr unsigned BAD_REQUEST = 400;
constexpr unsigned SERVER_ERROR = 500;
constexpr unsigned UNAVAILABLE = 503;

/** A read, which may wait for its record. */
struct pending_read
{
  http_port::connection_id requester = 0;
  std::uint64_t number = 0;
  std::uint64_t offset = 0;
  std::uint64_t limit = 0;
};

/** One stream. */
struct stream
{
  std::uint64_t first = 1;
  std::deque<std::string> records;
  std::vector<pending_read> waiting;

  std::uint64_t next() const { return first + records.size(); }
};

/** The service. */
class log_service
{
public:
  log_service()
  {
    port_.on_request = [this](http_port::connection_id id, http_request&& request) {
      take(id, request);
    };
  }

  std::uint16_t listen(std::uint16_t number)
  {
    port_.listen(QHostAddress::LocalHost, number);
    return port_.serverPort();
  }

private:
  void take(http_port::connection_id id, const http_request& request)
  {
    const QUrl url(QString::fromStdString(request.head.target));
    const QStringList path = url.path().split('/', Qt::SkipEmptyParts);
    if (path.size() == 3 && path[0] == "streams" && path[2] == "records") {
      call(id, request, path[1], QUrlQuery(url));
    } else {
      control(id, path);
    }
  }

  /** Applies the mode to a read or an append. */
  void call(http_port::connection_id id,
            const http_request& request,
            const QString& name,
            const QUrlQuery& query)
  {
    if (mode_ == fault_mode::outage) {
      port_.answer(id, UNAVAILABLE, "");
      return;
    }
    const std::function<void()> act = [this, id, request, name, query] {
      if (request.head.method == "POST") {
        append(id, name, request.body);
      } else {
        read(id, name, query);
      }
    };
    if (mode_ == fault_mode::slow) {
      QTimer::singleShot(SLOW_RESPONSE_DELAY_MS, &port_, act);
    } else {
      act();
    }
  }

  /** Takes the calls of tests: faults, retention, counts. */
  void control(http_port::connection_id id, const QStringList& path)
  {
    if (path.size() == 2 && path[0] == "mode") {
      const auto mode = parse_enum<fault_mode>(path[1].toStdString());
      mode_ = mode.value_or(mode_);
      port_.answer(id, mode ? OK : BAD_REQUEST, "");
    } else if (path.size() == 4 && path[0] == "streams" && path[2] == "keep") {
      stream& target = streams_[path[1]];
      while (target.records.size() > path[3].toULongLong()) {
        target.records.pop_front();
        ++target.first;
      }
      port_.answer(id, OK, "");
    } else {
      const json stats = { { "reads", reads_ }, { "appends", appends_ }, { "bytes", bytes_ } };
      port_.answer(id, OK, stats.dump() + "\n");
    }
  }

  void respond_to_read(const stream& from, const pending_read& asked)
  {
    json answer = { { "first", from.first },
                    { "next", from.next() },
                    { "records", json::array() } };
    for (std::uint64_t at = std::max(asked.offset, from.first);
         at < from.next() && answer["records"].size() < asked.limit;
         ++at) {
      const QByteArray bytes = QByteArray::fromStdString(from.records[at - from.first]);
      answer["records"].push_back({ { "offset", at }, { "data", bytes.toBase64().toStdString() } });
    }
    const std::string text = answer.dump();
    bytes_ += text.size();
    port_.answer(asked.requester, OK, text);
  }

  void read(http_port::connection_id id, const QString& name, const QUrlQuery& query)
  {
    ++reads_;
    stream& from = streams_[name];
    const auto number = [&query](const char* key) {
      return query.queryItemValue(key).toULongLong();
    };
    const pending_read asked{ id, ++next_read_, number("from"), number("limit") };
    if (asked.offset < from.next() || number("wait_ms") == 0) {
      respond_to_read(from, asked);
      return;
    }
    from.waiting.push_back(asked);
    QTimer::singleShot(static_cast<int>(number("wait_ms")), &port_, [this, &from, asked] {
      const auto is_same_read = [&asked](const pending_read& item) {
        return item.number == asked.number;
      };
      if (std::erase_if(from.waiting, is_same_read) > 0) {
        respond_to_read(from, asked);
      }
    });
  }

  void append(http_port::connection_id id, const QString& name, const std::string& body)
  {
    ++appends_;
    stream& to = streams_[name];
    const std::uint64_t offset = to.next();
    to.records.push_back(body);
    for (const pending_read& item : std::exchange(to.waiting, {})) {
      respond_to_read(to, item);
    }
    const bool loses_answer = mode_ == fault_mode::lose_answers;
    port_.answer(id,
                 loses_answer ? SERVER_ERROR : OK,
                 loses_answer ? "" : json{ { "offset", offset } }.dump());
  }

  http_port port_;
  fault_mode mode_ = fault_mode::ok;
  std::map<QString, stream> streams_;
  std::uint64_t next_read_ = 0;
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
