// A server deregisters; the proxy beside it is killed and started again; a heartbeat that the
// server had sent before arrives late.
#include "../harness.h"

using namespace review;

static constexpr std::int64_t DRAIN_MS = 2000;
static constexpr std::int64_t STABLE_WINDOW_MS = 3000;

/** The server ends this long after its deregistration was acknowledged. */
static constexpr std::int64_t STAYS_MS = 7500;

/** Delay of the last heartbeat that the server sent before it deregistered. */
static constexpr std::int64_t HEARTBEAT_DELAY_MS = 3000;

static constexpr int CLIENTS = 8;
static constexpr std::int64_t ORDER_WORK_MS = 150;

int
main()
{
  deployment world;
  if (!world.create({ "orders", "orders", "catalogue", "catalogue" })) {
    return EXIT_NOT_RUN;
  }
  world.publish(format_config(7,
                              { { "shop.example", "r-orders", "unsafe", "/orders/", "orders", 1 } },
                              { "catalogue", "orders" }));
  backend& leaving = *world.servers[0];
  proxy_process& beside = *world.proxies[0];
  std::atomic<std::int64_t> acknowledged_at{ INT64_MAX };
  std::atomic<std::int64_t> in_touch_from{ 0 }; // Of the machine beside the leaving server.
  std::atomic<int> late{ 0 };
  std::atomic<int> lost{ 0 };
  leaving.on_run = [&](const http_message& request, std::int64_t& work_ms) {
    work_ms = ORDER_WORK_MS;
    const std::string id = request.header("x-shallotfield-request-id");
    const std::int64_t since = now_ms() - acknowledged_at;
    if (acknowledged_at != INT64_MAX && since > DRAIN_MS && now_ms() > in_touch_from) {
      ++late;
      record("leaving server runs order %s, %.3f s after the acknowledgement",
             id.c_str(),
             static_cast<double>(since) / 1000);
    }
    return run_result::answer;
  };
  leaving.on_done = [&](const http_message& request, bool is_answered) {
    if (!is_answered && acknowledged_at != INT64_MAX) {
      ++lost;
      record("leaving server ends while order %s is at work",
             request.header("x-shallotfield-request-id").c_str());
    }
  };
  world.servers[1]->on_run = [](const http_message&, std::int64_t& work_ms) {
    work_ms = ORDER_WORK_MS;
    return run_result::answer;
  };
  if (!world.start()) {
    world.stop();
    return EXIT_NOT_RUN;
  }

  std::atomic<bool> is_over{ false };
  std::atomic<int> answered{ 0 };
  std::vector<std::thread> clients;
  for (int i = 0; i < CLIENTS; ++i) {
    clients.emplace_back([&, i] {
      // Clients of the machines that nothing happens to.
      client kept(world.proxies[static_cast<std::size_t>(1 + i % 3)]->at().ip);
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
        answered += response.status() == 200 ? 1 : 0;
        if (response.status() != 200) {
          record("client: order %s got %d", id.c_str(), response.status());
        }
        sleep_ms(20);
      }
    });
  }
  sleep_ms(1000);
  leaving.stop_heartbeats();
  const std::string delayed = leaving.heartbeat_body("ready");
  const std::int64_t delayed_sent_at = now_ms();
  record("leaving server sends a heartbeat, which is delayed: %s", delayed.c_str());
  sleep_ms(200);
  if (!leaving.deregister()) {
    is_over = true;
    for (std::thread& item : clients) {
      item.join();
    }
    world.stop();
    return EXIT_NOT_RUN;
  }
  acknowledged_at = now_ms();
  record("the deregistration of server %s is acknowledged", leaving.instance().c_str());
  sleep_ms(500);
  if (has_trouble()) {
    beside.kill_now();
    record("platform: proxy %s is killed", beside.at().name.c_str());
    sleep_ms(500);
    beside.start(false);
    in_touch_from = now_ms() + STABLE_WINDOW_MS;
  }
  sleep_ms(std::max<std::int64_t>(delayed_sent_at + HEARTBEAT_DELAY_MS - now_ms(), 0));
  const bool was_taken = leaving.beat(delayed);
  record("the delayed heartbeat arrives, %s",
         was_taken ? "and is acknowledged" : "and is not acknowledged");
  sleep_ms(std::max<std::int64_t>(acknowledged_at + STAYS_MS - now_ms(), 0));
  leaving.end();
  record("the leaving server has ended");
  sleep_ms(1500);
  is_over = true;
  for (std::thread& item : clients) {
    item.join();
  }
  record("orders answered: %d; orders that reached the leaving server later than 2 s after the "
         "acknowledgement, with all machines in touch: %d; orders at work when it ended: %d",
         answered.load(),
         late.load(),
         lost.load());
  world.stop();
  return late > 0 ? EXIT_BROKEN : EXIT_HELD;
}
