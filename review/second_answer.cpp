// Cases 11 and 12: a faulty server writes additional bytes after a complete answer, and they arrive
// when the answer to the next request on the kept connection is expected.
#include "faulty_server.h"

#include <cstring>
#include <random>

using namespace review;

namespace {

/** Disruption, as `garble` with its default dose: share of the servers, and of their answers. */
constexpr int FAULTY_SERVERS = 2; // Of four.
constexpr double SPOILED_ANSWERS = 0.02;

constexpr int CLIENTS = 12;
constexpr std::int64_t TRAFFIC_MS = 40'000;
constexpr int ORDER_WORK_MS = 100;
constexpr int ORDER_DEADLINE_MS = 1000;

/** What the page on the wire shows for a server that sheds. */
constexpr const char* REFUSAL = "HTTP/1.1 503 Service Unavailable\r\n"
                                "X-Shallotfield-Not-Executed: 1\r\n"
                                "Content-Length: 0\r\n\r\n";

/** What a server writes that finds no request where it expects one. */
constexpr const char* FAILURE = "HTTP/1.1 400 Bad Request\r\n"
                                "Content-Length: 11\r\n\r\n"
                                "bad request";

/** What the clients saw. */
struct outcomes
{
  std::mutex mutex;
  std::map<std::string, int> status; ///< By request id; 0: no complete answer.
  std::map<std::string, bool> is_named;
  std::map<std::string, std::string> body;
};

void
send_orders(const std::string& ip, std::int64_t until, outcomes& seen)
{
  client connection(ip);
  while (now_ms() < until) {
    if (!connection.is_connected() && !connection.connect()) {
      sleep_ms(50);
      continue;
    }
    const std::string id = new_request_id();
    http_message response;
    const bool is_answered =
      connection.send(format_request(
        "POST", "/orders/new", "shop.example", id, ORDER_DEADLINE_MS, "one piece")) &&
      connection.read(response, ORDER_DEADLINE_MS + 1000) == read_result::complete;
    const int status = is_answered ? response.status() : 0;
    {
      const std::lock_guard lock(seen.mutex);
      seen.status[id] = status;
      seen.is_named[id] = !response.header("x-shallotfield-request-id").empty();
      seen.body[id] = response.body;
    }
    record("client: %s answered with %d \"%s\"", id.c_str(), status, response.body.c_str());
    if (!is_answered || response.header("connection") == "close") {
      connection.disconnect();
    }
    sleep_ms(5);
  }
}

/** Counts orders that were run twice, and orders that were refused as not run although a server
 * began to run them. */
int
count_broken_promises(run_log& log, outcomes& seen)
{
  int twice = 0;
  int refused = 0;
  for (const auto& [id, servers] : log.runs) {
    if (servers.size() > 1) {
      ++twice;
      record("TWICE: %s was run by %s and %s", id.c_str(), servers[0].c_str(), servers[1].c_str());
    }
    const int status = seen.status.contains(id) ? seen.status[id] : 0;
    if (status == 503 || status == 429 || status == 408 || status == 421) {
      ++refused;
      record("REFUSED: %s was answered with %d and was run by %s",
             id.c_str(),
             status,
             servers[0].c_str());
    }
  }
  record("result: %d orders run twice, %d refused as not run although run", twice, refused);
  return twice + refused;
}

/** Counts orders whose client got the additional bytes as the answer. */
int
count_foreign_answers(run_log& log, outcomes& seen)
{
  int foreign = 0;
  for (const auto& [id, status] : seen.status) {
    if (status == 400 && seen.body[id] == "bad request") {
      ++foreign;
      record("MIXED: %s got the additional bytes as its answer; %s ran it",
             id.c_str(),
             log.runs.contains(id) ? log.runs[id][0].c_str() : "nobody");
    }
  }
  record("result: %d orders answered with bytes that belong to no request", foreign);
  return foreign;
}

} // namespace

int
main(int argc, char** argv)
{
  const bool is_refusal = argc > 1 && std::strcmp(argv[1], "refusal") == 0;
  deployment world;
  if (!world.create({ "catalogue",
                      "orders",
                      "catalogue",
                      "orders",
                      "catalogue",
                      "orders",
                      "catalogue",
                      "orders" })) {
    return EXIT_NOT_RUN;
  }
  world.publish(
    format_config(7,
                  { { "shop.example", "puzzle-lookup", "safe", "/lookups/", "catalogue" },
                    { "shop.example", "piece-order", "unsafe", "/orders/", "orders" } },
                  { "catalogue", "orders" }));
  // The servers of this case take the place of those of the harness.
  run_log log;
  std::vector<std::unique_ptr<faulty_server>> servers;
  std::mutex random_mutex;
  std::mt19937 random(1);
  int faulty = 0;
  for (const auto& proxy : world.proxies) {
    auto server = std::make_unique<faulty_server>(proxy->at(), log);
    server->work_ms = [](const http_message& /*request*/) { return ORDER_WORK_MS; };
    server->additional_bytes = is_refusal ? REFUSAL : FAILURE;
    if (has_trouble() && proxy->at().service == "orders" && faulty < FAULTY_SERVERS) {
      ++faulty;
      server->spoils_next = [&] {
        const std::lock_guard lock(random_mutex);
        return std::bernoulli_distribution(SPOILED_ANSWERS)(random);
      };
    }
    servers.push_back(std::move(server));
  }
  world.servers.clear();
  if (!world.start()) {
    world.stop();
    return EXIT_NOT_RUN;
  }
  for (const auto& server : servers) {
    if (!server->start()) {
      world.stop();
      return EXIT_NOT_RUN;
    }
  }
  sleep_ms(4500); // The proxies learn of all servers.

  outcomes seen;
  const std::int64_t until = now_ms() + TRAFFIC_MS;
  std::vector<std::thread> clients;
  for (int i = 0; i < CLIENTS; ++i) {
    const std::string ip =
      world.proxies[static_cast<std::size_t>(i) % world.proxies.size()]->at().ip;
    clients.emplace_back([ip, until, &seen] { send_orders(ip, until, seen); });
  }
  for (std::thread& item : clients) {
    item.join();
  }
  sleep_ms(500);
  int served = 0;
  for (const auto& [id, status] : seen.status) {
    served += status == 200 ? 1 : 0;
  }
  record("clients sent %zu orders, %d were served; additional bytes came before %zu answers",
         seen.status.size(),
         served,
         log.disturbed.size());
  const int broken =
    is_refusal ? count_broken_promises(log, seen) : count_foreign_answers(log, seen);
  world.stop();
  for (const auto& server : servers) {
    server->end();
  }
  if (served < 100) {
    return EXIT_NOT_RUN;
  }
  return broken > 0 ? EXIT_BROKEN : EXIT_HELD;
}
