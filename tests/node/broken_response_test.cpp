// Tests of what callers get when a server sends a response that is broken.
#include "fakes/broken_responses.h"
#include "fakes/fake_peer.h"
#include "fakes/traffic_fixture.h"

#include <boost/asio/read.hpp>
#include <boost/test/unit_test.hpp>

using namespace shallotfield;
using namespace std::chrono_literals;

/** A proxy that accepts long uploads. */
struct broken_response_fixture : traffic_fixture
{
  broken_response_fixture()
  {
    route_document document;
    document.version = 2;
    document.limits.body_bytes_max = 64 << 20;
    document.rules.push_back(
      { "read", "h", "/", request_kind::idempotent, 1000, 1, 5000, 2, { { "shop", 1 } } });
    document.rules.push_back(
      { "order", "h", "/order/", request_kind::at_most_once, 1000, 1, 5000, 1, { { "shop", 1 } } });
    document.services.push_back({ "shop", "" });
    traffic->set_route_table(std::make_shared<const route_table>(std::move(document)));
  }

  /** Sends a request on a connection of its own, and returns all bytes that the caller gets. */
  std::string ask(const std::string& method,
                  const std::string& target,
                  const std::string& id,
                  const std::string& body = "")
  {
    boost::asio::ip::tcp::socket caller(context);
    caller.connect({ boost::asio::ip::make_address("127.0.0.1"), options.callers_address.port });
    const std::string request =
      method + " " + target + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" +
      "X-Shallotfield-Request-Id: " + id + "\r\nX-Shallotfield-Deadline-Ms: 5000\r\n" +
      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string received;
    bool has_ended = false;
    boost::asio::async_write(caller, boost::asio::buffer(request), [](auto, auto) {});
    boost::asio::async_read(caller,
                            boost::asio::dynamic_buffer(received),
                            [&has_ended](auto, auto) { has_ended = true; });
    const auto is_ended = [&has_ended] { return has_ended; };
    BOOST_TEST(run_until(context, is_ended));
    // The buffers stay until the last handler has run, also if there was no response.
    caller.close();
    run_until(context, is_ended);
    return received;
  }
};

/** Checks that a caller got a failure that promises nothing, and nothing of the server's response.
 */
static void
check_is_own_failure(const std::string& received)
{
  BOOST_TEST(received.starts_with("HTTP/1.1 502 "), received.substr(0, 300));
  BOOST_TEST(received.find("HTTP/1.1 ", 1) == std::string::npos);
  BOOST_TEST(received.find("Signature") == std::string::npos);
  BOOST_TEST(received.find("Odd") == std::string::npos);
  BOOST_TEST(received.find("hello") == std::string::npos);
}

BOOST_FIXTURE_TEST_SUITE(broken_responses, broken_response_fixture)

// A server answers a long upload at once, without a length, and resets the connection while the
// upload is still being written.
BOOST_AUTO_TEST_CASE(part_of_a_response_to_an_upload_is_no_success)
{
  const std::string upload(24U << 20U, 'x');
  server.on_request = [&](const scripted_connection_ptr& to, const std::string&) {
    to->stop_reading();
    to->send("HTTP/1.1 200 OK\r\nX-Shallotfield-Request-Id: u\r\n"
             "X-Shallotfield-Response-Signature: s-u\r\n\r\nhello");
    to->reset_later(50ms);
  };
  check_is_own_failure(ask("POST", "/order/x", "u", upload));
  BOOST_TEST(server.requests == 1);
}

BOOST_AUTO_TEST_CASE(response_that_is_not_http_is_no_answer)
{
  std::string response;
  server.on_request = [&](const scripted_connection_ptr& to, const std::string&) {
    to->send(response);
    to->end_after_send();
  };
  for (const std::string& head : broken_response_heads("r")) {
    for (const std::string framing : { "Content-Length: 5\r\n", "" }) {
      response = head + framing + "\r\nhello";
      BOOST_TEST_CONTEXT(response)
      {
        check_is_own_failure(ask("POST", "/order/x", "r"));
      }
    }
  }
}

// Each request that reached the server whose responses are broken is answered by the other one, if
// it may run twice, and fails otherwise.
BOOST_AUTO_TEST_CASE(only_requests_that_may_run_twice_go_to_another_server)
{
  static constexpr int REQUESTS = 20;
  fake_peer peer(context, options.peers_port);
  int peer_requests = 0;
  peer.on_call = [&](const call_open& call) {
    ++peer_requests;
    peer.answer(call, "fine");
  };
  node_beacon self;
  self.id = "a";
  self.zone = "z";
  self.server = { "shop", "i-1", SLOTS, server_state::ready };
  node_beacon other = self;
  other.id = "b";
  other.host = "127.0.0.2";
  other.server.instance = "i-2";
  traffic->set_peers(std::make_shared<peer_view>(peer_view{ { "a", self }, { "b", other } }));
  server.on_request = [&](const scripted_connection_ptr& to, const std::string& head) {
    const std::string id = header_of(head, "X-Shallotfield-Request-Id");
    to->send(broken_response_heads(id).front() + "\r\nhello");
    to->end_after_send();
  };
  for (int i = 0; i < REQUESTS; ++i) {
    BOOST_TEST(ask("GET", "/x", "r" + std::to_string(i)).ends_with("\r\n\r\nfine"));
  }
  BOOST_TEST(server.requests > 0);
  BOOST_TEST(peer_requests == REQUESTS);
  server.requests = 0;
  peer_requests = 0;
  for (int i = 0; i < REQUESTS; ++i) {
    const int before = server.requests;
    const std::string received = ask("POST", "/order/x", "o" + std::to_string(i));
    if (server.requests > before) {
      check_is_own_failure(received);
    } else {
      BOOST_TEST(received.ends_with("\r\n\r\nfine"));
    }
  }
  BOOST_TEST(server.requests + peer_requests == REQUESTS);
}

BOOST_AUTO_TEST_CASE(broken_response_to_another_proxy_is_an_unknown_outcome)
{
  server.on_request = [](const scripted_connection_ptr& to, const std::string&) {
    to->send(heads_with_odd_status("r").front() + "\r\nhello");
    to->end_after_send();
  };
  call_open call;
  call.id = 1;
  call.head = { "GET", "/x", { { "Host", "h" }, { "X-Shallotfield-Request-Id", "r" } } };
  call.service = "shop";
  call.timeout_ms = 2000;
  call.objective_ms = 1000;
  const std::string reply = send_as_peer(call);
  BOOST_TEST(reply.find(enum_name(failure_reason::response_truncated)) != std::string::npos);
  BOOST_TEST(reply.find(enum_name(outcome::unknown)) != std::string::npos);
  BOOST_TEST(reply.find("hello") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
