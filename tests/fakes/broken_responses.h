// Responses of servers in trouble that are not HTTP, for tests of everything that reads responses.
#pragma once
#include <string>
#include <vector>

namespace shallotfield {

/**
 * Returns heads of signed responses with a status outside the range 100 to 599, or with a blank or
 * a control byte in the name of a header. The empty line that ends the head is left out, so that
 * further headers can follow.
 */
inline std::vector<std::string>
broken_response_heads(const std::string& request_id)
{
  const std::string fields = "X-Shallotfield-Request-Id: " + request_id +
                             "\r\nX-Shallotfield-Response-Signature: s-" + request_id + "\r\n";
  std::vector<std::string> heads;
  for (const std::string status : { "000", "001", "099", "600", "999" }) {
    heads.push_back("HTTP/1.1 " + status + " OK\r\n" + fields);
  }
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

} // namespace shallotfield
