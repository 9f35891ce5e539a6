// Numbers in a document: default, minimum and maximum of each, and limits on its size.
#pragma once
#include "../document_type.h"

#include <array>

namespace shallotfield {

/** One number of a service. */
struct service_number_row
{
  std::string_view key;               ///< Name in the document.
  std::int64_t service_spec::*member; ///< Where the value is kept.
  std::int64_t fallback;              ///< Default.
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

/** Bounds of a route's priority. */
inline constexpr std::int64_t PRIORITY_MAX = 1'000'000;

/** Largest weight of a target. */
inline constexpr std::int64_t WEIGHT_MAX = 1'000'000;

/** Largest document as JSON text; a snapshot of it must fit a frame and a record. */
inline constexpr std::size_t DOCUMENT_BYTES_MAX = 4U << 20U;

/** Most services, routes or blocked servers in a document. */
inline constexpr std::size_t DOCUMENT_ITEMS_MAX = 10'000;

/** Deepest nesting of a document; the deepest valid one has 5 levels. */
inline constexpr std::size_t DOCUMENT_DEPTH_MAX = 16;

/** Longest name of a service, route or server. */
inline constexpr std::size_t NAME_BYTES_MAX = 100;

/** Longest host, path prefix or header value of a route. */
inline constexpr std::size_t MATCH_BYTES_MAX = 2000;

} // namespace shallotfield
