// Defaults and bounds of the numbers in a document, and limits on its size.
#pragma once
#include "../document_type.h"

#include <array>

namespace shallotfield {

/** A numeric field of a service. */
struct service_number_row
{
  std::string_view key;               ///< Name of the field in the document.
  std::int64_t service_spec::*member; ///< Member that holds the value.
  std::int64_t fallback;              ///< Value if the field is absent.
  std::int64_t minimum;               ///< Smallest valid value.
  std::int64_t maximum;               ///< Largest valid value.
};

// clang-format off
inline constexpr std::array<service_number_row, 3> SERVICE_NUMBER_ROWS = { {
  { "timeout_ms",     &service_spec::timeout_ms,     2000, 1, 3'600'000 },
  { "retry_percent",  &service_spec::retry_percent,  5,    0, 100 },
  { "hedge_after_ms", &service_spec::hedge_after_ms, 0,    0, 60'000 },
} };
// clang-format on

/** Maximum absolute value of the priority of a route. */
inline constexpr std::int64_t PRIORITY_MAX = 1'000'000;

/** Maximum weight of a target of a route. */
inline constexpr std::int64_t WEIGHT_MAX = 1'000'000;

/**
 * Maximum size of a document as JSON text, and of any log record when it is parsed. A snapshot of
 * the document has to fit into a frame between nodes and into a record of the log.
 */
inline constexpr std::size_t DOCUMENT_BYTES_MAX = 4U << 20U;

/**
 * Maximum number of services, of routes, of blocked servers, and of the items of a list in a
 * document.
 */
inline constexpr std::size_t DOCUMENT_ITEMS_MAX = 10'000;

/** Maximum nesting depth of JSON text. Valid documents have at most 5 levels. */
inline constexpr std::size_t DOCUMENT_DEPTH_MAX = 16;

/** Maximum length of a name and of a request method. */
inline constexpr std::size_t NAME_BYTES_MAX = 100;

/** Maximum length of the other strings of a document, such as host, path prefix or header value. */
inline constexpr std::size_t MATCH_BYTES_MAX = 2000;

} // namespace shallotfield
