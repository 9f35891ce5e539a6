// Tests of the traffic thread of a proxy with a fake server and fake callers: a planned stop under
// load, callers that read slowly, and servers that never stop sending.
#include "fakes/fake_peer.h"
#include "fakes/traffic_fixture.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <random>

using namespace shallotfield;
using namespace std::chrono_literals;
using namespace std::string_literals;

/** Returns the resident memory of this process in bytes. */
static std::size_t
resident_bytes()
{
  std::ifstream status("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  status >> total >> resident;
  return resident * 4096;
}

/** Callers that keep up a load of about 1,000 requests a second. */
class caller_load
{
public:
  bool is_active = true; ///< Whether new requests are sent.
  std::size_t sent = 0;  ///< Number of requests sent.

  caller_load(traffic_fixture& fixture, std::size_t pipelined)
    : fixture_(fixture)
    , pipelined_(pipelined)
  {
  }

  /** Opens a connection and sends requests on it until it is closed, then opens the next one. */
  void add_caller()
  {
    if (!is_active) {
      return;
    }
    auto caller = std::make_shared<fake_caller>(fixture_.context, fixture_.record);
    if (!caller->open(fixture_.options.callers_address.port)) {
      return;
    }
    std::weak_ptr<fake_caller> weak = caller;
    caller->on_answered = [this, weak] { send_later(weak); };
    send(weak);
  }

private:
  void send(const std::weak_ptr<fake_caller>& weak)
  {
    const auto caller = weak.lock();
    if (!caller || !is_active) {
      return;
    }
    if (caller->has_ended) {
      add_caller();
      return;
    }
    for (std::size_t i = 0; i < pipelined_; ++i) {
      caller->send("r" + std::to_string(++sent), "/x");
    }
  }

  void send_later(const std::weak_ptr<fake_caller>& weak)
  {
    auto timer = std::make_shared<boost::asio::steady_timer>(
      fixture_.context, std::chrono::milliseconds(10 + fixture_.server.requests % 20));
    timer->async_wait([this, weak, timer, caller = weak.lock()](auto) { send(weak); });
  }

  traffic_fixture& fixture_;
  std::size_t pipelined_;
};

BOOST_FIXTURE_TEST_SUITE(proxy_traffics, traffic_fixture)

BOOST_AUTO_TEST_CASE(planned_stop_under_load_cuts_no_request)
{
  std::mt19937 random(20261205);
  std::set<std::string> ran;
  server.on_request = [&](const scripted_connection_ptr& to, const std::string& head) {
    ran.insert(header_of(head, "X-Shallotfield-Request-Id"));
    to->send_later(response_to(head, "hello"), std::chrono::milliseconds(2 + random() % 15));
  };
  caller_load kept_alive(*this, 1);
  caller_load pipelined(*this, 4);
  pipelined.sent = 1'000'000; // Separate request ids.
  for (int i = 0; i < 16; ++i) {
    kept_alive.add_caller();
    pipelined.add_caller();
  }
  run_for(std::chrono::milliseconds(400 + random() % 200));
  traffic->start_draining(read_clocks().mono + 3000);
  // The platform sends no new requests by the time of the drain, but some callers still do.
  run_for(200ms);
  kept_alive.is_active = false;
  pipelined.is_active = false;
  BOOST_TEST(run_until(context, [this] { return traffic->open_requests() == 0; }));
  traffic.reset();
  run_for(300ms);
  BOOST_TEST(record.statuses.size() > 200U);
  BOOST_TEST(record.mixed.empty());
  for (const auto& [id, status] : record.statuses) {
    BOOST_TEST((status == 200 || status == 503), id << " " << status);
    BOOST_TEST((status != 503 || !ran.contains(id)), id << " was refused and ran");
  }
  for (const auto& [id, age] : record.cut) {
    BOOST_TEST(!ran.contains(id), id << " ran and was cut off");
    BOOST_TEST(age.count() < 200, id << " was cut off " << age.count() << " ms after it was sent");
  }
}

// Guards against requests that arrive late in the grace period, are passed on, and are cut off when
// the process ends.
BOOST_AUTO_TEST_CASE(request_that_would_outlast_a_planned_stop_is_refused_in_time)
{
  server.on_request = [&](const scripted_connection_ptr& to, const std::string& head) {
    to->send(response_to(head, "hello"));
  };
  const mono_ms now = read_clocks().mono;
  traffic->plan_shutdown(now + 300, now + 1500);
  const auto caller = call();
  caller->send("r1", "/x", 2000);
  BOOST_TEST(run_until(context, [this] { return record.statuses.contains("r1"); }));
  BOOST_TEST(record.statuses["r1"] == 200U);
  run_for(std::chrono::milliseconds(std::max<mono_ms>(now + 301 - read_clocks().mono, 1)));
  caller->send("r2", "/x", 2000);
  caller->send("r3", "/x", 500);
  BOOST_TEST(run_until(context, [this] { return record.statuses.contains("r3"); }));
  BOOST_TEST(record.statuses["r2"] == 503U);
  BOOST_TEST(record.statuses["r3"] == 200U);
  BOOST_TEST(server.requests == 2);
}

// Guards against a request that is passed on in the moment at which the process ends.
BOOST_AUTO_TEST_CASE(no_request_is_taken_once_the_process_may_end)
{
  scripted_connection_ptr waiting;
  std::string waiting_head;
  server.on_request = [&](const scripted_connection_ptr& to, const std::string& head) {
    waiting = to;
    waiting_head = head;
  };
  const auto caller = call();
  caller->send("r1", "/x", 2000);
  BOOST_TEST(run_until(context, [&] { return waiting != nullptr; }));
  traffic->finish_if_idle();
  run_for(100ms);
  BOOST_TEST(!traffic->is_finished());
  waiting->send(response_to(waiting_head, "hello"));
  BOOST_TEST(run_until(context, [this] { return record.statuses.contains("r1"); }));
  traffic->finish_if_idle();
  BOOST_TEST(run_until(context, [this] { return traffic->is_finished(); }));
  caller->send("r2", "/x", 10);
  BOOST_TEST(run_until(context, [this] { return record.statuses.contains("r2"); }));
  BOOST_TEST(record.statuses["r2"] == 503U);
  BOOST_TEST(server.requests == 1);
}

BOOST_AUTO_TEST_CASE(stop_waits_for_a_caller_that_reads_slowly)
{
  const std::string body(3U << 20U, 'x');
  server.on_request = [&](const scripted_connection_ptr& to, const std::string& head) {
    to->send(response_to(head, body));
  };
  const auto caller = call(true);
  caller->read_delay = 1ms;
  caller->send("slow", "/big");
  BOOST_REQUIRE(run_until(context, [&] { return caller->bytes_read > 0; }));
  traffic->start_draining(read_clocks().mono + 5000);
  BOOST_TEST(run_until(context, [this] { return traffic->open_requests() == 0; }));
  traffic.reset();
  run_until(context, [&] { return caller->has_ended; });
  BOOST_TEST(record.statuses["slow"] == 200U);
  BOOST_TEST(record.cut.empty());
}

// Guards against a second copy of a refusal, which names no request, being taken for the response
// to the next request on the connection, which a server runs.
BOOST_AUTO_TEST_CASE(second_copy_of_a_refusal_refuses_no_other_request)
{
  static const std::string REFUSAL = "HTTP/1.1 503 Service Unavailable\r\n"
                                     "X-Shallotfield-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  std::set<const scripted_connection*> owes_copy;
  server.on_request = [&](const scripted_connection_ptr& to, const std::string& head) {
    const bool is_first = header_of(head, "X-Shallotfield-Request-Id").starts_with("shed");
    if (owes_copy.erase(to.get()) > 0) {
      to->send(REFUSAL);
    }
    if (is_first) {
      owes_copy.insert(to.get());
      to->send(REFUSAL);
      return;
    }
    to->send_later(response_to(head, "hello"), 20ms);
  };
  const auto caller = call();
  for (int i = 0; i < 10; ++i) {
    const std::string shed = "shed" + std::to_string(i);
    const std::string next = "next" + std::to_string(i);
    caller->send(shed, "/order/x");
    BOOST_TEST(run_until(context, [&] { return record.statuses.contains(shed); }));
    caller->send(next, "/order/x");
    BOOST_TEST(run_until(context, [&] { return record.statuses.contains(next); }));
    BOOST_TEST(record.statuses[shed] == 503U);
    BOOST_TEST(record.statuses[next] == 200U);
  }
}

BOOST_AUTO_TEST_CASE(responses_without_end_are_answered_in_time_and_bounded_in_memory)
{
  static constexpr std::size_t CALLERS = 100;
  static constexpr std::size_t MEMORY_MAX = 160U << 20U; // The smallest VM.
  const std::vector<std::string> starts = {
    "HTTP/1.1 200 OK\r\nX-Shallotfield-Response-Signature: s\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=",
    "HTTP/1.1 200 OK\r\nX-Long: ",
    "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", // And nothing more.
  };
  std::size_t next = 0;
  server.on_request = [&](const scripted_connection_ptr& to, const std::string&) {
    const std::string& start = starts[next++ % starts.size()];
    if (next % starts.size() == 0) {
      to->send(start);
    } else {
      to->send_without_end(start, "y");
    }
  };
  const std::size_t before = resident_bytes();
  std::vector<std::shared_ptr<fake_caller>> callers;
  const auto started_at = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < CALLERS; ++i) {
    callers.push_back(call());
    callers.back()->send("e" + std::to_string(i), "/x", 1500);
  }
  std::size_t peak = 0;
  BOOST_TEST(run_until(context, [&] {
    peak = std::max(peak, resident_bytes());
    return record.statuses.size() + record.cut.size() == CALLERS;
  }));
  const auto taken = std::chrono::steady_clock::now() - started_at;
  BOOST_TEST(std::chrono::duration_cast<std::chrono::milliseconds>(taken).count() < 2000);
  BOOST_TEST(record.statuses.size() == CALLERS);
  for (const auto& [id, status] : record.statuses) {
    BOOST_TEST((status == 502 || status == 503 || status == 504), id << " " << status);
  }
  BOOST_TEST(peak - before < MEMORY_MAX);
}

// Guards against a request that crashes servers without being noticed, and against taking any lost
// connection for a crash.
BOOST_AUTO_TEST_CASE(only_the_end_of_the_server_is_reported_as_a_crash)
{
  server.on_request = [&](const scripted_connection_ptr& to, const std::string& head) {
    if (head.starts_with("GET /lost")) {
      to->close();
    } else if (head.starts_with("GET /odd")) {
      boost::asio::post(context, [this] { server.crash(); });
    } else {
      to->send_later(response_to(head, "hello"), 2000ms);
    }
  };
  const auto caller = call();
  caller->send("r1", "/lost");
  BOOST_TEST(run_until(context, [this] { return record.statuses.contains("r1"); }));
  run_for(400ms);
  BOOST_TEST(crashes.empty());
  const auto beside = call();
  beside->send("r2", "/slow");
  run_for(50ms);
  caller->send("r3", "/odd");
  BOOST_TEST(run_until(context, [this] { return !crashes.empty(); }));
  run_for(400ms);
  const auto count_reports = [this](const std::string& target) {
    const request_digest digest = digest_request({ "GET", "h", target, "", "shop", "shop" }).exact;
    return std::count_if(crashes.begin(), crashes.end(), [&](const report_crash& report) {
      return std::any_of(report.requests.begin(),
                         report.requests.end(),
                         [&](const crash_suspicion& item) { return item.request == digest; });
    });
  };
  BOOST_TEST(count_reports("/odd") == 1);
  BOOST_TEST(count_reports("/slow") == 1);
}

// Guards against a success for the caller when the server stopped within the head of its response.
BOOST_AUTO_TEST_CASE(response_that_is_cut_in_its_head_is_no_success)
{
  static const std::string TARGET = "/order/x"; // Not retried.
  std::size_t length = 0;
  server.on_request = [&](const scripted_connection_ptr& to, const std::string& head) {
    to->send(response_to(head, "hello").substr(0, length));
    to->close_after_send();
  };
  const std::size_t complete =
    response_to("\r\nX-Shallotfield-Request-Id: r00\r\n", "hello").size();
  for (length = 0; length < complete; ++length) {
    const std::string id = "r" + std::to_string(100 + length).substr(1);
    const auto caller = call();
    caller->send(id.size() == 3 ? id : "r99", TARGET);
    BOOST_TEST(run_until(context, [&] { return caller->open_requests() == 0; }));
    caller->close();
  }
  for (const auto& [id, status] : record.statuses) {
    BOOST_TEST(status == 502U, id << " " << status);
  }
}

// Guards against a request that waits for a slot while others find out that it crashes servers, and
// is sent to the server all the same.
BOOST_AUTO_TEST_CASE(request_that_waits_is_refused_once_it_is_found)
{
  int odd_arrivals = 0;
  server.on_request = [&](const scripted_connection_ptr& to, const std::string& head) {
    odd_arrivals += head.starts_with("GET /odd") ? 1 : 0;
    to->send_later(response_to(head, "hello"), 700ms);
  };
  const auto caller = call();
  for (std::uint32_t i = 0; i < SLOTS; ++i) {
    call()->send("busy" + std::to_string(i), "/busy");
  }
  BOOST_TEST(run_until(context, [this] { return server.requests == SLOTS; }));
  caller->send("odd", "/odd");
  run_for(100ms);
  BOOST_TEST(traffic->open_requests() > SLOTS);
  crash_registry registry;
  const mono_ms now = read_clocks().mono;
  for (std::uint64_t crash = 1; crash <= 3; ++crash) {
    registry.add({ digest_request({ "GET", "h", "/odd", "", "", "" }).any_caller, crash, now },
                 now);
  }
  traffic->set_suspects(registry.build_view());
  run_for(200ms);
  BOOST_TEST(record.statuses["odd"] == 503U);
  BOOST_TEST(run_until(context, [this] { return record.statuses.size() == SLOTS + 1; }));
  BOOST_TEST(odd_arrivals == 0);
}

// Guards against requests that wait for their deadline at a server that crashed without closing its
// connections, and against a crash that is not ascribed to them.
BOOST_AUTO_TEST_CASE(new_incarnation_ends_the_requests_of_the_former_one)
{
  server.on_request = [](const scripted_connection_ptr&, const std::string&) {};
  const auto caller = call();
  caller->send("r1", "/order/x", 2000);
  BOOST_TEST(run_until(context, [this] { return server.requests == 1; }));
  traffic->set_server({ "shop", "i-2", SLOTS, server_state::ready }, 2);
  run_for(200ms);
  BOOST_TEST(record.statuses["r1"] == 502U);
  BOOST_REQUIRE(crashes.size() == 1U);
  BOOST_TEST((crashes[0].proof == crash_proof::new_incarnation));
  BOOST_TEST(crashes[0].requests.size() == 2U);
}

BOOST_AUTO_TEST_CASE(proxy_beside_the_server_rejects_a_request_that_others_still_send)
{
  server.on_request = [&](const scripted_connection_ptr& to, const std::string& head) {
    to->send(response_to(head, "hello"));
  };
  crash_registry registry;
  for (std::uint64_t crash = 1; crash <= 3; ++crash) {
    registry.add({ digest_request({ "GET", "h", "/odd", "", "other", "shop" }).exact,
                   crash,
                   read_clocks().mono },
                 read_clocks().mono);
  }
  traffic->set_suspects(registry.build_view());
  call_open call;
  call.id = 1;
  call.head = { "GET", "/odd", { { "Host", "h" } } };
  call.service = "shop";
  call.caller_service = "other";
  call.timeout_ms = 2000;
  call.objective_ms = 1000;
  const std::string reply = send_as_peer(call);
  BOOST_TEST(reply.find("crashes_servers") != std::string::npos);
  BOOST_TEST(server.requests == 0);
}

// Guards against connections that were accepted before a configuration and keep its lower limit.
BOOST_AUTO_TEST_CASE(new_limit_holds_on_connections_that_are_open)
{
  static constexpr std::size_t BODY_BYTES = 1'500'000; // Above the limit without a configuration.
  boost::asio::ip::tcp::socket caller(context);
  caller.connect({ boost::asio::ip::make_address("127.0.0.1"), options.callers_address.port });
  run_for(50ms);
  route_document document;
  document.version = 2;
  document.limits.body_bytes_max = 4 << 20;
  document.services.push_back({ "shop", "" });
  traffic->set_route_table(std::make_shared<const route_table>(std::move(document)));
  run_for(50ms);
  boost::asio::write(caller,
                     boost::asio::buffer("POST /none HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                                         std::to_string(BODY_BYTES) + "\r\n\r\n" +
                                         std::string(BODY_BYTES, 'x')));
  std::array<char, 1024> buffer{};
  std::string reply;
  caller.async_read_some(boost::asio::buffer(buffer),
                         [&](auto, std::size_t count) { reply.assign(buffer.data(), count); });
  BOOST_TEST(run_until(context, [&] { return !reply.empty(); }));
  BOOST_TEST(reply.starts_with("HTTP/1.1 404")); // No route matches, and it was not too large.
}

BOOST_AUTO_TEST_CASE(calls_that_ended_during_a_pause_are_not_started)
{
  // Another proxy sent two calls while this one was paused. It cancelled one of them, and then the
  // link ended, all before this process ran again.
  server.on_request = [](const scripted_connection_ptr&, const std::string&) {};
  traffic->record_control_tick(read_clocks().mono - 5000);
  run_for(50ms);
  call_open call;
  call.head = { "GET", "/x", { { "Host", "h" } } };
  call.service = "shop";
  call.instance = "i-1";
  call.timeout_ms = 2000;
  call.objective_ms = 1000;
  std::string bytes;
  for (const call_id id : { 1, 2 }) {
    call.id = id;
    bytes += encode_traffic(call);
  }
  bytes += encode_traffic(call_cancel{ 1 });
  boost::asio::ip::tcp::socket link(context);
  link.connect({ boost::asio::ip::make_address("127.0.0.1"), options.peers_port });
  boost::asio::write(link, boost::asio::buffer(bytes));
  link.close();
  run_for(400ms);
  BOOST_TEST(server.requests == 0);
}

/** Lets the proxy know one server only, beside a fake peer at 127.0.0.2. */
static void
set_single_peer(proxy_traffic& traffic)
{
  node_beacon self;
  self.id = "a";
  self.zone = "z";
  node_beacon other = self;
  other.id = "b";
  other.host = "127.0.0.2";
  other.server = { "shop", "i-2", traffic_fixture::SLOTS, server_state::ready };
  traffic.set_peers(std::make_shared<peer_view>(peer_view{ { "a", self }, { "b", other } }));
}

/** Sends an upload to the proxy. */
static void
send_upload(boost::asio::ip::tcp::socket& caller, std::uint16_t port)
{
  caller.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
  boost::asio::write(
    caller,
    boost::asio::buffer("POST /file/x HTTP/1.1\r\nHost: h\r\nX-Shallotfield-Request-Id: "
                        "u1\r\nContent-Length: 9\r\n\r\nthe-bytes"s));
}

BOOST_AUTO_TEST_CASE(body_of_an_upload_is_sent_once_it_is_granted)
{
  fake_peer peer(context, options.peers_port);
  set_single_peer(*traffic);
  boost::asio::ip::tcp::socket caller(context);
  send_upload(caller, options.callers_address.port);
  BOOST_TEST(run_until(context, [&] { return peer.has("call_credit"); }));
  boost::asio::write(peer.link, boost::asio::buffer(encode_traffic(call_credit{ 1, 0, {}, 0 })));
  run_for(500ms);
  BOOST_TEST(!peer.has("the-bytes"));
  boost::asio::write(peer.link, boost::asio::buffer(encode_traffic(call_credit{ 1, 9, {}, 0 })));
  BOOST_TEST(run_until(context, [&] { return peer.has("the-bytes"); }));
}

BOOST_AUTO_TEST_CASE(upload_to_a_proxy_that_knows_no_offers_is_sent_with_another_id)
{
  fake_peer peer(context, options.peers_port);
  set_single_peer(*traffic);
  boost::asio::ip::tcp::socket caller(context);
  send_upload(caller, options.callers_address.port);
  BOOST_TEST(run_until(context, [&] { return peer.has("the-bytes"); }));
  BOOST_TEST(peer.has("call_cancel"));
  // A refusal of the offer that was under way does not end the request, which may run.
  boost::asio::write(peer.link,
                     boost::asio::buffer(encode_traffic(call_failed{
                       1, failure_reason::queue_full, outcome::not_run, 100, load_report{}, 0 })));
  std::array<char, 1024> buffer{};
  std::string reply;
  caller.async_read_some(boost::asio::buffer(buffer),
                         [&](auto, std::size_t count) { reply.assign(buffer.data(), count); });
  run_for(300ms);
  BOOST_TEST(reply.empty());
}

BOOST_AUTO_TEST_CASE(offered_bodies_are_granted_one_after_the_other)
{
  server.on_request = [](const scripted_connection_ptr&, const std::string&) {};
  boost::asio::ip::tcp::socket link(context);
  link.connect({ boost::asio::ip::make_address("127.0.0.1"), options.peers_port });
  std::array<char, 4096> buffer{};
  std::string replies;
  std::function<void()> read = [&] {
    link.async_read_some(boost::asio::buffer(buffer),
                         [&](const boost::system::error_code& error, std::size_t count) {
                           replies.append(buffer.data(), count);
                           if (!error) {
                             read();
                           }
                         });
  };
  read();
  boost::asio::write(link,
                     boost::asio::buffer(encode_traffic(call_credit{ 1, 500, "file", 1500 }) +
                                         encode_traffic(call_credit{ 2, 600, "file", 1500 }) +
                                         encode_traffic(call_credit{ 3, 700, "file", 0 })));
  const auto has = [&replies](call_id call, std::int64_t bytes) {
    const std::string message = encode_traffic(call_credit{ call, bytes, {}, 0 });
    return replies.find(message) != std::string::npos;
  };
  // Grants the first, defers the second, and refuses the third, which is too late already.
  BOOST_TEST(run_until(context, [&] { return replies.find("queue_full") != std::string::npos; }));
  BOOST_TEST(has(1, 500));
  BOOST_TEST(has(2, 0));
  BOOST_TEST(!has(2, 600));
  call_open call;
  call.id = 1;
  call.head = { "POST", "/file/x", { { "Host", "h" } } };
  call.service = "shop";
  call.timeout_ms = 2000;
  call.objective_ms = 1000;
  call.body = std::string(500, 'x');
  boost::asio::write(link, boost::asio::buffer(encode_traffic(call)));
  BOOST_TEST(run_until(context, [&] { return has(2, 600); }));
  BOOST_TEST(run_until(context, [this] { return server.requests == 1; }));
}

BOOST_AUTO_TEST_CASE(connection_to_an_odd_peer_address_does_not_end_the_process)
{
  node_beacon self;
  self.id = "a";
  self.zone = "z";
  node_beacon odd = self;
  odd.id = "odd";
  odd.host = "10.1";
  odd.server = { "shop", "i-2", SLOTS, server_state::ready };
  server.on_request = [&](const scripted_connection_ptr& to, const std::string& head) {
    to->send(response_to(head, "hello"));
  };
  traffic->set_peers(std::make_shared<peer_view>(peer_view{ { "a", self }, { "odd", odd } }));
  const auto caller = call();
  caller->send("r1", "/x");
  BOOST_TEST(run_until(context, [this] { return record.statuses.contains("r1"); }));
  BOOST_TEST(record.statuses["r1"] == 503U);
}

/** The same, with a proxy that learns how many requests the server runs. */
struct limited_traffic_fixture : traffic_fixture
{
  limited_traffic_fixture()
    : traffic_fixture(true)
  {
  }
};

// Guards against a server that rejects all requests while its health check succeeds.
BOOST_FIXTURE_TEST_CASE(server_that_rejects_everything_gets_only_probes, limited_traffic_fixture)
{
  bool is_rejecting = true;
  server.on_request = [&](const scripted_connection_ptr& to, const std::string& head) {
    to->send(is_rejecting ? "HTTP/1.1 503 Busy\r\nX-Shallotfield-Request-Id: " +
                              header_of(head, "X-Shallotfield-Request-Id") +
                              "\r\nX-Shallotfield-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                          : response_to(head, "hello"));
  };
  const auto caller = call();
  for (int i = 0; i < 40; ++i) {
    const std::string id = "r" + std::to_string(i);
    caller->send(id, "/order/x", 1000);
    BOOST_TEST(run_until(context, [&] { return record.statuses.contains(id); }));
    BOOST_TEST(record.statuses[id] == 503U);
  }
  BOOST_TEST(server.requests < 25);
  BOOST_TEST(traffic->load().slots == 0U);
  // A probe is due after some time, and the requests that follow it run.
  is_rejecting = false;
  BOOST_TEST(run_until(context, [this] { return traffic->load().slots > 0U; }));
  caller->send("probe", "/order/x", 1000);
  BOOST_TEST(run_until(context, [this] { return record.statuses.contains("probe"); }));
  BOOST_TEST(record.statuses["probe"] == 200U);
  BOOST_TEST(traffic->load().slots >= SLOTS / 2);
}

BOOST_AUTO_TEST_SUITE_END()
