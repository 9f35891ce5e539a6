// A backend server of the platform for the cases of the third review. It behaves like a sound
// server, except that it can write additional bytes after a complete answer. It uses the fakes of
// the project's own tests for sockets, HTTP and heartbeats.
#pragma once
#include "fakes/process_harness.h"

namespace review {

/** What the servers saw of one request. */
struct run_log
{
  std::mutex mutex;
  std::map<std::string, std::vector<std::string>> runs;      ///< Servers that ran it, by id.
  std::map<std::string, std::vector<int>> answers;           ///< Statuses that they gave, by id.
  std::map<std::string, std::vector<std::string>> disturbed; ///< Additional bytes came before its
                                                             ///< answer, by id: at which server.

  void add_run(const std::string& id, const std::string& server)
  {
    const std::lock_guard lock(mutex);
    runs[id].push_back(server);
  }
  void add_answer(const std::string& id, int status)
  {
    const std::lock_guard lock(mutex);
    answers[id].push_back(status);
  }
  void add_disturbed(const std::string& id, const std::string& server)
  {
    const std::lock_guard lock(mutex);
    disturbed[id].push_back(server);
  }
};

/** Backend server with slots, expected instance, signature and heartbeats. */
class faulty_server
{
public:
  /** Work of a request in ms. */
  std::function<int(const http_message&)> work_ms;
  /** Asked after each complete answer: whether additional bytes follow. */
  std::function<bool()> spoils_next;
  /** The additional bytes. They are written when the next answer on the connection is expected. */
  std::string additional_bytes;

  faulty_server(machine at, run_log& log)
    : at_(std::move(at))
    , log_(log)
    , instance_("i-" + at_.name)
  {
  }
  ~faulty_server() { end(); }
  faulty_server(const faulty_server&) = delete;
  faulty_server& operator=(const faulty_server&) = delete;

  bool start()
  {
    born_ = unix_ms();
    service_ = std::make_unique<tcp_service>(at_.ip, SERVER_PORT, [this](int fd) { serve(fd); });
    if (!service_->start()) {
      return false;
    }
    is_up_ = true;
    beats_ = std::thread([this] {
      std::int64_t next = now_ms();
      while (is_up_) {
        if (now_ms() >= next) {
          beat();
          next += HEARTBEAT_MS;
        }
        sleep_ms(20);
      }
    });
    return true;
  }

  void end()
  {
    is_up_ = false;
    if (beats_.joinable()) {
      beats_.join();
    }
    if (service_) {
      service_->stop();
      service_.reset();
    }
  }

  const machine& at() const { return at_; }

private:
  void beat()
  {
    const std::string body =
      "{\"service\":\"" + at_.service + "\",\"address\":\"" + at_.ip + ":" +
      std::to_string(SERVER_PORT) + "\",\"zone\":\"" + at_.zone +
      "\",\"version\":\"v1\",\"slots\":" + std::to_string(SLOTS) +
      ",\"state\":\"ready\",\"cold_remaining_s\":0,\"seq\":" + std::to_string(++sequence_) +
      ",\"born\":" + std::to_string(born_) + "}";
    http_message response;
    call_once(at_.ip,
              CONTROL_PORT,
              "POST /v1/instances/" + instance_ + "/heartbeat HTTP/1.1\r\nHost: " + at_.ip +
                "\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body,
              response,
              1000);
  }

  bool respond(int fd,
               const std::string& id,
               const std::string& status,
               const std::string& headers,
               const std::string& body)
  {
    return send_all(fd,
                    "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) +
                      "\r\n" + (id.empty() ? "" : "X-Shallotfield-Request-Id: " + id + "\r\n") +
                      headers + "\r\n" + body);
  }

  void serve(int fd)
  {
    std::string buffer;
    http_message request;
    bool owes_bytes = false;
    while (is_up_) {
      if (buffer.empty() && !is_readable(fd)) {
        continue;
      }
      if (read_http(fd, buffer, request, now_ms() + 30'000) != read_result::complete ||
          !handle(fd, request, owes_bytes)) {
        return;
      }
    }
  }

  /** Handles one request. Returns whether the connection stays open. */
  bool handle(int fd, const http_message& request, bool& owes_bytes)
  {
    const std::string id = request.header("x-shallotfield-request-id");
    if (request.target() == "/healthz") {
      return respond(fd, id, "200 OK", "X-Shallotfield-Instance-Id: " + instance_ + "\r\n", "");
    }
    const std::string expected = request.header("x-shallotfield-expected-instance");
    if (!expected.empty() && expected != instance_) {
      return respond(
        fd, id, "421 Misdirected Request", "X-Shallotfield-Instance-Id: " + instance_ + "\r\n", "");
    }
    if (running_.fetch_add(1) >= SLOTS) {
      --running_;
      return respond(fd, id, "503 Service Unavailable", "X-Shallotfield-Not-Executed: 1\r\n", "");
    }
    log_.add_run(id, instance_);
    record("server %s runs %s", instance_.c_str(), id.c_str());
    if (owes_bytes) {
      owes_bytes = false;
      log_.add_disturbed(id, instance_);
      record(
        "server %s writes the additional bytes, while it runs %s", instance_.c_str(), id.c_str());
      send_all(fd, additional_bytes);
    }
    const std::int64_t until = now_ms() + work_ms(request);
    bool is_cut = false;
    while (now_ms() < until && !is_cut) {
      sleep_ms(std::min<std::int64_t>(5, std::max<std::int64_t>(until - now_ms(), 1)));
      is_cut = !is_up_ || is_closed_by_peer(fd);
    }
    --running_;
    if (is_cut) {
      record("server %s drops %s, since its connection closed", instance_.c_str(), id.c_str());
      return false;
    }
    log_.add_answer(id, 200);
    record("server %s answers %s with 200", instance_.c_str(), id.c_str());
    const bool is_sent = respond(
      fd, id, "200 OK", "X-Shallotfield-Response-Signature: sig-" + id + "\r\n", "done " + id);
    owes_bytes = is_sent && spoils_next && spoils_next();
    return is_sent;
  }

  machine at_;
  run_log& log_;
  std::string instance_;
  std::int64_t born_ = 0;
  int sequence_ = 0;
  std::unique_ptr<tcp_service> service_;
  std::thread beats_;
  std::atomic<int> running_{ 0 };
  std::atomic<bool> is_up_{ false };
};

} // namespace review
