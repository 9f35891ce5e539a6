// Tests of the HTTP client against a fake server, and of the HTTP parsers.
#include "connection/connection.h"
#include "fakes/broken_responses.h"
#include "fakes/fake_server.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;

BOOST_AUTO_TEST_SUITE(http_client_contract)

BOOST_AUTO_TEST_CASE(requests_are_never_resent_after_a_failure)
{
  struct row
  {
    std::string method;
    std::string body;
    fake_response behaviour;
    std::string expected;
  };
  const std::vector<row> rows = {
    { "POST", "x", fake_response::close_without_response, "no_answer" },
    { "POST", "", fake_response::close_without_response, "no_answer" },
    { "GET", "", fake_response::close_without_response, "no_answer" },
    { "POST", "x", fake_response::truncated_head, "no_answer" },
    { "POST", "x", fake_response::truncated_body, "cut" },
    { "GET", "", fake_response::truncated_body, "cut" },
    { "POST", "x", fake_response::whole, "" },
    { "GET", "", fake_response::whole, "" },
  };
  for (const bool reuses_connection : { false, true }) {
    for (const row& item : rows) {
      BOOST_TEST_CONTEXT(item.method << " reuses=" << reuses_connection
                                     << " expected=" << item.expected)
      {
        fake_server server;
        http_client client({ "127.0.0.1", server.port() }, 1000);
        std::string failure;
        bool is_done = false;
        client.on_piece = [&](response_piece&& piece) { is_done = is_done || piece.is_done; };
        client.on_failed = [&](http_client_error reason) { failure = enum_name(reason); };
        int expected_requests = 1;
        if (reuses_connection) {
          client.send({ "GET", "/", {} }, "");
          BOOST_REQUIRE(run_until([&] { return is_done; }));
          is_done = false;
          expected_requests = 2;
        }
        server.behaviour = item.behaviour;
        client.send({ item.method, "/", {} }, item.body);
        BOOST_REQUIRE(run_until([&] { return is_done || !failure.empty(); }));
        BOOST_TEST(failure == item.expected);
        BOOST_TEST(server.requests == expected_requests);
        BOOST_TEST(server.connections == 1);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(failed_connect_is_reported_as_never_sent)
{
  std::uint16_t port = 0;
  {
    const fake_server gone;
    port = gone.port();
  }
  http_client client({ "127.0.0.1", port }, 1000);
  std::string failure;
  client.on_failed = [&](http_client_error reason) { failure = enum_name(reason); };
  client.send({ "POST", "/", {} }, "x");
  BOOST_REQUIRE(run_until([&] { return !failure.empty(); }));
  BOOST_TEST(failure == "never_sent");
}

/** Sends a request with a body to a fake server. Returns the body of the response, or `!` with the
 * failure. */
static std::string
ask(const fake_server& server, const std::string& request_body)
{
  http_client client({ "127.0.0.1", server.port() }, 1000);
  std::string body;
  std::string result;
  client.on_piece = [&](response_piece&& piece) {
    body += piece.body;
    if (piece.is_done) {
      result = "=" + body;
    }
  };
  client.on_failed = [&](http_client_error reason) {
    result = "!" + std::string(enum_name(reason));
  };
  client.send({ "POST", "/", {} }, request_body);
  BOOST_TEST(run_until([&] { return !result.empty(); }));
  return result;
}

/** A body that is longer than the buffers of a connection. */
static std::string
long_upload()
{
  return std::string(24U << 20U, 'x');
}

// Guards against part of a response without a length being taken for all of it. QTcpSocket reports
// the reset of a connection as its orderly end.
BOOST_AUTO_TEST_CASE(response_without_length_that_is_reset_is_never_complete)
{
  fake_server server;
  server.given_response = "HTTP/1.1 200 OK\r\n\r\nhello";
  for (const std::string& body : { std::string(), long_upload() }) {
    for (const int delay_ms : { 0, 50 }) {
      BOOST_TEST_CONTEXT("request of " << body.size() << ", reset after " << delay_ms << " ms")
      {
        server.behaviour = fake_response::given_then_reset;
        server.reset_delay_ms = delay_ms;
        BOOST_TEST(ask(server, body) == "!cut");
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(response_without_length_that_ends_in_order_is_complete)
{
  const std::string large(20U << 20U, 'y');
  fake_server server;
  server.behaviour = fake_response::given_then_end;
  for (const std::string& request_body : { std::string(), long_upload() }) {
    for (const std::string& body : { std::string(), std::string("hello"), large }) {
      server.given_response = "HTTP/1.1 200 OK\r\n\r\n" + body;
      BOOST_TEST_CONTEXT("request of " << request_body.size() << ", response of " << body.size())
      {
        BOOST_TEST((ask(server, request_body) == "=" + body));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(response_that_is_not_http_is_reported_as_malformed)
{
  fake_server server;
  server.behaviour = fake_response::given_then_close;
  for (const std::string& head : broken_response_heads("r")) {
    server.given_response = head + "\r\nhello";
    BOOST_TEST_CONTEXT(head)
    {
      BOOST_TEST(ask(server, "") == "!malformed");
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(http_messages)

BOOST_AUTO_TEST_CASE(pipelined_requests_parse_with_any_fragmentation)
{
  const std::string bytes = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
                            "GET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  for (const std::size_t piece : { std::size_t{ 1 }, std::size_t{ 5 }, bytes.size() }) {
    request_reader reader(100);
    std::vector<http_request> requests;
    std::optional<http_fault> error;
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
      auto request = reader.feed(bytes.substr(at, piece), error);
      while (request) {
        requests.push_back(std::move(*request));
        request = reader.feed("", error);
      }
    }
    BOOST_TEST(!error.has_value());
    BOOST_REQUIRE(requests.size() == 2U);
    BOOST_TEST(requests[0].body == "abc");
    BOOST_TEST(requests[0].keep_alive);
    BOOST_TEST(requests[1].head.target == "/b");
    BOOST_TEST(!requests[1].keep_alive);
  }
}

BOOST_AUTO_TEST_CASE(oversized_and_malformed_requests_are_rejected)
{
  struct row
  {
    std::string bytes;
    http_fault fault;
  };
  const std::vector<row> rows = {
    { "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", http_fault::body_too_large },
    { "POST / HTTP/1.1\r\nContent-Length: 99999999999999\r\n\r\n", http_fault::body_too_large },
    { "GET / HTTP/1.1\r\nX: " + std::string(40'000, 'x'), http_fault::head_too_large },
    { "nonsense\r\n\r\n", http_fault::malformed },
    { "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", http_fault::malformed },
    { "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", http_fault::malformed },
  };
  for (const row& item : rows) {
    request_reader reader(100);
    std::optional<http_fault> error;
    reader.feed(item.bytes, error);
    BOOST_REQUIRE_MESSAGE(error.has_value(), item.bytes.substr(0, 60));
    BOOST_TEST(enum_name(*error) == enum_name(item.fault));
  }
}

BOOST_AUTO_TEST_CASE(limits_change_on_an_open_connection)
{
  const auto request = [](std::size_t bytes) {
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n" +
           std::string(bytes, 'x');
  };
  std::optional<http_fault> fault;
  request_reader reader(10);
  BOOST_TEST(reader.feed(request(10), fault).has_value());
  reader.set_limits(100, 4096);
  BOOST_TEST(reader.feed(request(100), fault).has_value());
  // A lower limit holds from the next request on.
  const std::string whole = request(100);
  BOOST_TEST(!reader.feed(whole.substr(0, 80), fault).has_value());
  reader.set_limits(10, 4096);
  BOOST_TEST(reader.feed(whole.substr(80), fault).has_value());
  BOOST_TEST(!fault.has_value());
  BOOST_TEST(!reader.feed(request(100), fault).has_value());
  BOOST_TEST((fault == http_fault::body_too_large));
}

BOOST_AUTO_TEST_CASE(response_end_is_found_by_length_chunks_or_close)
{
  struct row
  {
    std::string bytes;
    bool ends_by_close;
    std::string body;
    bool is_done;
  };
  const std::vector<row> rows = {
    { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", false, "abc", true },
    { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", true, "ab", false },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
      false,
      "abc",
      true },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", true, "abc", false },
    { "HTTP/1.1 200 OK\r\n\r\nabc", true, "abc", true },
    { "HTTP/1.1 204 No Content\r\n\r\n", false, "", true },
  };
  for (const row& item : rows) {
    response_reader reader(false);
    std::optional<http_fault> error;
    response_piece piece = reader.feed(item.bytes, error);
    std::string body = piece.body;
    bool is_done = piece.is_done;
    if (item.ends_by_close && !is_done) {
      const response_piece last = reader.feed_end(error);
      body += last.body;
      is_done = last.is_done;
    }
    BOOST_TEST(body == item.body);
    BOOST_TEST(is_done == item.is_done);
    BOOST_TEST(error.has_value() == !item.is_done);
  }
}

BOOST_AUTO_TEST_CASE(response_that_is_not_http_is_rejected_with_any_fragmentation)
{
  for (const std::string& head : broken_response_heads("r")) {
    const std::string bytes = head + "\r\nhello";
    for (const std::size_t piece : { std::size_t{ 1 }, std::size_t{ 5 }, bytes.size() }) {
      response_reader reader(false);
      std::optional<http_fault> error;
      for (std::size_t at = 0; at < bytes.size() && !error; at += piece) {
        reader.feed(bytes.substr(at, piece), error);
      }
      BOOST_TEST_CONTEXT(head << " in pieces of " << piece)
      {
        BOOST_TEST((error == http_fault::malformed));
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
