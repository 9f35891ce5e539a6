// Stand-in for callers: sends requests at a rate, checks that each gets the whole answer to its own
// request, and prints one line of key=value pairs with outcomes and latencies.
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

/** What the command line says. */
struct caller_options
{
  std::vector<endpoint> to;
  std::string method;
  std::string path;
  std::string body;
  std::string customer;
  double rate = 0;           ///< Requests a second; 0: one after the other.
  double peak_rate = 0;      ///< Rate in the second half of each swing period; 0: no swing.
  double swing_period_s = 0; ///< Length of a swing period.
  double seconds = 0;
  std::size_t connections = 0;
  std::int64_t timeout_ms = 0;
  bool is_keyed = false;
};

/** Makes a time-ordered request key (UUID version 7). */
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

/** A request under way on a connection. */
struct client_connection
{
  std::unique_ptr<http_client> client;
  bool is_busy = false;
  QElapsedTimer clock;
  std::string token;
  unsigned status = 0;
  std::string outcome;
  std::string echoed_token;
  std::uint64_t bytes = 0;
  std::uint64_t expected = 0;
};

/** Sends the load and counts what comes back. */
class caller
{
public:
  explicit caller(caller_options options)
    : options_(std::move(options))
    , slots_(options_.connections)
  {
    started_.start();
    timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { send_due(); });
    timer_.start(options_.rate > 0 ? 1 : 5);
    send_due();
  }

private:
  double elapsed() const { return static_cast<double>(started_.nsecsElapsed()) / 1e9; }

  double current_rate() const
  {
    if (options_.swing_period_s <= 0) {
      return options_.rate;
    }
    const double phase = std::fmod(elapsed(), options_.swing_period_s) / options_.swing_period_s;
    return phase < 0.5 ? options_.rate : options_.peak_rate;
  }

  void send_due()
  {
    const double now = elapsed();
    if (now >= options_.seconds) {
      timer_.stop();
      finish_if_idle();
      return;
    }
    if (options_.rate <= 0) {
      for (std::size_t i = 0; i < slots_.size(); ++i) {
        if (!slots_[i].is_busy) {
          send(i);
        }
      }
      return;
    }
    due_ += (now - last_due_at_s_) * current_rate();
    last_due_at_s_ = now;
    while (due_ >= 1) {
      due_ -= 1;
      send_on_idle_connection();
    }
  }

  void send_on_idle_connection()
  {
    for (std::size_t i = 0; i < slots_.size(); ++i) {
      if (!slots_[i].is_busy) {
        send(i);
        return;
      }
    }
    ++not_sent_;
  }

  void send(std::size_t index)
  {
    client_connection& used = slots_[index];
    if (!used.client) {
      used.client =
        std::make_unique<http_client>(options_.to[index % options_.to.size()], CONNECT_TIMEOUT_MS);
      used.client->on_piece = [this, index](response_piece&& piece) {
        take(index, std::move(piece));
      };
      used.client->on_failed = [this, index](http_client_error why) {
        slots_[index].outcome = std::string(enum_name(why));
        slots_[index].status = 0;
        end(index, false);
      };
      used.client->on_idle_end = [this, index] { release_client(index); };
    }
    used.is_busy = true;
    used.clock.start();
    used.token = "t" + std::to_string(++sent_);
    used.status = 0;
    used.outcome.clear();
    used.echoed_token.clear();
    used.bytes = 0;
    used.expected = 0;
    request_head head{ options_.method,
                       options_.path,
                       { { "Host", "mesh" }, { "X-Token", used.token } } };
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
    used.client->send(head, options_.body);
  }

  void take(std::size_t index, response_piece&& piece)
  {
    client_connection& used = slots_[index];
    if (piece.head) {
      used.status = piece.head->status;
      const auto value = [&](const char* name) {
        const std::string* text = find_header(piece.head->headers, name);
        return text != nullptr ? *text : std::string();
      };
      used.outcome = value("Shallotfield-Outcome");
      used.echoed_token = value("X-Token");
      used.expected = std::strtoull(value("Content-Length").c_str(), nullptr, 10);
    }
    used.bytes += piece.body.size();
    if (piece.is_done) {
      end(index, piece.keep_alive);
    }
  }

  void end(std::size_t index, bool keeps_connection)
  {
    client_connection& used = slots_[index];
    const double ms = static_cast<double>(used.clock.nsecsElapsed()) / 1e6;
    const bool is_ok = used.status == 200;
    if (is_ok && (used.echoed_token != used.token || used.bytes != used.expected)) {
      ++mismatched_;
    } else if (is_ok) {
      ++ok_;
      latencies_.push_back(ms);
    } else {
      ++failures_by_outcome_[used.outcome.empty() ? std::to_string(used.status) : used.outcome];
    }
    used.is_busy = false;
    if (!keeps_connection) {
      release_client(index);
    }
    if (timer_.isActive() && options_.rate <= 0) {
      QMetaObject::invokeMethod(
        &timer_, [this] { send_due(); }, Qt::QueuedConnection);
    }
    finish_if_idle();
  }

  void release_client(std::size_t index)
  {
    std::shared_ptr<http_client> client = std::move(slots_[index].client);
    QMetaObject::invokeMethod(
      &timer_, [client] {}, Qt::QueuedConnection);
  }

  void finish_if_idle()
  {
    const bool is_busy = std::any_of(
      slots_.begin(), slots_.end(), [](const client_connection& used) { return used.is_busy; });
    if (timer_.isActive() || is_busy || is_finished_) {
      return;
    }
    is_finished_ = true;
    std::sort(latencies_.begin(), latencies_.end());
    std::cout << "sent=" << sent_ << " ok=" << ok_ << " wrong=" << mismatched_
              << " not_sent=" << not_sent_ << " seconds=" << elapsed()
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
  std::vector<client_connection> slots_;
  QElapsedTimer started_;
  QTimer timer_;
  double due_ = 0;
  double last_due_at_s_ = 0;
  std::uint64_t sent_ = 0;
  std::uint64_t ok_ = 0;
  std::uint64_t mismatched_ = 0;
  std::uint64_t not_sent_ = 0;
  std::map<std::string, std::uint64_t> failures_by_outcome_;
  std::vector<double> latencies_;
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
  const caller load(std::move(chosen));
  return QCoreApplication::exec();
}
