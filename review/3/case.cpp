// A request that crashes each server that begins to run it comes again, beside ordinary orders.
#include "../harness.h"

using namespace review;

/** Time from the crash of a server until it is back. */
static constexpr std::int64_t RESTART_MS = 3000;

static constexpr std::int64_t STABLE_WINDOW_MS = 3000;
static constexpr std::size_t CRASHES_BEFORE = 3;
static constexpr int RETRIES_MAX = 3;

/** The request comes again this often, at another machine each time. */
static constexpr int COMINGS = 14;
static constexpr std::int64_t COMING_INTERVAL_MS = 2500;

static constexpr int ORDER_CLIENTS = 6;
static constexpr std::int64_t ORDER_WORK_MS = 300;

int
main()
{
  deployment world;
  if (!world.create(
        { "catalogue", "catalogue", "catalogue", "catalogue", "catalogue", "catalogue" })) {
    return EXIT_NOT_RUN;
  }
  world.publish(
    format_config(7,
                  { { "look.example", "r-lookup", "safe", "/lookup/", "catalogue", 0.8 },
                    { "shop.example", "r-orders", "unsafe", "/orders/", "catalogue", 1 } },
                  { "catalogue" }));
  std::mutex mutex;
  std::vector<std::int64_t> crashed_at;
  std::map<std::string, int> runs; // Of the crashing request, by client attempt.
  std::vector<std::pair<std::string, std::int64_t>> arrivals;
  std::set<std::string> begun;
  std::atomic<int> orders_cut{ 0 };
  for (const auto& server : world.servers) {
    server->on_run = [&](const http_message& request, std::int64_t& work_ms) {
      const std::string id = request.header("x-shallotfield-request-id");
      work_ms = ORDER_WORK_MS;
      if (request.target() != "/lookup/odd") {
        return run_result::answer;
      }
      work_ms = 20;
      const std::lock_guard lock(mutex);
      arrivals.emplace_back(id, now_ms());
      record("server %s begins the odd request %s, run %d of this id",
             request.header("x-shallotfield-expected-instance").c_str(),
             id.c_str(),
             ++runs[id]);
      if (!has_trouble()) {
        return run_result::answer;
      }
      crashed_at.push_back(now_ms());
      return run_result::crash;
    };
    server->on_done = [&](const http_message& request, bool is_answered) {
      if (!is_answered && request.target() == "/orders/place") {
        ++orders_cut;
        record("server: order %s was at work and is cut off",
               request.header("x-shallotfield-request-id").c_str());
      }
    };
  }
  if (!world.start()) {
    world.stop();
    return EXIT_NOT_RUN;
  }

  std::atomic<bool> is_over{ false };
  std::thread supervisor([&] {
    std::map<backend*, std::int64_t> back_at;
    while (!is_over) {
      for (const auto& server : world.servers) {
        if (!server->is_up() && !back_at.contains(server.get())) {
          server->end();
          record("server %s has crashed", server->at().name.c_str());
          back_at[server.get()] = now_ms() + RESTART_MS;
        } else if (!server->is_up() && now_ms() >= back_at[server.get()]) {
          back_at.erase(server.get());
          server->start();
        }
      }
      sleep_ms(5);
    }
  });

  std::atomic<int> orders_ok{ 0 };
  std::atomic<int> orders_unknown{ 0 };
  std::atomic<int> orders_refused{ 0 };
  std::vector<std::thread> clients;
  for (int i = 0; i < ORDER_CLIENTS; ++i) {
    clients.emplace_back([&, i] {
      const std::string& ip = world.proxies[static_cast<std::size_t>(i)]->at().ip;
      client kept(ip);
      while (!is_over) {
        if (!kept.is_connected()) {
          kept.connect();
        }
        const std::string id = new_request_id();
        http_message response;
        if (!kept.send(
              format_request("POST", "/orders/place", "shop.example", id, 1000, "one piece")) ||
            kept.read(response, 2000) != read_result::complete) {
          kept.disconnect();
          record("client: order %s got no answer", id.c_str());
          continue;
        }
        const int status = response.status();
        orders_ok += status == 200 ? 1 : 0;
        orders_refused += status == 503 ? 1 : 0;
        if (status != 200 && status != 503) {
          ++orders_unknown;
          record("client: order %s got %d", id.c_str(), status);
        }
        sleep_ms(30);
      }
    });
  }
  sleep_ms(500);
  for (int i = 0; i < COMINGS; ++i) {
    const std::string& ip =
      world.proxies[static_cast<std::size_t>(i) % world.proxies.size()]->at().ip;
    const std::string id = new_request_id();
    client fresh(ip);
    fresh.connect();
    const std::int64_t sent_at = now_ms();
    fresh.send(format_request("GET", "/lookup/odd", "look.example", id, 800));
    http_message response;
    const read_result result = fresh.read(response, 1500);
    record("client: odd request %s, coming %d, got %s",
           id.c_str(),
           i + 1,
           result == read_result::complete ? response.start.c_str() : "no answer");
    sleep_ms(std::max<std::int64_t>(COMING_INTERVAL_MS - (now_ms() - sent_at), 0));
  }
  is_over = true;
  for (std::thread& item : clients) {
    item.join();
  }
  supervisor.join();
  world.stop();

  // Retries: arrivals after the first of their client attempt. The comings, which are the client's
  // own retries, are counted beside them.
  int own_retries = 0;
  int late_arrivals = 0;
  std::set<std::string> seen;
  const std::int64_t from = crashed_at.size() >= CRASHES_BEFORE
                              ? crashed_at[CRASHES_BEFORE - 1] + STABLE_WINDOW_MS
                              : INT64_MAX;
  for (const auto& [id, at] : arrivals) {
    const bool is_repeat = !seen.insert(id).second;
    late_arrivals += at > from ? 1 : 0;
    own_retries += at > from && is_repeat ? 1 : 0;
  }
  record("servers crashed: %zu times", crashed_at.size());
  record("later than 3 s after the third crash: %d arrivals of the odd request, %d of them retries "
         "of the proxies",
         late_arrivals,
         own_retries);
  record("orders: %d answered, %d refused, %d cut off at a server, %d with an unknown outcome",
         orders_ok.load(),
         orders_refused.load(),
         orders_cut.load(),
         orders_unknown.load());
  return own_retries > RETRIES_MAX ? EXIT_BROKEN : EXIT_HELD;
}
