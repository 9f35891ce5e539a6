// Heads of HTTP messages as plain values, and the errors of the HTTP parsers.
#pragma once
#include "process/process.h"

#include <cstdint>
#include <string>
#include <vector>

namespace shallotfield {

struct http_header
{
  std::string name; ///< As received; compared without regard to case.
  std::string value;
  bool operator==(const http_header&) const = default;
};

/** Head of a request, without hop-by-hop headers. */
struct request_head
{
  std::string method;               ///< As received; compared with regard to case.
  std::string target;               ///< Path and query.
  std::vector<http_header> headers; ///< End-to-end headers.
  bool operator==(const request_head&) const = default;
};

/** Head of a response, without hop-by-hop headers. */
struct response_head
{
  unsigned status = 0;
  std::vector<http_header> headers; ///< End-to-end headers.
  bool operator==(const response_head&) const = default;
};

/** Why an HTTP message was rejected. */
enum class http_fault
{
  malformed,      ///< The message is not valid HTTP.
  head_too_large, ///< The head exceeds the size limit.
  body_too_large, ///< The body exceeds the size limit; detected before memory is allocated.
  cut,            ///< The connection closed before the message was complete.
};

inline constexpr enum_table<http_fault, 4> HTTP_FAULT_ROWS = { {
  { http_fault::malformed, "malformed" },
  { http_fault::head_too_large, "head_too_large" },
  { http_fault::body_too_large, "body_too_large" },
  { http_fault::cut, "cut" },
} };
static_assert(is_complete(HTTP_FAULT_ROWS, http_fault::cut));

/** Returns the name table of HTTP faults. */
constexpr const auto&
enum_rows(http_fault)
{
  return HTTP_FAULT_ROWS;
}

/** Returns the value of the first header with this name, without regard to case; or nullptr. */
const std::string*
find_header(const std::vector<http_header>& headers, std::string_view name);

} // namespace shallotfield
