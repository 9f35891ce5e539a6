// Stand-in for a backend server, for tests and demonstrations. It runs a limited number of requests
// at once with a configurable service time, announces itself to a node, honours cancellation and
// deadlines, and counts executions by the X-Count-As header of the requests. Requests to /control/
// change its state or make it slow or shed load; a request to /crash ends the process.
#include "connection/connection.h"
#include "process/process.h"

#include <QCoreApplication>
#include <QHostAddress>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QTcpServer>
#include <QTimer>
#include <QUrlQuery>
#include <cxxopts.hpp>
#include <deque>
#include <iostream>
#include <unistd.h>

using namespace shallotfield;
using nlohmann::json;

namespace {

constexpr std::uint64_t BODY_LIMIT_BYTES = 64U << 20U;
constexpr std::int64_t CHUNK_BYTES = 32 << 10;
constexpr int ANNOUNCE_INTERVAL_MS = 500;

/** Options of the command line. */
struct server_options
{
  service_id service;
  std::uint32_t slots = 0;     ///< Requests that run at once.
  std::int64_t service_ms = 0; ///< Service time, unless the query of a request gives another.
  std::string node;  ///< Operators' port of the local node, as HOST:PORT; empty: don't announce.
  std::string token; ///< Bearer token for the announcements.
};

/** A request, from its arrival to the end of its response. */
struct open_request
{
  std::uint64_t id = 0;
  http_request request;
  std::int64_t remaining_bytes = 0; ///< Response bytes that are not written yet.
  bool is_running = false;          ///< It occupies a slot.
};

/** A listening port that passes on the descriptors of accepted connections. */
class tcp_listener : public QTcpServer
{
public:
  std::function<void(qintptr)> on_connection;

protected:
  void incomingConnection(qintptr descriptor) override { on_connection(descriptor); }
};

/** The stand-in. Each connection has at most one open request. */
class backend_server
{
public:
  explicit backend_server(server_options options)
    : options_(std::move(options))
  {
    listener_.on_connection = [this](qintptr descriptor) { accept(descriptor); };
    QObject::connect(&announce_timer_, &QTimer::timeout, &announce_timer_, [this] { announce(); });
  }

  std::uint16_t listen(std::uint16_t number)
  {
    listener_.listen(QHostAddress::LocalHost, number);
    announce_timer_.start(ANNOUNCE_INTERVAL_MS);
    announce();
    return listener_.serverPort();
  }

private:
  using connection_id = std::uint64_t;

  struct connection
  {
    std::unique_ptr<http_session> session;
    std::optional<open_request> open;
  };

  void accept(qintptr descriptor)
  {
    const connection_id id = next_id_++;
    connection& added = connections_[id];
    added.session = std::make_unique<http_session>(descriptor, BODY_LIMIT_BYTES);
    added.session->on_request = [this, id](http_request&& request) {
      handle_request(id, std::move(request));
    };
    added.session->on_written = [this, id] { write_more(id); };
    added.session->on_disconnected = [this, id] { remove_connection(id); };
  }

  void remove_connection(connection_id id)
  {
    connection& removed = connections_.at(id);
    if (removed.open) {
      ++cancelled_;
      running_ -= removed.open->is_running ? 1 : 0;
      removed.open.reset();
      start_waiting_requests();
    }
    QMetaObject::invokeMethod(
      &announce_timer_, [this, id] { connections_.erase(id); }, Qt::QueuedConnection);
  }

  /** Reads a number from the query of a request target; `fallback` if it is absent. */
  static std::int64_t query_number(const std::string& target,
                                   const char* key,
                                   std::int64_t fallback)
  {
    const QUrlQuery query(QString::fromStdString(target).section('?', 1));
    return query.hasQueryItem(key) ? query.queryItemValue(key).toLongLong() : fallback;
  }

  void handle_request(connection_id id, http_request&& request)
  {
    const std::string target = request.head.target;
    if (target.starts_with("/control/")) {
      handle_control_request(id, target.substr(std::string_view("/control/").size()));
      return;
    }
    if (target.find("/crash") != std::string::npos) {
      _exit(1);
    }
    connections_.at(id).open = open_request{ next_id_++, std::move(request), 0, false };
    if (sheds_load_ || (refuses_when_full_ && running_ >= options_.slots)) {
      reject(id);
      return;
    }
    waiting_.push_back(id);
    start_waiting_requests();
  }

  void reject(connection_id id)
  {
    connections_.at(id).open.reset();
    connections_.at(id).session->respond(503, { { "Shallotfield-Outcome", "not-run" } }, "");
  }

  /** Starts waiting requests while slots are free; skips those whose caller has gone. */
  void start_waiting_requests()
  {
    while (running_ < options_.slots && !waiting_.empty()) {
      const connection_id id = waiting_.front();
      waiting_.pop_front();
      const auto found = connections_.find(id);
      if (found != connections_.end() && found->second.open && !found->second.open->is_running) {
        start_request(id);
      }
    }
  }

  void start_request(connection_id id)
  {
    open_request& open = *connections_.at(id).open;
    const std::string* not_after =
      find_header(open.request.head.headers, "Shallotfield-Not-After-Ms");
    if (not_after != nullptr && read_clocks().unix > std::stoll(*not_after)) {
      reject(id);
      return;
    }
    open.is_running = true;
    ++running_;
    ++executions_;
    if (const std::string* key = find_header(open.request.head.headers, "X-Count-As")) {
      ++executions_by_key_[*key];
    }
    const std::int64_t service_time_ms =
      query_number(open.request.head.target, "ms", options_.service_ms) * service_time_factor_;
    if (service_time_ms == 0) {
      respond(id, open.id);
      return;
    }
    QTimer::singleShot(static_cast<int>(service_time_ms),
                       &announce_timer_,
                       [this, id, number = open.id] { respond(id, number); });
  }

  void respond(connection_id id, std::uint64_t number)
  {
    const auto found = connections_.find(id);
    if (found == connections_.end() || !found->second.open || found->second.open->id != number) {
      return;
    }
    open_request& open = *found->second.open;
    const auto& headers = open.request.head.headers;
    const std::string* token = find_header(headers, "X-Token");
    const std::string body = json{
      { "service", options_.service },
      { "target", open.request.head.target },
      { "token", token != nullptr ? *token : "" },
      { "body", open.request.body }
    }.dump();
    const std::int64_t bytes = query_number(open.request.head.target, "bytes", 0);
    response_head head{ 200, { { "X-Token", token != nullptr ? *token : "" } } };
    const auto total = std::max<std::int64_t>(bytes, static_cast<std::int64_t>(body.size()));
    head.headers.push_back({ "Content-Length", std::to_string(total) });
    http_session& session = *found->second.session;
    session.start_response(head);
    session.send_body(body);
    open.remaining_bytes = total - static_cast<std::int64_t>(body.size());
    if (query_number(open.request.head.target, "cut", 0) > 0) {
      session.abort();
      return;
    }
    write_more(id);
  }

  /** Writes more of the response while little is unsent; frees the slot after the last byte. */
  void write_more(connection_id id)
  {
    const auto found = connections_.find(id);
    if (found == connections_.end() || !found->second.open || !found->second.open->is_running) {
      return;
    }
    open_request& open = *found->second.open;
    http_session& session = *found->second.session;
    while (open.remaining_bytes > 0 && session.unsent_bytes() < CHUNK_BYTES) {
      const std::int64_t piece = std::min(open.remaining_bytes, CHUNK_BYTES);
      open.remaining_bytes -= piece;
      session.send_body(std::string(static_cast<std::size_t>(piece), 'x'));
    }
    if (open.remaining_bytes == 0) {
      found->second.open.reset();
      --running_;
      session.finish_response();
      start_waiting_requests();
    }
  }

  /** Handles a request to /control/, by which tests read counts and change the behaviour. */
  void handle_control_request(connection_id id, const std::string& path)
  {
    http_session& session = *connections_.at(id).session;
    const auto slash = path.find('/');
    const std::string name = path.substr(0, slash);
    const std::string value = slash == std::string::npos ? "" : path.substr(slash + 1);
    if (name == "counts") {
      const json counts = { { "executions", executions_ },
                            { "running", running_ },
                            { "cancelled", cancelled_ },
                            { "by_key", executions_by_key_ } };
      session.respond(200, {}, counts.dump() + "\n");
      return;
    }
    if (name == "state") {
      state_ = parse_enum<server_state>(value).value_or(state_);
      announce();
    } else if (name == "slow") {
      service_time_factor_ = std::stoll(value);
    } else if (name == "shed") {
      sheds_load_ = value == "on";
    } else if (name == "full") {
      refuses_when_full_ = value == "refuse";
    }
    session.respond(200, {}, "");
  }

  /** Sends an announcement to the local node, which renews the lease of this server. */
  void announce()
  {
    if (options_.node.empty()) {
      return;
    }
    QNetworkRequest request(QUrl("http://" + QString::fromStdString(options_.node) + "/v1/server"));
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    request.setRawHeader("Authorization", QByteArray::fromStdString("Bearer " + options_.token));
    const json body = { { "service", options_.service },
                        { "host", "127.0.0.1" },
                        { "port", listener_.serverPort() },
                        { "slots", options_.slots },
                        { "state", enum_name(state_) } };
    QNetworkReply* reply = manager_.post(request, QByteArray::fromStdString(body.dump()));
    QObject::connect(reply, &QNetworkReply::finished, reply, &QNetworkReply::deleteLater);
  }

  server_options options_;
  tcp_listener listener_;
  QTimer announce_timer_; ///< Calls announce(); also the context of queued calls.
  QNetworkAccessManager manager_;
  std::map<connection_id, connection> connections_;
  std::deque<connection_id> waiting_;
  std::uint64_t next_id_ = 1; ///< Next id of a connection or request.
  std::uint64_t running_ = 0;
  std::uint64_t executions_ = 0;
  std::uint64_t cancelled_ = 0;
  std::int64_t service_time_factor_ = 1; ///< Multiplies the service time.
  bool sheds_load_ = false;              ///< Rejects every request.
  bool refuses_when_full_ = false;       ///< Rejects requests instead of queuing them.
  server_state state_ = server_state::ready;
  /** Keyed by the X-Count-As header, in which callers repeat the idempotency key. */
  std::map<std::string, std::uint64_t> executions_by_key_;
};

} // namespace

int
main(int argc, char** argv)
{
  const QCoreApplication application(argc, argv);
  cxxopts::Options options("backend_server", "Stand-in for a backend server");
  // clang-format off
  options.add_options()
    ("service", "Service", cxxopts::value<std::string>())
    ("slots", "Requests at once", cxxopts::value<std::uint32_t>()->default_value("20"))
    ("ms", "Service time", cxxopts::value<std::int64_t>()->default_value("5"))
    ("node", "Operators' port of the node beside it", cxxopts::value<std::string>()->default_value(""))
    ("token", "Operators' token", cxxopts::value<std::string>()->default_value(""))
    ("port", "Port", cxxopts::value<std::uint16_t>()->default_value("0"));
  // clang-format on
  const cxxopts::ParseResult line = options.parse(argc, argv);
  backend_server server({ line["service"].as<std::string>(),
                          line["slots"].as<std::uint32_t>(),
                          line["ms"].as<std::int64_t>(),
                          line["node"].as<std::string>(),
                          line["token"].as<std::string>() });
  const std::uint16_t port = server.listen(line["port"].as<std::uint16_t>());
  std::cout << "event=listening edge=server port=" << port << std::endl;
  return port == 0 ? 1 : QCoreApplication::exec();
}
