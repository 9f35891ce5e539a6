// Heads of HTTP messages as plain values, and why HTTP from the wire is refused.
#pragma once
#include "process/process.h"

#include <cstdint>
#include <string>
#include <vector>

namespace shallotfield {

/** One HTTP header. */
struct http_header
{
  std::string name;  ///< Name as sent; compared without regard to case.
  std::string value; ///< Value.
  bool operator==(const http_header&) const = default;
};

/** Head of a request, without headers that concern one connection only. */
struct request_head
{
  std::string method;               ///< Method, in capitals.
  std::string target;               ///< Path and query.
  std::vector<http_header> headers; ///< End-to-end headers.
  bool operator==(const request_head&) const = default;
};

/** Head of an answer, without headers that concern one connection only. */
struct response_head
{
  unsigned status = 0;              ///< Status code.
  std::vector<http_header> headers; ///< End-to-end headers.
  bool operator==(const response_head&) const = default;
};

/** Why an HTTP message is refused. */
enum class http_fault
{
  malformed,      ///< The bytes are no HTTP message.
  head_too_large, ///< The head is above the limit.
  body_too_large, ///< The body is above the limit; checked before memory is taken.
  cut,            ///< The connection closed before the message was complete.
};

inline constexpr enum_table<http_fault, 4> HTTP_FAULT_ROWS = { {
  { http_fault::malformed, "malformed" },
  { http_fault::head_too_large, "head_too_large" },
  { http_fault::body_too_large, "body_too_large" },
  { http_fault::cut, "cut" },
} };
static_assert(is_complete(HTTP_FAULT_ROWS, http_fault::cut));

/** @return The name table of HTTP faults. */
constexpr const auto&
enum_rows(http_fault)
{
  return HTTP_FAULT_ROWS;
}

/**
 * Finds a header.
 * @param headers The headers.
 * @param name Its name; case doesn't matter.
 * @return Its first value, or nullptr.
 */
const std::string*
find_header(const std::vector<http_header>& headers, std::string_view name);

} // namespace shallotfield
