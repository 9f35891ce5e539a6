// Stand-in for the platform's append-only log service, for tests and demonstrations. It keeps the
// streams in memory. Requests to /mode/ switch its faults on and off while it runs, and requests to
// /streams/NAME/keep/N drop old records, as the retention of the real service does.
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

/** Fault that the service simulates. */
enum class fault_mode
{
  ok,             ///< No fault.
  outage,         ///< Every read or append gets status 503.
  slow,           ///< Every read or append is delayed.
  lose_responses, ///< Appends take effect, but get status 500.
};

constexpr enum_table<fault_mode, 4> FAULT_MODE_ROWS = { {
  { fault_mode::ok, "ok" },
  { fault_mode::outage, "outage" },
  { fault_mode::slow, "slow" },
  { fault_mode::lose_responses, "lose_answers" },
} };
static_assert(is_complete(FAULT_MODE_ROWS, fault_mode::lose_responses));

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

/** A read that may wait for its record to be appended. */
struct pending_read
{
  http_port::connection_id requester = 0; ///< Connection to respond to.
  std::uint64_t number = 0;               ///< Distinguishes the reads.
  std::uint64_t offset = 0;               ///< First record wanted.
  std::uint64_t limit = 0;                ///< Largest number of records.
};

/** A stream of records. */
struct stream
{
  std::uint64_t first = 1;           ///< Offset of the oldest record held.
  std::deque<std::string> records;   ///< Consecutive records from there on.
  std::vector<pending_read> waiting; ///< Reads that wait for the next record.

  /** Returns the offset that the next record gets. */
  std::uint64_t next() const { return first + records.size(); }
};

/** The stand-in. */
class log_service
{
public:
  log_service()
  {
    port_.on_request = [this](http_port::connection_id id, http_request&& request) {
      handle_request(id, request);
    };
  }

  std::uint16_t listen(std::uint16_t number)
  {
    port_.listen(QHostAddress::LocalHost, number);
    return port_.serverPort();
  }

private:
  void handle_request(http_port::connection_id id, const http_request& request)
  {
    const QUrl url(QString::fromStdString(request.head.target));
    const QStringList path = url.path().split('/', Qt::SkipEmptyParts);
    if (path.size() == 3 && path[0] == "streams" && path[2] == "records") {
      handle_stream_request(id, request, path[1], QUrlQuery(url));
    } else {
      handle_control_request(id, path);
    }
  }

  /** Performs a read or an append under the current fault mode. */
  void handle_stream_request(http_port::connection_id id,
                             const http_request& request,
                             const QString& name,
                             const QUrlQuery& query)
  {
    if (mode_ == fault_mode::outage) {
      port_.respond(id, UNAVAILABLE, "");
      return;
    }
    const std::function<void()> perform = [this, id, request, name, query] {
      if (request.head.method == "POST") {
        append(id, name, request.body);
      } else {
        read(id, name, query);
      }
    };
    if (mode_ == fault_mode::slow) {
      QTimer::singleShot(SLOW_RESPONSE_DELAY_MS, &port_, perform);
    } else {
      perform();
    }
  }

  /** Handles the control requests of tests: fault mode, retention and statistics. */
  void handle_control_request(http_port::connection_id id, const QStringList& path)
  {
    if (path.size() == 2 && path[0] == "mode") {
      const auto mode = parse_enum<fault_mode>(path[1].toStdString());
      mode_ = mode.value_or(mode_);
      port_.respond(id, mode ? OK : BAD_REQUEST, "");
    } else if (path.size() == 4 && path[0] == "streams" && path[2] == "keep") {
      stream& target = streams_[path[1]];
      while (target.records.size() > path[3].toULongLong()) {
        target.records.pop_front();
        ++target.first;
      }
      port_.respond(id, OK, "");
    } else {
      const json stats = { { "reads", reads_ }, { "appends", appends_ }, { "bytes", bytes_ } };
      port_.respond(id, OK, stats.dump() + "\n");
    }
  }

  void respond_to_read(const stream& from, const pending_read& pending)
  {
    json response = { { "first", from.first },
                      { "next", from.next() },
                      { "records", json::array() } };
    for (std::uint64_t at = std::max(pending.offset, from.first);
         at < from.next() && response["records"].size() < pending.limit;
         ++at) {
      const QByteArray bytes = QByteArray::fromStdString(from.records[at - from.first]);
      response["records"].push_back(
        { { "offset", at }, { "data", bytes.toBase64().toStdString() } });
    }
    const std::string text = response.dump();
    bytes_ += text.size();
    port_.respond(pending.requester, OK, text);
  }

  void read(http_port::connection_id id, const QString& name, const QUrlQuery& query)
  {
    ++reads_;
    stream& from = streams_[name];
    const auto number = [&query](const char* key) {
      return query.queryItemValue(key).toULongLong();
    };
    const pending_read pending{ id, ++last_read_, number("from"), number("limit") };
    if (pending.offset < from.next() || number("wait_ms") == 0) {
      respond_to_read(from, pending);
      return;
    }
    from.waiting.push_back(pending);
    QTimer::singleShot(static_cast<int>(number("wait_ms")), &port_, [this, &from, pending] {
      const auto is_same_read = [&pending](const pending_read& item) {
        return item.number == pending.number;
      };
      if (std::erase_if(from.waiting, is_same_read) > 0) {
        respond_to_read(from, pending);
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
    const bool loses_response = mode_ == fault_mode::lose_responses;
    port_.respond(id,
                  loses_response ? SERVER_ERROR : OK,
                  loses_response ? "" : json{ { "offset", offset } }.dump());
  }

  http_port port_;
  fault_mode mode_ = fault_mode::ok;
  std::map<QString, stream> streams_;
  std::uint64_t last_read_ = 0; ///< Number of the latest read.
  std::uint64_t reads_ = 0;
  std::uint64_t appends_ = 0;
  std::uint64_t bytes_ = 0; ///< Bytes of the responses to reads.
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
