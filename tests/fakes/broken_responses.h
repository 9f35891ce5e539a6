// Responses of servers in trouble that are not HTTP, for tests of everything that reads responses.
// The empty line that ends a head is left out, so that further headers can follow.
#pragma once
#include <string>
#include <vector>

namespace shallotfield {

/** Returns the headers that name the request and sign the response. */
inline std::string
signed_fields(const std::string& request_id)
{
  return "X-Shallotfield-Request-Id: " + request_id + "\r\nX-Shallotfield-Response-Signature: s-" +
         request_id + "\r\n";
}

/** Returns heads with a status outside the range 100 to 599. */
inline std::vector<std::string>
heads_with_odd_status(const std::string& request_id)
{
  std::vector<std::string> heads;
  for (const std::string status : { "000", "001", "099", "600", "999" }) {
    heads.push_back("HTTP/1.1 " + status + " OK\r\n" + signed_fields(request_id));
  }
  return heads;
}

/** Returns heads with a blank or a control byte in the name of a header. */
inline std::vector<std::string>
heads_with_odd_name(const std::string& request_id)
{
  const std::string fields = signed_fields(request_id);
  std::vector<std::string> heads;
  const std::vector<std::string> odd_bytes = {
    " ", "\t", "\r", "\n", "\x01", "\x0b", "\x1f", "\x7f", "\x80", std::string(1, '\0')
  };
  for (const std::string& odd : odd_bytes) {
    const std::vector<std::string> lines = {
      odd + "X-Odd: 1\r\n",
      "X-" + odd + "Odd: 1\r\n",
      "X-Odd" + odd + ": 1\r\n",
      odd + "Content-Length: 5\r\n",
      "Content-" + odd + "Length: 5\r\n",
      "Content-Length" + odd + ": 5\r\n",
    };
    for (const std::string& line : lines) {
      heads.push_back("HTTP/1.1 200 OK\r\n" + line + fields);
      heads.push_back("HTTP/1.1 200 OK\r\n" + fields + line);
    }
  }
  return heads;
}

/** Returns all of these heads. */
inline std::vector<std::string>
broken_response_heads(const std::string& request_id)
{
  std::vector<std::string> heads = heads_with_odd_status(request_id);
  for (std::string& head : heads_with_odd_name(request_id)) {
    heads.push_back(std::move(head));
  }
  return heads;
}

} // namespace shallotfield
