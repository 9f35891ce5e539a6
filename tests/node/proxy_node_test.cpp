// Tests of a whole proxy against a fake store that holds odd entries of another writer.
#include "fakes/fake_server.h"
#include "fakes/fake_store.h"
#include "fakes/reserved_port.h"
#include "process/node.h"

#include <QNetworkDatagram>
#include <QUdpSocket>
#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>
#include <list>

using namespace shallotfield;
using nlohmann::json;

/** Returns an item of a page: a directory entry with the given host. */
static json
directory_item(const std::string& key, const std::string& host)
{
  node_beacon node;
  node.host = host;
  node.zone = "z";
  node.region = "r";
  const std::string value = encode_directory_entry(node);
  return { { "key", key },
           { "value", QByteArray::fromStdString(value).toBase64().toStdString() },
           { "offset", 1 } };
}

/** Returns an item of a page with any bytes as its value. */
static json
raw_item(const std::string& key, const std::string& value)
{
  return { { "key", key },
           { "value", QByteArray::fromStdString(value).toBase64().toStdString() },
           { "offset", 1 } };
}

/** Returns a page of the operator's topic with a configuration whose servers have health checks. */
static std::string
operator_page_with_shop()
{
  const json config = { { "version", 7 },
                        { "limits",
                          { { "max_header_bytes", 9000 },
                            { "max_body_bytes", 1000 },
                            { "header_timeout_s", 5 },
                            { "idle_timeout_s", 60 } } },
                        { "listeners",
                          { { { "host", "h" },
                              { "rules",
                                { { { "name", "all" },
                                    { "kind", "unsafe" },
                                    { "target_latency_s", 1 },
                                    { "priority", 0 },
                                    { "match", { { "prefix", "/" } } },
                                    { "action",
                                      { { "service", "shop" },
                                        { "timeout_s", 2 },
                                        { "max_attempts", 1 } } } } } } } } },
                        { "clusters",
                          { { { "name", "shop" }, { "health_check_path", "/healthz" } } } } };
  json item = raw_item("config", config.dump());
  item["offset"] = 0;
  return json{ { "items", { item } }, { "has_more", false }, { "end", 1 } }.dump();
}

/** A proxy whose ports are free ones, and its store. */
struct node_fixture
{
  node_fixture()
  {
    options.node_id = "m";
    options.region = "r";
    options.zone = "z";
    options.host = "127.0.0.1";
    options.service = "shop";
    options.server_address = { "127.0.0.1", 1 };
    options.store_address = { "127.0.0.1", store.port() };
    options.server_heartbeat_ms = 1500;
    options.processor_permille = 100;
    options.is_first_start = true;
    for (endpoint proxy_settings::*address : { &proxy_settings::callers_address,
                                               &proxy_settings::readiness_address,
                                               &proxy_settings::announcements_address,
                                               &proxy_settings::metrics_address }) {
      options.*address = { "127.0.0.1", reserve_port() };
    }
    options.peers_port = reserve_two_ports();
  }

  /** Reserves a port for the proxy and returns its number. */
  std::uint16_t reserve_port() { return reserved.emplace_back().number(); }

  /** Reserves a port and the next higher one, of TCP and free of datagrams, and returns the first.
   */
  std::uint16_t reserve_two_ports()
  {
    for (;;) {
      const std::uint16_t first = reserve_port();
      const auto second = static_cast<std::uint16_t>(first + 1);
      try {
        reserved.emplace_back(second);
      } catch (const boost::system::system_error&) {
        continue; // The next higher port is taken.
      }
      QUdpSocket datagrams;
      if (datagrams.bind(QHostAddress("127.0.0.1"), second)) {
        return first;
      }
    }
  }

  /** Starts the proxy. */
  void start()
  {
    node = std::make_unique<proxy_node>(options, platform::fleet_bounds{});
    boost::leaf::try_handle_all([this] { return node->start(); },
                                [] { BOOST_FAIL("the proxy does not start"); });
  }

  /** Listens as the peer with an address, and counts the datagrams of the proxy. */
  std::unique_ptr<QUdpSocket> listen_as(const QString& host, int& datagrams) const
  {
    auto socket = std::make_unique<QUdpSocket>();
    BOOST_REQUIRE(
      socket->bind(QHostAddress(host), static_cast<std::uint16_t>(options.peers_port + 1)));
    QUdpSocket* raw = socket.get();
    QObject::connect(raw, &QUdpSocket::readyRead, raw, [raw, &datagrams] {
      while (raw->hasPendingDatagrams()) {
        raw->receiveDatagram();
        ++datagrams;
      }
    });
    return socket;
  }

  /** Runs the event loop for a time. */
  static void run_for(int ms)
  {
    bool is_over = false;
    QTimer::singleShot(ms, [&is_over] { is_over = true; });
    run_until([&is_over] { return is_over; });
  }

  fake_store store;
  std::list<reserved_port> reserved;
  proxy_settings options;
  std::unique_ptr<proxy_node> node;
};

/** A proxy in the same zone, played by the test. */
class fake_peer
{
public:
  fake_peer(const QString& host, std::uint16_t port_of_all)
    : port_(port_of_all)
  {
    beacon_.id = "p" + host.toStdString();
    beacon_.region = "r";
    beacon_.zone = "z";
    beacon_.host = host.toStdString();
    BOOST_REQUIRE(socket_.bind(QHostAddress(host), port_));
    QObject::connect(&socket_, &QUdpSocket::readyRead, &socket_, [this] { receive(); });
  }

  /** Sends the beacon of a process of this peer. */
  void send_beacon(std::uint64_t boot_id)
  {
    beacon_.boot_id = boot_id;
    ++beacon_.sequence;
    send(encode_beacons({ &beacon_ }));
  }

  /** Sends crash records to the proxy under test. */
  void send_records(const std::vector<crash_record>& records)
  {
    send(encode_crash_records(records, read_clocks().mono));
  }

  crash_registry received;          ///< From the records that arrived.
  server_status server;             ///< Of the proxy under test, by its latest beacon.
  std::uint64_t config_version = 0; ///< The same.

private:
  void send(const std::vector<std::string>& datagrams)
  {
    for (const std::string& bytes : datagrams) {
      socket_.writeDatagram(
        bytes.data(), static_cast<qint64>(bytes.size()), QHostAddress("127.0.0.1"), port_);
    }
  }

  void receive()
  {
    while (socket_.hasPendingDatagrams()) {
      const QByteArray data = socket_.receiveDatagram().data();
      const std::string_view bytes(data.data(), static_cast<std::size_t>(data.size()));
      if (has_crash_records(bytes)) {
        const mono_ms now = read_clocks().mono;
        boost::leaf::try_handle_all(
          [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(report, parse_crash_records(bytes, now));
            for (const crash_record& record : report.records) {
              received.add(record, now);
            }
            return {};
          },
          [] { BOOST_ERROR("odd crash records"); });
        continue;
      }
      boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_AUTO(content, parse_beacons(bytes));
          for (const node_beacon& beacon : content.beacons) {
            server = beacon.server;
            config_version = beacon.config_version;
          }
          return {};
        },
        [] { BOOST_ERROR("odd beacons"); });
    }
  }

  std::uint16_t port_;
  node_beacon beacon_;
  QUdpSocket socket_;
};

/** The backend server beside the proxy, which answers health checks and sends announcements. */
class fake_announcer
{
public:
  bool is_healthy = true;    ///< What it answers to health checks.
  std::string instance;      ///< Its instance id.
  std::string endless_start; ///< If set, it answers with this and then bytes without end.
  qint64 endless_bytes = 0;  ///< Bytes that the proxy has taken of such answers.
  std::string odd_header;    ///< Line that it puts into the head of its answers.

  fake_announcer()
  {
    port_.listen(QHostAddress("127.0.0.1"));
    QObject::connect(&port_, &QTcpServer::newConnection, &port_, [this] {
      QTcpSocket* socket = port_.nextPendingConnection();
      QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
        const std::string head = socket->readAll().toStdString();
        if (!crashes_on.empty() && head.find(crashes_on) != std::string::npos) {
          crash();
          return;
        }
        if (!endless_start.empty()) {
          QObject::connect(socket, &QTcpSocket::bytesWritten, socket, [this, socket](qint64 count) {
            endless_bytes += count;
            socket->write(QByteArray(65536, 'y'));
          });
          socket->write(endless_start.data(), static_cast<qint64>(endless_start.size()));
          return;
        }
        const std::string response = std::string("HTTP/1.1 ") +
                                     (is_healthy ? "200 OK" : "503 Service Unavailable") +
                                     "\r\nX-Shallotfield-Instance-Id: " + instance + "\r\n" +
                                     odd_header + "Content-Length: 0\r\n\r\n";
        socket->write(response.data(), static_cast<qint64>(response.size()));
      });
    });
  }

  endpoint address() const { return { "127.0.0.1", port_.serverPort() }; }

  /** Ends the server as a crash does: its port and all connections are closed. */
  void crash()
  {
    port_.close();
    for (QTcpSocket* socket : port_.findChildren<QTcpSocket*>()) {
      socket->abort();
    }
  }

  std::string crashes_on; ///< If set, the server crashes on a request whose head contains this.

  /** Sends a heartbeat or a deregistration of any instance to the proxy. */
  void announce(const endpoint& to,
                const std::string& id,
                const std::string& call,
                const json& body)
  {
    const std::string text = body.dump();
    const std::string request = "POST /v1/instances/" + id + "/" + call +
                                " HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n" +
                                "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" +
                                text;
    auto* socket = new QTcpSocket(&port_); // Deleted with its parent.
    socket->connectToHost(QString::fromStdString(to.host), to.port);
    socket->write(request.data(), static_cast<qint64>(request.size()));
  }

  /** Returns the body of a heartbeat. */
  json heartbeat(std::int64_t started_at, int sequence) const
  {
    return { { "service", "shop" },
             { "address", "127.0.0.1:" + std::to_string(port_.serverPort()) },
             { "zone", "z" },
             { "version", "v1" },
             { "slots", 4 },
             { "state", "ready" },
             { "cold_remaining_s", 0 },
             { "seq", sequence },
             { "born", started_at } };
  }

private:
  QTcpServer port_;
};

BOOST_FIXTURE_TEST_SUITE(proxy_nodes, node_fixture)

// Guards against a server that answers a health check with bytes without end, which must neither
// fill the memory nor keep its successor from being checked.
BOOST_AUTO_TEST_CASE(health_check_that_is_answered_without_end_is_bounded)
{
  static constexpr qint64 BYTES_MAX = 32 << 20; // Most of it waits in buffers of the kernel.
  store.operator_page = operator_page_with_shop();
  fake_announcer server;
  server.instance = "i-1";
  options.server_address = server.address();
  options.is_first_start = false;
  start();
  fake_peer peer("127.0.0.2", static_cast<std::uint16_t>(options.peers_port + 1));
  peer.send_beacon(1);
  BOOST_TEST(run_until([&] { return peer.config_version == 7; }));
  for (const char* answer : { "HTTP/1.1 200 OK\r\nX-Long: ", "HTTP/1.1 503 Odd\r\n\r\n", "yyy" }) {
    server.endless_start = answer;
    server.endless_bytes = 0;
    server.announce(options.announcements_address, "i-1", "heartbeat", server.heartbeat(1000, 9));
    BOOST_TEST(run_until([&] { return server.endless_bytes > 0; }));
    run_for(1200);
    BOOST_TEST(server.endless_bytes < BYTES_MAX);
    BOOST_TEST((peer.server.state == server_state::none));
  }
  server.endless_start.clear();
  server.instance = "i-2";
  server.announce(options.announcements_address, "i-2", "heartbeat", server.heartbeat(5000, 1));
  BOOST_TEST(run_until([&] { return peer.server.instance == "i-2"; }));
}

// Guards against a server that is used because of a response to a health check that is not HTTP.
BOOST_AUTO_TEST_CASE(broken_response_to_a_health_check_confirms_no_server)
{
  store.operator_page = operator_page_with_shop();
  fake_announcer server;
  server.instance = "i-1";
  options.server_address = server.address();
  options.is_first_start = false;
  start();
  fake_peer peer("127.0.0.2", static_cast<std::uint16_t>(options.peers_port + 1));
  peer.send_beacon(1);
  BOOST_TEST(run_until([&] { return peer.config_version == 7; }));
  server.announce(options.announcements_address, "i-1", "heartbeat", server.heartbeat(1000, 9));
  for (const char* odd_header : { " X-Odd: 1\r\n", "X-Odd : 1\r\n", "X-\x01Odd: 1\r\n" }) {
    server.odd_header = odd_header;
    run_for(1200);
    BOOST_TEST((peer.server.state == server_state::none), odd_header);
  }
  server.odd_header.clear();
  BOOST_TEST(run_until([&] { return peer.server.instance == "i-1"; }));
}

// Guards against a server that deregistered at the former process of the proxy and is in use again
// through a late heartbeat, while its successor has to get work at once.
BOOST_AUTO_TEST_CASE(late_heartbeat_after_a_restart_brings_no_server_back)
{
  store.operator_page = operator_page_with_shop();
  fake_announcer server;
  server.instance = "i-1";
  server.is_healthy = false;
  options.server_address = server.address();
  options.is_first_start = false;
  start();
  fake_peer peer("127.0.0.2", static_cast<std::uint16_t>(options.peers_port + 1));
  peer.send_beacon(1);
  BOOST_TEST(run_until([&] { return peer.config_version == 7; }));
  server.announce(options.announcements_address, "i-1", "heartbeat", server.heartbeat(1000, 9));
  run_for(1500);
  BOOST_TEST((peer.server.state == server_state::none));
  server.instance = "i-2";
  server.is_healthy = true;
  // Changes are sent at once only to peers that are alive.
  peer.send_beacon(1);
  run_for(50);
  server.announce(options.announcements_address, "i-2", "heartbeat", server.heartbeat(5000, 1));
  const mono_ms announced_at = read_clocks().mono;
  BOOST_TEST(run_until([&] { return peer.server.state == server_state::ready; }));
  BOOST_TEST(peer.server.instance == "i-2");
  BOOST_TEST(read_clocks().mono - announced_at < 1000);
}

// Guards against a proxy that was restarted, or missed the news, and sends a request on that has
// crashed servers.
BOOST_AUTO_TEST_CASE(proxies_that_missed_crashes_learn_of_them)
{
  start();
  const auto port = static_cast<std::uint16_t>(options.peers_port + 1);
  fake_peer first("127.0.0.2", port);
  fake_peer second("127.0.0.3", port);
  first.send_beacon(1);
  second.send_beacon(1);
  run_for(200);
  const mono_ms now = read_clocks().mono;
  first.send_records(
    { { { 1, 1 }, 11, now }, { { 1, 1 }, 12, now }, { { 1, 1 }, 13, now }, { { 2, 2 }, 11, now } });
  BOOST_TEST(run_until([&] { return second.received.size() > 0; }));
  BOOST_TEST(second.received.build_view()->at({ 1, 1 }).crashes == 3U);
  // A restarted process hears of it as soon as it is seen, before the next reminder.
  second.received = {};
  second.send_beacon(2);
  run_for(60);
  BOOST_TEST(second.received.size() == 1U);
  // A peer that has missed an acquittal is corrected.
  first.send_records({ { { 1, 1 }, 11, now, crash_finding::acquitted },
                       { { 1, 1 }, 12, now, crash_finding::acquitted },
                       { { 1, 1 }, 13, now, crash_finding::acquitted } });
  run_for(100);
  second.received = {};
  second.send_records({ { { 1, 1 }, 12, now } });
  BOOST_TEST(run_until([&] { return second.received.is_acquitted({ 1, 1 }, 12); }));
}

/** The digest by which proxies know a request for /odd. */
static request_digest
digest_of_odd()
{
  return digest_request({ "GET", "h", "/odd", "", "", "" }).any_caller;
}

// Guards against forgetting a request that crashes servers when all proxies are killed at once.
BOOST_AUTO_TEST_CASE(request_that_is_found_is_stored)
{
  store.operator_page = operator_page_with_shop();
  fake_announcer server;
  server.instance = "i-1";
  server.crashes_on = "GET /odd";
  options.server_address = server.address();
  start();
  fake_peer peer("127.0.0.2", static_cast<std::uint16_t>(options.peers_port + 1));
  peer.send_beacon(1);
  BOOST_TEST(run_until([&] { return peer.config_version == 7; }));
  server.announce(options.announcements_address, "i-1", "heartbeat", server.heartbeat(1000, 1));
  BOOST_TEST(run_until([&] { return peer.server.state == server_state::ready; }));
  const mono_ms now = read_clocks().mono;
  peer.send_records({ { digest_of_odd(), 11, now }, { digest_of_odd(), 12, now } });
  run_for(100);
  const std::size_t calls = store.appended.size();
  QTcpSocket caller;
  caller.connectToHost("127.0.0.1", options.callers_address.port);
  caller.write("GET /odd HTTP/1.1\r\nHost: h\r\nX-Shallotfield-Request-Id: r\r\n\r\n");
  const std::string key = stored_suspect_key(digest_of_odd());
  BOOST_TEST(run_until([&] { return store.appended.size() > calls; }));
  run_for(1500);
  // One call for each digest of the request that is found, and no more.
  BOOST_TEST(store.appended.size() == calls + 1);
  const std::string& body = store.appended.back();
  BOOST_REQUIRE(body.size() > 5 + key.size());
  BOOST_TEST(body.substr(5, key.size()) == key);
  std::size_t records = 0;
  boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<void> {
      BOOST_LEAF_AUTO(stored,
                      parse_stored_suspect(key, body.substr(5 + key.size()), read_clocks()));
      records = stored.records.size();
      return {};
    },
    [] { BOOST_ERROR("odd stored suspect"); });
  BOOST_TEST(records == 3U);
}

BOOST_AUTO_TEST_CASE(requests_that_are_stored_are_known_after_a_restart)
{
  const instant now = read_clocks();
  const request_digest found = digest_of_odd();
  const std::string value = encode_stored_suspect(
    { "b", { { found, 1, now.mono }, { found, 2, now.mono }, { found, 3, now.mono } } }, now);
  // The other entries are odd: another version, bytes that are no record, the key of another one.
  store.pages = { json::array({ directory_item("b", "127.0.0.2"),
                                raw_item(stored_suspect_key({ 1, 1 }), "\x91\x07"),
                                raw_item(stored_suspect_key({ 2, 2 }), value),
                                raw_item(stored_suspect_key(found), value),
                                raw_item("crash-suspect.x", std::string(3000, '\x91')) }) };
  options.is_first_start = false;
  fake_peer peer("127.0.0.2", static_cast<std::uint16_t>(options.peers_port + 1));
  start();
  run_for(300);
  peer.send_beacon(1);
  BOOST_TEST(run_until([&] { return peer.received.size() > 0; }));
  BOOST_TEST(peer.received.build_view()->at(found).crashes == 3U);
  BOOST_TEST(peer.received.size() == 1U);
}

// Guards against crash records from a sender that is no proxy of the fleet.
BOOST_AUTO_TEST_CASE(crash_records_of_an_unknown_sender_change_nothing)
{
  start();
  const auto port = static_cast<std::uint16_t>(options.peers_port + 1);
  fake_peer stranger("127.0.0.2", port);
  fake_peer peer("127.0.0.3", port);
  peer.send_beacon(1);
  run_for(100);
  const mono_ms now = read_clocks().mono;
  const std::uint64_t refused = counter_value(counter_id::inputs_refused);
  stranger.send_records({ { { 1, 1 }, 11, now }, { { 1, 1 }, 12, now } });
  run_for(1500);
  BOOST_TEST(peer.received.size() == 0U);
  BOOST_TEST(counter_value(counter_id::inputs_refused) > refused);
}

BOOST_AUTO_TEST_CASE(odd_directory_entries_do_not_hide_the_others)
{
  const std::string deep(1000, '\x91');
  store.pages = { json::array({ directory_item("b", "127.0.0.2"),
                                raw_item("c", deep),
                                raw_item("d", ""),
                                directory_item("e", "127.1"),
                                directory_item("f", "localhost"),
                                { { "key", "g" }, { "value", 7 } } }),
                  json::array({ nullptr, directory_item("x", "127.0.0.3") }),
                  json::array({ raw_item("y", "\xff\xff"), directory_item("z", "127.0.0.4") }) };
  int second = 0;
  int third = 0;
  int fourth = 0;
  const auto peers = { listen_as("127.0.0.2", second),
                       listen_as("127.0.0.3", third),
                       listen_as("127.0.0.4", fourth) };
  start();
  BOOST_TEST(run_until([&] { return second > 0 && third > 0 && fourth > 0; }));
  run_for(1500);
  // The three pages, once each: the reader neither stops at an odd entry nor reads a page again.
  BOOST_TEST(store.page_calls == (std::vector<std::string>{ "", "g", "x" }),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(page_without_a_usable_key_ends_the_directory)
{
  store.pages = { json::array({ directory_item("b", "127.0.0.2"), nullptr }),
                  json::array({ nullptr, 7 }),
                  json::array({ directory_item("z", "127.0.0.4") }) };
  int second = 0;
  const auto peer = listen_as("127.0.0.2", second);
  start();
  BOOST_TEST(run_until([&] { return second > 0; }));
  run_for(1500);
  BOOST_TEST(store.page_calls.size() <= 3U);
}

BOOST_AUTO_TEST_CASE(unreadable_tail_is_not_read_again_and_again)
{
  store.pages = { json::array({ directory_item("b", "127.0.0.2") }) };
  store.tail =
    std::string(16, '\0') + std::string("\x7f\xff\xff\xff", 4); // A length without bytes.
  start();
  run_for(2500);
  BOOST_TEST(!store.tail_calls.empty());
  BOOST_TEST(store.tail_calls.size() <= 4U);
}

BOOST_AUTO_TEST_SUITE_END()
