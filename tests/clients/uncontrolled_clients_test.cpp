// Clients that nobody controls, at real proxies: each case plays one crowd against one proxy of two
// and checks what doesn't depend on the speed of the machine: that the processes live, stay within
// their memory and descriptors, and answer one ordinary request afterwards.
#include "fakes/process_harness.h"

#include <boost/test/unit_test.hpp>

using namespace review;

namespace {

/** Limits of the proxies in the cases with a crowd, lowered so that a small crowd shows the fault.
 */
constexpr std::size_t CROWD_MEMORY_MB = 64;
constexpr std::int64_t CROWD_BODY_BYTES_MAX = 8 << 20;
constexpr std::size_t CROWD_DESCRIPTORS = 256;

/** Descriptors that must stay free for peers, the server and files. */
constexpr std::size_t SPARE_DESCRIPTORS = 32;

/** Memory of the smallest VM of the platform, for one request of the largest size in calm. */
constexpr std::size_t CALM_MEMORY_MB = 160;
constexpr std::size_t CALM_BODY_BYTES = 67'000'000;

/** Number of clients in a crowd, and of those that complete their requests. */
constexpr int CROWD = 24;
constexpr int COMPLETING = 4;

/** Number of clients that say nothing. */
constexpr int SILENT_CROWD = 300;

/** Size of the answers that are never read, and their number on each connection. */
constexpr std::size_t LARGE_ANSWER_BYTES = 1 << 20;
constexpr int UNREAD_ANSWERS = 24;

constexpr std::size_t MB = 1 << 20;

/** Two machines: clients call the proxy of the first, whose service has no part in the case; their
 * requests are run by the server of the second. */
class two_machines
{
public:
  two_machines(std::size_t memory_mb, std::int64_t body_bytes_max)
    : memory_bytes_(memory_mb * MB)
  {
    process_limits limits;
    limits.memory_mb = memory_mb;
    limits.descriptors = CROWD_DESCRIPTORS;
    limits.program = PROXY_PROGRAM;
    BOOST_REQUIRE(world_.create({ "catalogue", "orders" }, limits));
    world_.publish(
      format_config(7,
                    { { "shop.example", "r-orders", "unsafe", "/orders/", "orders", 8 },
                      { "shop.example", "r-lists", "safe", "/lists/", "orders", 8 } },
                    { "catalogue", "orders" },
                    body_bytes_max));
    for (const auto& server : world_.servers) {
      server->on_run = [](const http_message& /*request*/, std::int64_t& work_ms) {
        work_ms = 20;
        return run_result::answer;
      };
      server->make_body = [](const http_message& request) {
        return request.target() == "/lists/large" ? std::string(LARGE_ANSWER_BYTES, 'a') : "done";
      };
    }
    BOOST_REQUIRE(world_.start());
  }
  ~two_machines() { world_.stop(); }
  two_machines(const two_machines&) = delete;
  two_machines& operator=(const two_machines&) = delete;

  std::string callers_ip() const { return world_.proxies[0]->at().ip; }

  /** Checks what must hold. Clients of the crowd stay open meanwhile. */
  void check()
  {
    BOOST_TEST(is_answered(), "an ordinary request is answered");
    for (const auto& proxy : world_.proxies) {
      BOOST_TEST(!proxy->has_ended(), "the process of " << proxy->at().name << " lives");
      const std::size_t peak = proxy->status_bytes("VmHWM");
      BOOST_TEST_MESSAGE(proxy->at().name << " held up to " << peak / MB << " MB of "
                                          << memory_bytes_ / MB << " MB, "
                                          << proxy->open_descriptors() << " descriptors");
      BOOST_TEST(peak > 0U);
      BOOST_TEST(peak <= memory_bytes_);
      BOOST_TEST(proxy->open_descriptors() <= CROWD_DESCRIPTORS - SPARE_DESCRIPTORS);
    }
  }

private:
  /** Sends one ordinary request, again after a refusal, and returns whether it was answered. */
  bool is_answered()
  {
    static constexpr int ATTEMPTS = 10;
    for (int i = 0; i < ATTEMPTS; ++i) {
      http_message response;
      const std::string request =
        format_request("GET", "/lists/one", "shop.example", new_request_id(), 3000);
      if (call_once(callers_ip(), OUTBOUND_PORT, request, response, 4000) ==
            read_result::complete &&
          response.status() == 200) {
        return true;
      }
      sleep_ms(500);
    }
    return false;
  }

  deployment world_;
  std::size_t memory_bytes_;
};

/** What one client sends: its request without the end, and the end. */
struct script
{
  std::vector<std::string> pieces; ///< Sent one after the other.
  std::string end;                 ///< What completes the request; empty: it has no end.
};

/** Returns the head of a request with a body. `framing` is the header that frames the body. */
std::string
upload_head(const std::string& framing)
{
  return "POST /orders/upload HTTP/1.1\r\nHost: shop.example\r\nX-Shallotfield-Request-Id: " +
         new_request_id() + "\r\nX-Shallotfield-Deadline-Ms: 5000\r\n" + framing + "\r\n\r\n";
}

/** Returns a body of `size` bytes in chunks of `chunk_bytes`, without the last chunk. */
std::string
chunks_of(std::size_t size, std::size_t chunk_bytes)
{
  char line[32];
  std::snprintf(line, sizeof line, "%zx\r\n", chunk_bytes);
  const std::string chunk = line + std::string(chunk_bytes, 'x') + "\r\n";
  std::string bytes;
  bytes.reserve(size / chunk_bytes * chunk.size());
  for (std::size_t i = 0; i < size / chunk_bytes; ++i) {
    bytes += chunk;
  }
  return bytes;
}

/** Connections of a crowd, which stay open until the crowd is destroyed. */
class crowd
{
public:
  explicit crowd(std::string ip)
    : ip_(std::move(ip))
  {
  }
  ~crowd()
  {
    for (const int fd : fds_) {
      close(fd);
    }
  }
  crowd(const crowd&) = delete;
  crowd& operator=(const crowd&) = delete;

  /** Opens a connection, which gives up a write that takes over two seconds. */
  int open()
  {
    const int fd = connect_to(ip_, OUTBOUND_PORT);
    if (fd >= 0) {
      const timeval limit{ 2, 0 };
      setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
      const std::lock_guard lock(mutex_);
      fds_.push_back(fd);
    }
    return fd;
  }

  /** Plays a script on `clients` connections at once; the first `completing` send its end too. */
  void play(int clients, int completing, const std::function<script()>& write)
  {
    std::vector<std::thread> threads;
    for (int i = 0; i < clients; ++i) {
      threads.emplace_back([this, i, completing, &write] {
        const int fd = open();
        const script lines = write();
        bool is_open = fd >= 0;
        for (const std::string& piece : lines.pieces) {
          is_open = is_open && send_all(fd, piece);
        }
        if (is_open && i < completing) {
          send_all(fd, lines.end);
        }
      });
    }
    for (std::thread& item : threads) {
      item.join();
    }
    sleep_ms(300); // What was sent last has arrived.
  }

private:
  std::string ip_;
  std::mutex mutex_;
  std::vector<int> fds_;
};

/** Returns a text in pieces. */
std::vector<std::string>
split(const std::string& text, std::size_t piece_bytes)
{
  std::vector<std::string> pieces;
  for (std::size_t at = 0; at < text.size(); at += piece_bytes) {
    pieces.push_back(text.substr(at, piece_bytes));
  }
  return pieces;
}

/** Plays one crowd of uploads against proxies with the lowered limits. */
void
check_crowd(const std::function<script()>& write)
{
  two_machines world(CROWD_MEMORY_MB, CROWD_BODY_BYTES_MAX);
  crowd clients(world.callers_ip());
  clients.play(CROWD, COMPLETING, write);
  world.check();
}

std::string
announced_head(std::size_t size)
{
  return upload_head("Content-Length: " + std::to_string(size));
}

} // namespace

BOOST_AUTO_TEST_SUITE(clients_large_bodies)
BOOST_AUTO_TEST_CASE(most_stop_just_short_of_the_end)
{
  check_crowd([] {
    return script{
      { announced_head(CROWD_BODY_BYTES_MAX) + std::string(CROWD_BODY_BYTES_MAX - 1, 'x') }, "x"
    };
  });
}
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(clients_bodies_in_pieces)
BOOST_AUTO_TEST_CASE(most_stop_just_short_of_the_end)
{
  check_crowd([] {
    return script{ split(announced_head(CROWD_BODY_BYTES_MAX) +
                           std::string(CROWD_BODY_BYTES_MAX - 1, 'x'),
                         10'000),
                   "x" };
  });
}
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(clients_large_chunks)
BOOST_AUTO_TEST_CASE(most_stop_just_short_of_the_end)
{
  check_crowd([] {
    return script{ { upload_head("Transfer-Encoding: chunked") +
                     chunks_of(CROWD_BODY_BYTES_MAX, 1 << 20) },
                   "0\r\n\r\n" };
  });
}
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(clients_small_chunks)
BOOST_AUTO_TEST_CASE(most_stop_just_short_of_the_end)
{
  check_crowd([] {
    return script{ split(upload_head("Transfer-Encoding: chunked") +
                           chunks_of(CROWD_BODY_BYTES_MAX / 2, 3),
                         10'000),
                   "0\r\n\r\n" };
  });
}
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(clients_over_the_limit)
BOOST_AUTO_TEST_CASE(bodies_far_over_the_limit_are_announced)
{
  check_crowd([] {
    return script{ split(announced_head(100 * CROWD_BODY_BYTES_MAX) +
                           std::string(2 * CROWD_BODY_BYTES_MAX, 'x'),
                         1 << 20),
                   "" };
  });
}
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(clients_endless_chunks)
BOOST_AUTO_TEST_CASE(bodies_far_over_the_limit_are_sent)
{
  check_crowd([] {
    return script{ split(upload_head("Transfer-Encoding: chunked") +
                           chunks_of(4 * CROWD_BODY_BYTES_MAX, 4096),
                         1 << 20),
                   "" };
  });
}
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(clients_slow_heads)
BOOST_AUTO_TEST_CASE(heads_come_byte_by_byte)
{
  two_machines world(CROWD_MEMORY_MB, CROWD_BODY_BYTES_MAX);
  crowd clients(world.callers_ip());
  clients.play(CROWD, 0, [] {
    const std::string head = "GET /lists/one HTTP/1.1\r\nHost: shop.example\r\nX-Long: ";
    return script{ split(head + std::string(12'000, 'y'), 1), "" };
  });
  world.check();
}
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(clients_unread_pipelines)
BOOST_AUTO_TEST_CASE(answers_are_never_read)
{
  check_crowd([] {
    std::string requests;
    for (int i = 0; i < 24; ++i) {
      requests +=
        announced_head(CROWD_BODY_BYTES_MAX / 8) + std::string(CROWD_BODY_BYTES_MAX / 8, 'x');
    }
    return script{ split(requests, 1 << 20), "" };
  });
}
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(clients_unread_answers)
BOOST_AUTO_TEST_CASE(large_answers_are_never_read)
{
  two_machines world(CROWD_MEMORY_MB, CROWD_BODY_BYTES_MAX);
  crowd clients(world.callers_ip());
  clients.play(CROWD, 0, [] {
    std::string requests;
    for (int i = 0; i < UNREAD_ANSWERS; ++i) {
      requests += format_request("GET", "/lists/large", "shop.example", new_request_id(), 8000);
    }
    return script{ { requests }, "" };
  });
  sleep_ms(3000); // The answers have arrived at the proxy.
  world.check();
}
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(clients_silent)
BOOST_AUTO_TEST_CASE(connections_say_nothing)
{
  two_machines world(CROWD_MEMORY_MB, CROWD_BODY_BYTES_MAX);
  crowd clients(world.callers_ip());
  for (int i = 0; i < SILENT_CROWD; ++i) {
    clients.open();
  }
  sleep_ms(300);
  world.check();
}
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(clients_largest_body)
BOOST_AUTO_TEST_CASE(one_body_of_the_largest_size_is_served_in_calm)
{
  for (const bool is_chunked : { false, true }) {
    two_machines world(CALM_MEMORY_MB, 67'108'864);
    http_message response;
    const std::string request =
      is_chunked ? upload_head("Transfer-Encoding: chunked") +
                     chunks_of(CALM_BODY_BYTES, 1'000'000) + "0\r\n\r\n"
                 : announced_head(CALM_BODY_BYTES) + std::string(CALM_BODY_BYTES, 'x');
    BOOST_TEST((call_once(world.callers_ip(), OUTBOUND_PORT, request, response, 8000) ==
                read_result::complete));
    BOOST_TEST(response.status() == 200);
    world.check();
  }
}
BOOST_AUTO_TEST_SUITE_END()
