// Tests of the connection to the backend server against servers that send too much, too late or
// never.
#include "connection/connection.h"
#include "fakes/broken_responses.h"
#include "fakes/scripted_server.h"
#include "platform/platform.h"

#include <boost/test/unit_test.hpp>

using namespace shallotfield;
using namespace std::chrono_literals;

/** Returns the head of a signed response to a request. */
static std::string
signed_head(const std::string& id, const std::string& rest, int status = 200)
{
  return "HTTP/1.1 " + std::to_string(status) + " OK\r\nX-Shallotfield-Request-Id: " + id +
         "\r\nX-Shallotfield-Response-Signature: s-" + id + "\r\n" + rest + "\r\n";
}

/** A connection to a scripted server, with the outcome of its latest request. */
struct stream_fixture
{
  /** Opens a connection that recognises responses by their request id, as the proxy does. */
  server_stream_ptr open()
  {
    return std::make_shared<server_stream>(context, endpoint{ "127.0.0.1", server.port() }, 500);
  }

  /** Sends a request and waits for its outcome. Returns the status and the body, or `!` with the
   * failure. */
  std::string ask(const server_stream_ptr& stream,
                  const std::string& id,
                  const std::string& method = "GET",
                  const shared_body& body = {})
  {
    std::string result;
    stream->is_mismatched = [id](const response_head& head) {
      return platform::classify_response(head, id) == platform::response_verdict::mismatched;
    };
    stream->on_response = [&result, id](server_response&& response, bool) {
      const bool is_own =
        platform::classify_response(response.head, id) == platform::response_verdict::valid;
      result = is_own ? std::to_string(response.head.status) + response.body : "!invalid";
    };
    stream->on_failed = [&result](http_client_error error) {
      result = "!" + std::string(enum_name(error));
    };
    stream->send({ method, "/", { { "X-Shallotfield-Request-Id", id } } }, body);
    BOOST_TEST(run_until(context, [&result] { return !result.empty(); }));
    return result;
  }

  boost::asio::io_context context;
  scripted_server server{ context };
};

/** Bytes that never end. */
struct endless_row
{
  std::string name;    ///< What does not end.
  std::string start;   ///< Sent once.
  std::string pattern; ///< Sent again and again.
};

static const std::vector<endless_row> ENDLESS_ROWS = {
  { "status line", "HTTP/1.1 200 ", "OK" },
  { "no protocol", "", "no answer at all " },
  { "header", "HTTP/1.1 200 OK\r\nX-Long: ", "x" },
  { "header name", "HTTP/1.1 200 OK\r\n", "x" },
  { "headers", "HTTP/1.1 200 OK\r\n", "X-Many: x\r\n" },
  { "empty lines", "", "\r\n" },
  { "chunk extension", signed_head("r", "Transfer-Encoding: chunked\r\n") + "5;x=", "y" },
  { "chunk size", signed_head("r", "Transfer-Encoding: chunked\r\n"), "0" },
  { "chunk extensions",
    signed_head("r", "Transfer-Encoding: chunked\r\n"),
    "1;x=yyyyyyyyyy\r\nz\r\n" },
  { "chunks", signed_head("r", "Transfer-Encoding: chunked\r\n"), "5\r\nhello\r\n" },
  { "trailer", signed_head("r", "Transfer-Encoding: chunked\r\n") + "0\r\nX-Long: ", "x" },
  { "trailers", signed_head("r", "Transfer-Encoding: chunked\r\n") + "0\r\n", "X-Many: x\r\n" },
  { "body without length", signed_head("r", ""), "hello" },
  { "body after its length", signed_head("r", "Content-Length: 5\r\n") + "hello", "hello" },
  { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
  { "responses to others", "", signed_head("other", "Content-Length: 5\r\n") + "hello" },
};

BOOST_FIXTURE_TEST_SUITE(server_streams, stream_fixture)

BOOST_AUTO_TEST_CASE(bytes_without_end_are_bounded)
{
  // Far more than any response that is accepted, and little enough to arrive within a deadline.
  static constexpr std::size_t BYTES_MAX = 160U << 20U;
  for (const endless_row& row : ENDLESS_ROWS) {
    BOOST_TEST_CONTEXT(row.name)
    {
      server.accepted.clear();
      server.on_request = [&row](const scripted_connection_ptr& to, const std::string&) {
        to->send_without_end(row.start, row.pattern);
      };
      const std::string result = ask(open(), "r");
      // After a complete response, further bytes end the connection but not the request.
      const bool is_complete = row.name == "body after its length";
      BOOST_TEST((is_complete ? result == "200hello" : result.starts_with("!")));
      BOOST_TEST(run_until(context, [this] { return server.accepted.back()->has_ended; }));
      BOOST_TEST(server.accepted.back()->bytes_sent < BYTES_MAX);
    }
  }
}

BOOST_AUTO_TEST_CASE(head_without_end_is_cut_early)
{
  // A head, a chunk header or a trailer needs no more memory than the largest head.
  static constexpr std::size_t BYTES_MAX = 8U << 20U; // Includes the buffers of the kernel.
  for (const endless_row& row : ENDLESS_ROWS) {
    if (row.name.starts_with("body") || row.name == "chunks" || row.name == "chunk extensions" ||
        row.name.starts_with("responses") || row.name.starts_with("interim")) {
      continue;
    }
    BOOST_TEST_CONTEXT(row.name)
    {
      server.accepted.clear();
      server.on_request = [&row](const scripted_connection_ptr& to, const std::string&) {
        to->send_without_end(row.start, row.pattern);
      };
      BOOST_TEST(ask(open(), "r").starts_with("!"));
      BOOST_TEST(run_until(context, [this] { return server.accepted.back()->has_ended; }));
      BOOST_TEST(server.accepted.back()->bytes_sent < BYTES_MAX);
    }
  }
}

// Guards against a response whose head was cut being taken for a complete one with an empty or
// short body.
BOOST_AUTO_TEST_CASE(response_that_is_cut_is_never_complete)
{
  struct cut_row
  {
    std::string response;
    std::size_t complete_from; ///< From this length on, the end of the connection completes it.
  };
  const std::string chunked =
    signed_head("r", "Transfer-Encoding: chunked\r\n") + "5\r\nhello\r\n0\r\n\r\n";
  const std::string sized = signed_head("r", "Content-Length: 5\r\n") + "hello";
  const std::string unsized = signed_head("r", "");
  const std::string of_10 = "HTTP/1.0 200 OK\r\n" + sized.substr(sized.find("X-Shallotfield"));
  for (const cut_row& row : { cut_row{ chunked, chunked.size() },
                              cut_row{ sized, sized.size() },
                              cut_row{ of_10, of_10.size() },
                              cut_row{ unsized, unsized.size() } }) {
    for (std::size_t length = 0; length <= row.response.size(); ++length) {
      server.on_request = [&](const scripted_connection_ptr& to, const std::string&) {
        to->send(row.response.substr(0, length));
        to->close_after_send();
      };
      const std::string result = ask(open(), "r");
      BOOST_TEST_CONTEXT(row.response << "cut after " << length << ": " << result)
      {
        BOOST_TEST(result.starts_with("200") == (length >= row.complete_from));
      }
    }
  }
}

/** A body that is longer than the buffers of a connection. */
static std::string
long_upload()
{
  return std::string(24U << 20U, 'x');
}

// Guards against part of a response without a length being taken for all of it when the server
// resets the connection. While an upload is being written, the reset can be reported to the writer
// only, and the reader sees an orderly end.
BOOST_AUTO_TEST_CASE(response_without_length_that_is_reset_is_never_complete)
{
  const shared_body upload(long_upload());
  for (const bool is_written : { false, true }) {
    for (const std::string part : { "", "hel", "hello" }) {
      for (const auto delay : { 0ms, 50ms }) {
        server.on_request = [&](const scripted_connection_ptr& to, const std::string&) {
          if (!is_written) {
            to->stop_reading();
          }
          to->send(signed_head("r", "") + part);
          to->reset_later(delay);
        };
        const std::string result = ask(open(), "r", "POST", is_written ? shared_body() : upload);
        BOOST_TEST_CONTEXT("request written " << is_written << ", part " << part << ", reset after "
                                              << delay.count() << " ms: " << result)
        {
          BOOST_TEST(result.starts_with("!"));
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(response_without_length_that_ends_in_order_is_complete)
{
  const std::string large(20U << 20U, 'y');
  const shared_body upload(long_upload());
  for (const bool is_written : { false, true }) {
    for (const std::string& body : { std::string(), std::string("hello"), large }) {
      server.on_request = [&](const scripted_connection_ptr& to, const std::string&) {
        to->send(signed_head("r", "") + body);
        to->end_after_send();
      };
      const std::string result = ask(open(), "r", "POST", is_written ? shared_body() : upload);
      BOOST_TEST_CONTEXT("request written " << is_written << ", body of " << body.size())
      {
        BOOST_TEST((result == "200" + body));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(responses_of_each_framing_are_complete)
{
  struct framing_row
  {
    std::string method;
    std::string response;
    std::string expected;
  };
  const std::string sized = signed_head("r", "Content-Length: 5\r\n");
  const std::string large(20U << 20U, 'y');
  const std::vector<framing_row> rows = {
    { "GET", sized + "hello", "200hello" },
    { "HEAD", sized, "200" },
    { "HEAD", signed_head("r", ""), "200" },
    { "GET", signed_head("r", "", 204), "204" },
    { "GET", signed_head("r", "", 304), "304" },
    { "GET", signed_head("r", "Content-Length: 5\r\n", 304), "304" },
    { "GET", "HTTP/1.1 100 Continue\r\n\r\n" + sized + "hello", "200hello" },
    { "GET",
      "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + sized +
        "hello",
      "200hello" },
    { "GET", signed_head("r", "Content-Length: 5\r\n", 599) + "hello", "599hello" },
    { "GET",
      signed_head("r", "Transfer-Encoding: chunked\r\n") + "5\r\nhello\r\n0\r\n\r\n",
      "200hello" },
    // Only lines of the head must not begin with a blank.
    { "GET", signed_head("r", "Content-Length: 8\r\n") + " a\r\n\tb\r\n", "200 a\r\n\tb\r\n" },
    { "GET", signed_head("r", "X-Blank:  a \t b \r\nContent-Length: 0\r\n"), "200" },
    { "GET",
      signed_head("r", "Content-Length: " + std::to_string(large.size()) + "\r\n") + large,
      "200" + large },
  };
  for (const framing_row& row : rows) {
    server.on_request = [&](const scripted_connection_ptr& to, const std::string&) {
      to->send(row.response);
    };
    const std::string result = ask(open(), "r", row.method);
    BOOST_TEST_CONTEXT(row.method << " " << row.response.substr(0, 200))
    {
      BOOST_TEST((result == row.expected), result.substr(0, 200));
    }
  }
}

// Guards against a response that is not HTTP being passed on.
BOOST_AUTO_TEST_CASE(response_that_is_not_http_is_never_complete)
{
  for (const std::string& head : broken_response_heads("r")) {
    for (const std::string framing : { "Content-Length: 5\r\n", "Content-Length: 0\r\n", "" }) {
      server.on_request = [&](const scripted_connection_ptr& to, const std::string&) {
        to->send(head + framing + "\r\n" + (framing.find('0') == std::string::npos ? "hello" : ""));
        to->end_after_send();
      };
      const std::string result = ask(open(), "r");
      BOOST_TEST_CONTEXT(head << framing << ": " << result)
      {
        BOOST_TEST(result.starts_with("!"));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(late_copy_of_a_response_never_reaches_the_next_caller)
{
  // The server sends a second copy of the first response, cut after any number of bytes, once the
  // second request has arrived, and then the response to the second request.
  // The first of the two copies has its id before other headers, the other one after them.
  const std::string id_first = signed_head("one", "Server: x\r\nContent-Length: 5\r\n") + "first";
  const std::string id_last = "HTTP/1.1 200 OK\r\nServer: x\r\nContent-Length: 5\r\n"
                              "X-Shallotfield-Response-Signature: s-one\r\n"
                              "X-Shallotfield-Request-Id: one\r\n\r\nfirst";
  const std::string second =
    signed_head("two", "Server: x\r\nContent-Length: 6\r\n", 404) + "second";
  for (std::size_t i = 0; i <= id_first.size() + id_last.size(); ++i) {
    const bool is_id_first = i <= id_first.size();
    const std::string& first = is_id_first ? id_first : id_last;
    const std::size_t cut = is_id_first ? i : i - id_first.size();
    server.on_request = [&](const scripted_connection_ptr& to, const std::string& head) {
      const bool is_first = header_of(head, "X-Shallotfield-Request-Id") == "one";
      to->send(is_first ? first : first.substr(0, cut) + second);
      if (!is_first) {
        to->close_after_send();
      }
    };
    const server_stream_ptr stream = open();
    BOOST_REQUIRE(ask(stream, "one") == "200first");
    const std::string result = ask(stream, "two");
    BOOST_TEST_CONTEXT("id first " << is_id_first << ", cut after " << cut)
    {
      BOOST_TEST((result == "404second" || result.starts_with("!")), result);
    }
  }
}

BOOST_AUTO_TEST_CASE(late_copy_on_an_idle_connection_ends_it)
{
  const std::string first = signed_head("one", "Content-Length: 5\r\n") + "first";
  for (std::size_t cut = 1; cut <= first.size(); ++cut) {
    server.on_request = [&](const scripted_connection_ptr& to, const std::string&) {
      to->send(first);
    };
    const server_stream_ptr stream = open();
    BOOST_REQUIRE(ask(stream, "one") == "200first");
    bool has_ended = false;
    stream->on_idle_end = [&has_ended] { has_ended = true; };
    server.accepted.back()->send(first.substr(0, cut));
    BOOST_TEST(run_until(context, [&has_ended] { return has_ended; }));
  }
}

BOOST_AUTO_TEST_SUITE_END()
