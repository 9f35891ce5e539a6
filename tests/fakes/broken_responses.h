// Responses of servers in trouble that are not HTTP, for tests of everything that reads responses.
#pragma once
#include <string>
#include <vector>

namespace shallotfield {

/**
 * Returns heads of signed responses with a status outside the range 100 to 599. The empty line that
 * ends the head is left out, so that further headers can follow.
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
  return heads;
}

} // namespace shallotfield
