// Plays requests that crash backend servers, and false alarms, against real proxies on loopback
// addresses. Prints one line a case: how often servers crashed, how many arrivals of the request
// came later than 3 s after the third crash, and how many requests of the same kind were answered
// in the calm afterwards. scripts/crash_cases.sh builds and runs all cases.
#include "../review/harness.h"

#include <array>

using namespace review;

namespace {

/** Time after the third crash from which on arrivals count as late. */
constexpr std::int64_t STABLE_WINDOW_MS = 3000;

/** Path of the request under test. */
constexpr const char* ODD_PATH = "/lookup/odd";

enum class case_id
{
  calm,          ///< The request crashes nothing.
  record,        ///< Four servers, three comings at a time, as in the record of issue 31.
  closed_port,   ///< A crashed server's port is closed.
  taken_port,    ///< A crashed server's port accepts connections and closes them at once.
  silent_port,   ///< A crashed server keeps its connections open and says nothing.
  failing_half,  ///< Servers answer every second coming with an error of their own.
  twin_on_host,  ///< The same path on another host is popular and harmless.
  proxies_die,   ///< All proxies are killed at once, twice.
  false_alarm,   ///< A harmless long request is at work when all servers crash again and again.
  popular_alarm, ///< The same with a short request, which servers completed before.
};

struct case_row
{
  case_id id;
  const char* name;
};

constexpr std::array<case_row, 10> CASES = { {
  { case_id::calm, "calm" },
  { case_id::record, "record" },
  { case_id::closed_port, "closed_port" },
  { case_id::taken_port, "taken_port" },
  { case_id::silent_port, "silent_port" },
  { case_id::failing_half, "failing_half" },
  { case_id::twin_on_host, "twin_on_host" },
  { case_id::proxies_die, "proxies_die" },
  { case_id::false_alarm, "false_alarm" },
  { case_id::popular_alarm, "popular_alarm" },
} };

/** What a server does with a request. */
struct reaction
{
  enum class kind
  {
    answer,
    fail, ///< It answers with an error of its own.
    crash,
  } what = kind::answer;
  std::int64_t work_ms = 50; ///< Until the answer, or until the crash.
};

/** A backend server that can crash in several ways. */
class crashing_server
{
public:
  std::function<reaction(const http_message&)> on_run; ///< Called when a request begins to run.
  case_id manner = case_id::closed_port;               ///< How it looks after a crash.

  explicit crashing_server(machine at)
    : at_(std::move(at))
  {
  }
  ~crashing_server() { end(); }

  bool start()
  {
    end();
    instance_ = "i-" + at_.name + "-" + std::to_string(++incarnation_);
    born_ = unix_ms();
    service_ = std::make_unique<tcp_service>(at_.ip, SERVER_PORT, [this](int fd) { serve(fd); });
    if (!service_->start()) {
      return false;
    }
    is_up_ = true;
    beats_ = std::thread([this] {
      int sequence = 0;
      for (std::int64_t next = now_ms(); is_up_; sleep_ms(20)) {
        if (now_ms() >= next) {
          beat(++sequence);
          next += HEARTBEAT_MS;
        }
      }
    });
    record("server %s started as %s", at_.name.c_str(), instance_.c_str());
    return true;
  }

  /** Ends the work of the server. Its port and connections stay as `manner` says. */
  void crash()
  {
    if (is_up_.exchange(false)) {
      crashed_at_ = now_ms();
      record("server %s crashed", at_.name.c_str());
    }
  }

  /** Closes the port and all connections. */
  void end()
  {
    is_up_ = false;
    is_silent_over_ = true;
    if (beats_.joinable()) {
      beats_.join();
    }
    if (service_) {
      service_->stop();
      service_.reset();
    }
    is_silent_over_ = false;
  }

  bool is_up() const { return is_up_; }
  std::int64_t crashed_at() const { return crashed_at_; }
  const machine& at() const { return at_; }

private:
  void beat(int sequence)
  {
    const std::string body =
      "{\"service\":\"" + at_.service + "\",\"address\":\"" + at_.ip + ":" +
      std::to_string(SERVER_PORT) + "\",\"zone\":\"" + at_.zone +
      "\",\"version\":\"v1\",\"slots\":" + std::to_string(SLOTS) +
      ",\"state\":\"ready\",\"cold_remaining_s\":0,\"seq\":" + std::to_string(sequence) +
      ",\"born\":" + std::to_string(born_) + "}";
    http_message response;
    call_once(at_.ip,
              CONTROL_PORT,
              "POST /v1/instances/" + instance_ + "/heartbeat HTTP/1.1\r\nHost: " + at_.ip +
                "\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body,
              response,
              500);
  }

  void serve(int fd)
  {
    std::string buffer;
    http_message request;
    while (is_up_) {
      if (buffer.empty() && !is_readable(fd)) {
        continue;
      }
      if (read_http(fd, buffer, request, now_ms() + 30'000) != read_result::complete ||
          !handle(fd, request)) {
        break;
      }
    }
    while (manner == case_id::silent_port && !is_silent_over_) {
      sleep_ms(5);
    }
  }

  bool handle(int fd, const http_message& request)
  {
    const bool is_check = request.target() == "/healthz";
    const std::string expected = request.header("x-shallotfield-expected-instance");
    if (!is_check && !expected.empty() && expected != instance_) {
      return respond(fd, request, "421 Misdirected Request", "");
    }
    reaction next{ reaction::kind::answer, 0 };
    if (!is_check) {
      next = on_run(request);
    }
    const std::int64_t until = now_ms() + next.work_ms;
    while (now_ms() < until) {
      sleep_ms(std::min<std::int64_t>(5, until - now_ms()));
      if (!is_up_) {
        return false;
      }
    }
    if (next.what == reaction::kind::crash) {
      crash();
      return false;
    }
    const bool is_failure = next.what == reaction::kind::fail;
    return respond(fd,
                   request,
                   is_failure ? "500 Internal Server Error" : "200 OK",
                   "X-Shallotfield-Response-Signature: s\r\n");
  }

  bool respond(int fd, const http_message& request, const char* status, const std::string& headers)
  {
    return send_all(fd,
                    std::string("HTTP/1.1 ") + status + "\r\nContent-Length: 4\r\n" + headers +
                      "X-Shallotfield-Instance-Id: " + instance_ +
                      "\r\nX-Shallotfield-Request-Id: " +
                      request.header("x-shallotfield-request-id") + "\r\n\r\ndone");
  }

  machine at_;
  std::unique_ptr<tcp_service> service_;
  std::thread beats_;
  std::string instance_;
  int incarnation_ = 0;
  std::int64_t born_ = 0;
  std::atomic<std::int64_t> crashed_at_{ 0 };
  std::atomic<bool> is_up_{ false };
  std::atomic<bool> is_silent_over_{ false };
};

/** The figures of a case that differ from one to another. */
struct case_figures
{
  std::size_t servers = 6;
  std::int64_t back_ms = 3000;     ///< From a crash until the server is back.
  std::int64_t interval_ms = 2100; ///< From one coming to the next.
  int comings = 17;
  int at_a_time = 1;
  int deadline_ms = 800;
  std::int64_t until_crash_ms = 20;
  int attempts = 2;
};

case_figures
figures_of(case_id id)
{
  case_figures figures;
  if (id == case_id::record) {
    return { 4, 1300, 3600, 9, 3, 12'000, 91, 3 };
  }
  if (id == case_id::taken_port || id == case_id::silent_port) {
    figures.back_ms = 4500;
    figures.interval_ms = 2500;
    figures.comings = 14;
  } else if (id == case_id::failing_half) {
    figures.interval_ms = 1700;
    figures.comings = 21;
  } else if (id == case_id::twin_on_host) {
    figures.interval_ms = 2500;
    figures.comings = 14;
  }
  return figures;
}

/** One case: the machines, and what happened to the request under test. */
class crash_case
{
public:
  explicit crash_case(case_id id)
    : id_(id)
    , figures_(figures_of(id))
  {
  }

  bool play()
  {
    if (!create() || !start()) {
      return false;
    }
    std::thread supervisor([this] { supervise(); });
    std::thread beside([this] { send_beside(); });
    if (id_ == case_id::false_alarm || id_ == case_id::popular_alarm) {
      play_false_alarm();
    } else {
      play_comings();
    }
    is_over_ = true;
    beside.join();
    supervisor.join();
    print();
    for (const auto& proxy : proxies_) {
      proxy->kill_now();
    }
    return true;
  }

private:
  bool create()
  {
    static constexpr const char* ZONES[] = { "sof-a", "var-a", "sof-b", "var-b" };
    static constexpr const char* REGIONS[] = { "bg-west", "bg-east", "bg-west", "bg-east" };
    std::signal(SIGPIPE, SIG_IGN);
    now_ms();
    std::string subnet;
    for (int attempt = 0; attempt < 50 && !store_; ++attempt) {
      const int draw = getpid() + attempt * 131;
      subnet =
        "127." + std::to_string(40 + draw % 160) + "." + std::to_string(draw / 160 % 250) + ".";
      store_ = std::make_unique<store>(subnet + "1", STORE_PORT);
      if (!store_->start()) {
        store_.reset();
      }
    }
    for (std::size_t i = 0; store_ && i < figures_.servers; ++i) {
      machine at{ std::string("sidecar-") + ZONES[i % 4] + "-" + std::to_string(i / 4 + 1),
                  subnet + std::to_string(10 + i),
                  ZONES[i % 4],
                  REGIONS[i % 4],
                  "catalogue" };
      proxies_.push_back(std::make_unique<proxy_process>(at, subnet + "1"));
      servers_.push_back(std::make_unique<crashing_server>(at));
      servers_.back()->manner = id_;
      servers_.back()->on_run = [this](const http_message& request) { return run(request); };
    }
    return store_ != nullptr;
  }

  bool start()
  {
    const double timeout_s = figures_.deadline_ms > 1000 ? 12 : 5;
    rule odd{ "look.example", "r-odd", "safe", "/lookup/", "catalogue", timeout_s };
    odd.attempts = figures_.attempts;
    rule twin = odd;
    twin.host = "twin.example";
    twin.name = "r-twin";
    store_->put("keyed.op", "config", format_config(7, { odd, twin }, { "catalogue" }));
    for (const auto& proxy : proxies_) {
      proxy->start(true);
    }
    const std::int64_t until = now_ms() + 30'000;
    for (const auto& proxy : proxies_) {
      while (!proxy->is_ready()) {
        if (now_ms() > until || proxy->has_ended()) {
          return false;
        }
        sleep_ms(50);
      }
    }
    for (const auto& server : servers_) {
      if (!server->start()) {
        return false;
      }
    }
    sleep_ms(4500); // The proxies learn of all servers.
    return true;
  }

  /** Brings crashed servers back. */
  void supervise()
  {
    while (!is_over_) {
      for (const auto& server : servers_) {
        if (server->is_up()) {
          continue;
        }
        const bool keeps_port = id_ == case_id::taken_port || id_ == case_id::silent_port;
        if (!keeps_port) {
          server->end();
        }
        if (now_ms() >= server->crashed_at() + figures_.back_ms) {
          server->start();
        }
      }
      sleep_ms(5);
    }
  }

  bool is_alarm() const { return id_ == case_id::false_alarm || id_ == case_id::popular_alarm; }

  reaction run(const http_message& request)
  {
    const bool is_odd = request.target() == ODD_PATH && request.header("host") == "look.example";
    if (!is_odd) {
      return {};
    }
    const std::lock_guard lock(mutex_);
    record("the odd request begins to run");
    arrivals_.push_back(now_ms());
    if (is_alarm()) {
      return { reaction::kind::answer, id_ == case_id::false_alarm ? 1900 : 60 };
    }
    if (id_ == case_id::calm) {
      return {};
    }
    if (id_ == case_id::failing_half && ++runs_ % 2 == 0) {
      return { reaction::kind::fail, 20 };
    }
    crashes_.push_back(now_ms());
    return { reaction::kind::crash, figures_.until_crash_ms };
  }

  /** Sends a request and returns its status; 0 if there is none. */
  int call(std::size_t at, const std::string& path, const std::string& host, int deadline_ms)
  {
    client fresh(proxies_[at % proxies_.size()]->at().ip);
    http_message response;
    const std::string id = new_request_id();
    if (!fresh.connect() || !fresh.send(format_request("GET", path, host, id, deadline_ms)) ||
        fresh.read(response, deadline_ms + 700) != read_result::complete) {
      return 0;
    }
    if (path == ODD_PATH && host == "look.example") {
      record("odd request %s got %s, retry after %s",
             id.c_str(),
             response.start.c_str(),
             response.header("retry-after").c_str());
    }
    return response.status();
  }

  /** Sends other requests all the while. */
  void send_beside()
  {
    for (std::size_t i = 0; !is_over_ && id_ != case_id::false_alarm; ++i) {
      const bool is_twin = id_ == case_id::twin_on_host;
      const int status = call(i, is_twin ? ODD_PATH : "/lookup/plain", "twin.example", 1000);
      beside_answered_ += status == 200 ? 1 : 0;
      ++beside_sent_;
      sleep_ms(20);
    }
  }

  void play_comings()
  {
    std::vector<std::thread> clients;
    const std::int64_t start = now_ms();
    for (int coming = 0; coming < figures_.comings; ++coming) {
      for (int i = 0; i < figures_.at_a_time; ++i) {
        const int at = coming * figures_.at_a_time + i;
        clients.emplace_back([this, at] {
          call(static_cast<std::size_t>(at), ODD_PATH, "look.example", figures_.deadline_ms);
        });
      }
      const std::int64_t next = start + (coming + 1) * figures_.interval_ms;
      const bool is_kill = id_ == case_id::proxies_die && (coming == 3 || coming == 12);
      if (is_kill) {
        sleep_ms(1000);
        record("all proxies are killed");
        for (const auto& proxy : proxies_) {
          proxy->kill_now();
        }
        for (const auto& proxy : proxies_) {
          proxy->start(false);
        }
      }
      sleep_ms(std::max<std::int64_t>(next - now_ms(), 0));
    }
    for (std::thread& item : clients) {
      item.join();
    }
  }

  /** Ten requests a second, while all servers crash four times for another reason, then calm. */
  void play_false_alarm()
  {
    static constexpr std::int64_t INTERVAL_MS = 100;
    static constexpr std::int64_t CALM_MS = 12'000;
    const std::int64_t lead_ms = id_ == case_id::false_alarm ? 1000 : 3000;
    figures_.back_ms = 400;
    const std::int64_t start = now_ms();
    const std::int64_t calm_from = start + lead_ms + 3 * 2000 + figures_.back_ms;
    std::vector<std::thread> clients;
    int crashes = 0;
    for (std::size_t i = 0; now_ms() < calm_from + CALM_MS; ++i) {
      if (crashes < 4 && now_ms() >= start + lead_ms + crashes * 2000) {
        ++crashes;
        for (const auto& server : servers_) {
          server->crash();
        }
      }
      clients.emplace_back([this, i, calm_from] {
        const bool is_calm = now_ms() >= calm_from;
        const int status = call(i, ODD_PATH, "look.example", 5000);
        calm_sent_ += is_calm ? 1 : 0;
        calm_answered_ += is_calm && status == 200 ? 1 : 0;
      });
      sleep_ms(std::max<std::int64_t>(
        start + static_cast<std::int64_t>(i + 1) * INTERVAL_MS - now_ms(), 0));
    }
    for (std::thread& item : clients) {
      item.join();
    }
  }

  void print()
  {
    const char* name = CASES[static_cast<std::size_t>(id_)].name;
    if (is_alarm()) {
      std::printf(
        "case=%s calm_sent=%d calm_answered=%d\n", name, calm_sent_.load(), calm_answered_.load());
      return;
    }
    const std::int64_t late_from =
      crashes_.size() >= 3 ? crashes_[2] + STABLE_WINDOW_MS : INT64_MAX;
    const auto late = std::count_if(
      arrivals_.begin(), arrivals_.end(), [=](std::int64_t at) { return at > late_from; });
    std::printf("case=%s crashes=%zu late=%ld arrivals=%zu beside_sent=%d beside_answered=%d\n",
                name,
                crashes_.size(),
                static_cast<long>(late),
                arrivals_.size(),
                beside_sent_.load(),
                beside_answered_.load());
  }

  case_id id_;
  case_figures figures_;
  std::unique_ptr<store> store_;
  std::vector<std::unique_ptr<proxy_process>> proxies_;
  std::vector<std::unique_ptr<crashing_server>> servers_;
  std::mutex mutex_;
  std::vector<std::int64_t> arrivals_; ///< When the request under test began to run.
  std::vector<std::int64_t> crashes_;  ///< When it began a run that ends in a crash.
  int runs_ = 0;
  std::atomic<int> calm_sent_{ 0 };
  std::atomic<int> calm_answered_{ 0 };
  std::atomic<int> beside_sent_{ 0 };
  std::atomic<int> beside_answered_{ 0 };
  std::atomic<bool> is_over_{ false };
};

} // namespace

int
main(int count, char** words)
{
  for (const case_row& row : CASES) {
    if (count == 2 && std::string(words[1]) == row.name) {
      return crash_case(row.id).play() ? EXIT_SUCCESS : EXIT_FAILURE;
    }
  }
  std::fprintf(stderr, "usage: crash_cases NAME\n");
  for (const case_row& row : CASES) {
    std::fprintf(stderr, "  %s\n", row.name);
  }
  return EXIT_FAILURE;
}
