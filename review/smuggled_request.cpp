// Case 13: a client frames a body with a transfer coding that isn't `chunked`, and the body holds
// the text of another request.
#include "fakes/process_harness.h"

using namespace review;

namespace {

constexpr int ORDER_DEADLINE_MS = 1000;

/** Transfer codings of which `chunked` isn't the last one. */
constexpr const char* CODINGS[] = { "identity", "gzip", "chunked, identity" };

/** What the servers ran. */
struct run_log
{
  std::mutex mutex;
  std::map<std::string, std::string> body; ///< By request id.
};

std::string
head_of(const std::string& target, const std::string& id, const std::string& framing)
{
  return "POST " + target + " HTTP/1.1\r\nHost: shop.example\r\nX-Shallotfield-Request-Id: " + id +
         "\r\nX-Shallotfield-Deadline-Ms: " + std::to_string(ORDER_DEADLINE_MS) + "\r\n" + framing +
         "\r\n\r\n";
}

std::string
chunk_of(const std::string& text)
{
  char line[32];
  std::snprintf(line, sizeof line, "%zx\r\n", text.size());
  return line + text + "\r\n0\r\n\r\n";
}

/** Sends one order whose body holds the text of another. Returns the number of broken rules. */
int
play(const std::string& ip, const std::string& coding, run_log& log)
{
  const std::string outer = new_request_id();
  const std::string inner = new_request_id();
  const std::string body = head_of("/orders/inner", inner, "Content-Length: 0");
  const std::string request =
    has_trouble() ? head_of("/orders/outer", outer, "Transfer-Encoding: " + coding) + body
                  : head_of("/orders/outer", outer, "Transfer-Encoding: chunked") + chunk_of(body);
  record("client: sends order %s (%s); its body is the text of an order %s",
         outer.c_str(),
         has_trouble() ? coding.c_str() : "chunked",
         inner.c_str());
  client connection(ip);
  if (!connection.connect() || !connection.send(request)) {
    return -1;
  }
  http_message response;
  while (connection.read(response, 1500) == read_result::complete) {
    record("client: gets \"%s\"", response.start.c_str());
  }
  int broken = 0;
  const std::lock_guard lock(log.mutex);
  if (log.body.contains(inner)) {
    ++broken;
    record("UNASKED: a server ran %s, which was smuggled inside %s", inner.c_str(), outer.c_str());
  }
  if (log.body.contains(outer) && log.body[outer] != body) {
    ++broken;
    record("UNASKED: a server ran %s with a body of %zu bytes; the client sent %zu",
           outer.c_str(),
           log.body[outer].size(),
           body.size());
  }
  return broken;
}

} // namespace

int
main()
{
  deployment world;
  if (!world.create({ "catalogue", "orders", "catalogue", "orders" })) {
    return EXIT_NOT_RUN;
  }
  world.publish(
    format_config(7,
                  { { "shop.example", "puzzle-lookup", "safe", "/lookups/", "catalogue" },
                    { "shop.example", "piece-order", "unsafe", "/orders/", "orders" } },
                  { "catalogue", "orders" }));
  run_log log;
  for (const auto& server : world.servers) {
    server->on_run = [&log, &server](const http_message& request, std::int64_t& work_ms) {
      const std::string id = request.header("x-shallotfield-request-id");
      record("server %s runs %s %s with a body of %zu bytes",
             server->instance().c_str(),
             id.c_str(),
             request.target().c_str(),
             request.body.size());
      const std::lock_guard lock(log.mutex);
      log.body[id] = request.body;
      work_ms = 50;
      return run_result::answer;
    };
  }
  if (!world.start()) {
    world.stop();
    return EXIT_NOT_RUN;
  }
  int broken = 0;
  for (const auto& proxy : world.proxies) {
    for (const char* coding : CODINGS) {
      const int result = play(proxy->at().ip, coding, log);
      if (result < 0) {
        world.stop();
        return EXIT_NOT_RUN;
      }
      broken += result;
    }
  }
  record("result: %d requests smuggled, or run with another body", broken);
  world.stop();
  return broken > 0 ? EXIT_BROKEN : EXIT_HELD;
}
