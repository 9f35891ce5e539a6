// Tests of a whole proxy against a fake store that holds odd entries of another writer.
#include "fakes/fake_server.h"
#include "fakes/fake_store.h"
#include "process/node.h"

#include <QNetworkDatagram>
#include <QUdpSocket>
#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

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
      options.*address = { "127.0.0.1", free_port() };
    }
    options.peers_port = free_port();
  }

  /** Returns a port that is free at present, as is the next higher one. */
  static std::uint16_t free_port()
  {
    for (;;) {
      QTcpServer port;
      QTcpServer next;
      QUdpSocket datagrams;
      port.listen(QHostAddress::LocalHost);
      const auto after = static_cast<std::uint16_t>(port.serverPort() + 1);
      if (next.listen(QHostAddress::LocalHost, after) &&
          datagrams.bind(QHostAddress("127.0.0.1"), after)) {
        return port.serverPort();
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
  proxy_settings options;
  std::unique_ptr<proxy_node> node;
};

BOOST_FIXTURE_TEST_SUITE(proxy_nodes, node_fixture)

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
