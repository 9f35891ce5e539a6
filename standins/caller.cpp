// Load generator that stands in for callers. It sends requests at a given rate or back to back,
// checks that each response is complete and belongs to its own request, and finally prints one line
// of key=value pairs with outcomes and latencies.
#include "connection/connection.h"
#include "process/process.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QTimer>
#include <QUuid>
#include <cxxopts.hpp>
#include <iostream>
#include <memory>

using namespace shallotfield;

namespace {

constexpr int CONNECT_TIMEOUT_MS = 2000;

/** Options of the command line. */
struct caller_options
{
  std::vector<endpoint> to; ///< Callers' ports, used in turn.
  std::string method;
  std::string path;
  std::string body;
  std::string customer;
  double rate = 0;           ///< Requests a second; 0: back to back on each connection.
  double peak_rate = 0;      ///< Rate in the second half of each period of swing_period_s.
  double swing_period_s = 0; ///< Length of a period in which the load alternates; 0: constant rate.
  double seconds = 0;        ///< How long to send.
  std::size_t connections = 0;
  std::int64_t timeout_ms = 0; ///< Time limit that each request asks for; 0: that of the service.
  bool is_keyed = false;       ///< Each request carries an idempotency key.
};

/** Generates an idempotency key: a UUID of version 7, which starts with the current time. */
std::string
make_key()
{
  const auto now = static_cast<std::uint64_t>(read_clocks().unix);
  QUuid key = QUuid::createUuid();
  key.data1 = static_cast<uint>(now >> 16U);
  key.data2 = static_cast<ushort>(now & 0xffffU);
  key.data3 = static_cast<ushort>((key.data3 & 0x0fffU) | 0x7000U);
  return key.toString(QUuid::WithoutBraces).toStdString();
}

/** A connection and its latest request. */
struct client_connection
{
  std::unique_ptr<http_client> client;
  bool is_busy = false; ///< The request has no outcome yet.
  QElapsedTimer clock;  ///< Runs since the request was sent.
  std::string token;    ///< Unique text that the server echoes.
  unsigned status = 0;
  std::string outcome;
  std::string echoed_token;
  std::uint64_t received_bytes = 0;
  std::uint64_t expected_bytes = 0; ///< Content-Length of the response.
};

/** Sends the requests and counts their outcomes. */
class load_generator
{
public:
  explicit load_generator(caller_options options)
    : options_(std::move(options))
    , connections_(options_.connections)
  {
    started_.start();
    timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { send_due(); });
    timer_.start(options_.rate > 0 ? 1 : 5);
    send_due();
  }

private:
  double elapsed_s() const { return static_cast<double>(started_.nsecsElapsed()) / 1e9; }

  double current_rate() const
  {
    if (options_.swing_period_s <= 0) {
      return options_.rate;
    }
    const double phase = std::fmod(elapsed_s(), options_.swing_period_s) / options_.swing_period_s;
    return phase < 0.5 ? options_.rate : options_.peak_rate;
  }

  /** Sends the requests that have become due since the last call; stops at the end of the run. */
  void send_due()
  {
    const double now_s = elapsed_s();
    if (now_s >= options_.seconds) {
      timer_.stop();
      finish_if_idle();
      return;
    }
    if (options_.rate <= 0) {
      for (std::size_t i = 0; i < connections_.size(); ++i) {
        if (!connections_[i].is_busy) {
          send(i);
        }
      }
      return;
    }
    due_requests_ += (now_s - last_due_at_s_) * current_rate();
    last_due_at_s_ = now_s;
    while (due_requests_ >= 1) {
      due_requests_ -= 1;
      send_on_idle_connection();
    }
  }

  /** Sends on an idle connection; without one, counts the request as not sent. */
  void send_on_idle_connection()
  {
    for (std::size_t i = 0; i < connections_.size(); ++i) {
      if (!connections_[i].is_busy) {
        send(i);
        return;
      }
    }
    ++not_sent_;
  }

  void send(std::size_t index)
  {
    client_connection& connection = connections_[index];
    if (!connection.client) {
      connection.client =
        std::make_unique<http_client>(options_.to[index % options_.to.size()], CONNECT_TIMEOUT_MS);
      connection.client->on_piece = [this, index](response_piece&& piece) {
        handle_piece(index, std::move(piece));
      };
      connection.client->on_failed = [this, index](http_client_error why) {
        connections_[index].outcome = std::string(enum_name(why));
        connections_[index].status = 0;
        finish_request(index, false);
      };
      connection.client->on_idle_end = [this, index] { release_client(index); };
    }
    connection.is_busy = true;
    connection.clock.start();
    connection.token = "t" + std::to_string(++sent_);
    connection.status = 0;
    connection.outcome.clear();
    connection.echoed_token.clear();
    connection.received_bytes = 0;
    connection.expected_bytes = 0;
    request_head head{ options_.method,
                       options_.path,
                       { { "Host", "mesh" }, { "X-Token", connection.token } } };
    if (options_.is_keyed) {
      const std::string key = make_key();
      head.headers.push_back({ "Idempotency-Key", key });
      head.headers.push_back({ "X-Count-As", key });
    }
    if (options_.timeout_ms > 0) {
      head.headers.push_back({ "Shallotfield-Timeout-Ms", std::to_string(options_.timeout_ms) });
    }
    if (!options_.customer.empty()) {
      head.headers.push_back({ "Shallotfield-Customer", options_.customer });
    }
    connection.client->send(head, options_.body);
  }

  void handle_piece(std::size_t index, response_piece&& piece)
  {
    client_connection& connection = connections_[index];
    if (piece.head) {
      connection.status = piece.head->status;
      const auto value = [&](const char* name) {
        const std::string* text = find_header(piece.head->headers, name);
        return text != nullptr ? *text : std::string();
      };
      connection.outcome = value("Shallotfield-Outcome");
      connection.echoed_token = value("X-Token");
      connection.expected_bytes = std::strtoull(value("Content-Length").c_str(), nullptr, 10);
    }
    connection.received_bytes += piece.body.size();
    if (piece.is_done) {
      finish_request(index, piece.keep_alive);
    }
  }

  void finish_request(std::size_t index, bool keeps_connection)
  {
    client_connection& connection = connections_[index];
    const double latency_ms = static_cast<double>(connection.clock.nsecsElapsed()) / 1e6;
    const bool is_ok = connection.status == 200;
    if (is_ok && (connection.echoed_token != connection.token ||
                  connection.received_bytes != connection.expected_bytes)) {
      ++mismatched_;
    } else if (is_ok) {
      ++ok_;
      latencies_.push_back(latency_ms);
    } else {
      ++failures_by_outcome_[connection.outcome.empty() ? std::to_string(connection.status)
                                                        : connection.outcome];
    }
    connection.is_busy = false;
    if (!keeps_connection) {
      release_client(index);
    }
    if (timer_.isActive() && options_.rate <= 0) {
      QMetaObject::invokeMethod(
        &timer_, [this] { send_due(); }, Qt::QueuedConnection);
    }
    finish_if_idle();
  }

  /** Gives up a closed connection; the client may be running a callback, so it is deleted later. */
  void release_client(std::size_t index)
  {
    std::shared_ptr<http_client> client = std::move(connections_[index].client);
    QMetaObject::invokeMethod(
      &timer_, [client] {}, Qt::QueuedConnection);
  }

  /** Prints the results and exits once the run is over and no request is open. */
  void finish_if_idle()
  {
    const bool is_busy =
      std::any_of(connections_.begin(),
                  connections_.end(),
                  [](const client_connection& connection) { return connection.is_busy; });
    if (timer_.isActive() || is_busy || is_finished_) {
      return;
    }
    is_finished_ = true;
    std::sort(latencies_.begin(), latencies_.end());
    std::cout << "sent=" << sent_ << " ok=" << ok_ << " wrong=" << mismatched_
              << " not_sent=" << not_sent_ << " seconds=" << elapsed_s()
              << " p50_ms=" << percentile(50) << " p99_ms=" << percentile(99)
              << " max_ms=" << percentile(100);
    for (const auto& [name, number] : failures_by_outcome_) {
      std::cout << " " << name << "=" << number;
    }
    std::cout << std::endl;
    QMetaObject::invokeMethod(
      &timer_, [] { QCoreApplication::exit(0); }, Qt::QueuedConnection);
  }

  double percentile(double percent) const
  {
    if (latencies_.empty()) {
      return 0;
    }
    const auto last = static_cast<double>(latencies_.size() - 1);
    return latencies_[static_cast<std::size_t>(last * percent / 100)];
  }

  caller_options options_;
  std::vector<client_connection> connections_;
  QElapsedTimer started_;
  QTimer timer_;
  double due_requests_ = 0;  ///< Requests that are due; the fraction is carried over.
  double last_due_at_s_ = 0; ///< When due_requests_ last grew, in s since the start.
  std::uint64_t sent_ = 0;
  std::uint64_t ok_ = 0;
  std::uint64_t mismatched_ = 0; ///< Responses that are incomplete or belong to another request.
  std::uint64_t not_sent_ = 0;   ///< Requests that found no idle connection.
  std::map<std::string, std::uint64_t> failures_by_outcome_; ///< By outcome or HTTP status.
  std::vector<double> latencies_;                            ///< Of successful requests, in ms.
  bool is_finished_ = false;
};

} // namespace

int
main(int argc, char** argv)
{
  const QCoreApplication application(argc, argv);
  cxxopts::Options options("caller", "Stand-in for callers");
  // clang-format off
  options.add_options()
    ("to", "Callers' ports, HOST:PORT, separated by commas", cxxopts::value<std::vector<std::string>>())
    ("method", "Method", cxxopts::value<std::string>()->default_value("GET"))
    ("path", "Path", cxxopts::value<std::string>()->default_value("/"))
    ("body", "Body", cxxopts::value<std::string>()->default_value(""))
    ("customer", "Customer", cxxopts::value<std::string>()->default_value(""))
    ("rate", "Requests a second; 0: one after the other on each connection", cxxopts::value<double>()->default_value("0"))
    ("peak", "Rate in the second half of a swing", cxxopts::value<double>()->default_value("0"))
    ("swing", "Seconds of a swing; 0: none", cxxopts::value<double>()->default_value("0"))
    ("seconds", "Duration", cxxopts::value<double>()->default_value("1"))
    ("connections", "Connections", cxxopts::value<std::size_t>()->default_value("1"))
    ("timeout", "Deadline in ms; 0: the service's", cxxopts::value<std::int64_t>()->default_value("0"))
    ("keyed", "Send a request key");
  // clang-format on
  const cxxopts::ParseResult line = options.parse(argc, argv);
  caller_options chosen;
  for (const std::string& text : line["to"].as<std::vector<std::string>>()) {
    const std::optional<endpoint> to = parse_endpoint(text);
    if (!to) {
      std::cerr << "error=usage option=to" << std::endl;
      return 2;
    }
    chosen.to.push_back(*to);
  }
  chosen.method = line["method"].as<std::string>();
  chosen.path = line["path"].as<std::string>();
  chosen.body = line["body"].as<std::string>();
  chosen.customer = line["customer"].as<std::string>();
  chosen.rate = line["rate"].as<double>();
  chosen.peak_rate = line["peak"].as<double>();
  chosen.swing_period_s = line["swing"].as<double>();
  chosen.seconds = line["seconds"].as<double>();
  chosen.connections = line["connections"].as<std::size_t>();
  chosen.timeout_ms = line["timeout"].as<std::int64_t>();
  chosen.is_keyed = line.count("keyed") > 0;
  const load_generator load(std::move(chosen));
  return QCoreApplication::exec();
}
