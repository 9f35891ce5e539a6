// Case 14: a client sends several requests on a kept connection and takes some seconds to read
// their answers.
#include "fakes/process_harness.h"

using namespace review;

namespace {

constexpr int CLIENTS = 6;

/** Requests that a client sends before the first has been answered, and the size of each answer. */
constexpr int PIPELINED = 24;
constexpr std::size_t ANSWER_BYTES = 30'000;

constexpr int WORK_MS = 100;
constexpr int DEADLINE_MS = 6000;

/** Time that a client takes before it reads on, after it has read a first answer. */
constexpr int READING_PAUSE_MS = 3500;

/** What the clients saw. */
struct outcomes
{
  std::mutex mutex;
  std::map<std::string, bool> is_answered; ///< By request id.
};

void
send_batch(const std::string& ip, outcomes& seen)
{
  client connection(ip);
  if (!connection.connect()) {
    return;
  }
  // A first request, so that the connection is a kept one.
  http_message response;
  const std::string first = new_request_id();
  connection.send(format_request("GET", "/history/first", "shop.example", first, DEADLINE_MS));
  const bool is_kept = connection.read(response, DEADLINE_MS) == read_result::complete;
  std::vector<std::string> ids;
  std::string batch;
  for (int i = 0; i < PIPELINED; ++i) {
    ids.push_back(new_request_id());
    batch += format_request("GET", "/history/next", "shop.example", ids.back(), DEADLINE_MS);
  }
  connection.send(batch);
  const std::int64_t sent_at = now_ms();
  record("client %s: %s; sends %d requests, %s to %s",
         ip.c_str(),
         is_kept ? "the first request was answered" : "the first request failed",
         PIPELINED,
         ids.front().c_str(),
         ids.back().c_str());
  std::size_t answered = 0;
  bool is_open = true;
  for (std::size_t i = 0; i < ids.size(); ++i) {
    const std::int64_t left = sent_at + DEADLINE_MS - now_ms();
    is_open = is_open &&
              connection.read(response, std::max<std::int64_t>(left, 1)) == read_result::complete;
    const bool is_answered = is_open && response.header("x-shallotfield-request-id") == ids[i];
    answered += is_answered ? 1 : 0;
    {
      const std::lock_guard lock(seen.mutex);
      seen.is_answered[ids[i]] = is_answered;
    }
    if (i == 0 && has_trouble()) {
      record("client %s: reads on after %d ms", ip.c_str(), READING_PAUSE_MS);
      sleep_ms(READING_PAUSE_MS);
    }
  }
  record("client %s: %zu of %d answers came, connection %s, %lld ms after the batch was sent",
         ip.c_str(),
         answered,
         PIPELINED,
         is_open ? "open" : "closed",
         static_cast<long long>(now_ms() - sent_at));
}

} // namespace

int
main()
{
  deployment world;
  if (!world.create({ "catalogue", "templates", "catalogue", "templates" })) {
    return EXIT_NOT_RUN;
  }
  world.publish(
    format_config(7,
                  { { "shop.example", "post-status", "safe", "/lookups/", "catalogue" },
                    { "shop.example", "usage-history", "safe", "/history/", "templates", 3 } },
                  { "catalogue", "templates" }));
  std::mutex mutex;
  std::set<std::string> answered_by_server;
  for (const auto& server : world.servers) {
    server->on_run = [](const http_message& /*request*/, std::int64_t& work_ms) {
      work_ms = WORK_MS;
      return run_result::answer;
    };
    server->make_body = [](const http_message& /*request*/) {
      return std::string(ANSWER_BYTES, 'h');
    };
    server->on_done = [&](const http_message& request, bool is_answered) {
      const std::lock_guard lock(mutex);
      if (is_answered) {
        answered_by_server.insert(request.header("x-shallotfield-request-id"));
      }
    };
  }
  if (!world.start()) {
    world.stop();
    return EXIT_NOT_RUN;
  }
  outcomes seen;
  std::vector<std::thread> clients;
  for (int i = 0; i < CLIENTS; ++i) {
    const std::string ip =
      world.proxies[static_cast<std::size_t>(i) % world.proxies.size()]->at().ip;
    clients.emplace_back([ip, &seen] { send_batch(ip, seen); });
  }
  for (std::thread& item : clients) {
    item.join();
  }
  int lost = 0;
  for (const auto& [id, is_answered] : seen.is_answered) {
    if (!is_answered && answered_by_server.contains(id)) {
      ++lost;
      record("LOST: a server answered %s, and its connection was closed without an answer",
             id.c_str());
    }
  }
  record("result: %zu requests sent, %zu answered by servers, %d of these lost",
         seen.is_answered.size(),
         answered_by_server.size(),
         lost);
  world.stop();
  return lost > 3 ? EXIT_BROKEN : EXIT_HELD;
}
