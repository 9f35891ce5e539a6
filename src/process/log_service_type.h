// Calls to the platform's log service and what comes back.
#pragma once
#include "enum_table.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace shallotfield {

/** The streams that are kept on the log service. */
enum class log_service_stream
{
  config,    ///< Proposals by operators.
  snapshots, ///< Snapshots of what the proposals came to.
  census,    ///< The nodes that make up the fleet.
};

inline constexpr enum_table<log_service_stream, 3> LOG_SERVICE_STREAM_ROWS = { {
  { log_service_stream::config, "config" },
  { log_service_stream::snapshots, "snapshots" },
  { log_service_stream::census, "census" },
} };
static_assert(is_complete(LOG_SERVICE_STREAM_ROWS, log_service_stream::census));

/** @return The name table of streams. */
constexpr const auto&
enum_rows(log_service_stream)
{
  return LOG_SERVICE_STREAM_ROWS;
}

/** How a call to the log service failed. */
enum class log_service_fault
{
  unreachable, ///< No connection; nothing was written.
  refused,     ///< The service answered that it did not do it.
  no_response, ///< The answer is missing; a write may have taken effect.
  malformed,   ///< The answer can't be read.
};

inline constexpr enum_table<log_service_fault, 4> LOG_SERVICE_FAULT_ROWS = { {
  { log_service_fault::unreachable, "unreachable" },
  { log_service_fault::refused, "refused" },
  { log_service_fault::no_response, "no_answer" },
  { log_service_fault::malformed, "malformed" },
} };
static_assert(is_complete(LOG_SERVICE_FAULT_ROWS, log_service_fault::malformed));

/** @return The name table of log faults. */
constexpr const auto&
enum_rows(log_service_fault)
{
  return LOG_SERVICE_FAULT_ROWS;
}

/** One record as the log service holds it. */
struct log_service_record
{
  std::uint64_t offset = 0; ///< Position in the stream; the first record ever has 1.
  std::string bytes;        ///< Content.
  bool operator==(const log_service_record&) const = default;
};

/** A piece of a stream. */
struct log_service_page
{
  std::uint64_t first = 0;                 ///< Oldest offset that the service still holds.
  std::uint64_t next = 0;                  ///< Offset that the next append gets.
  std::vector<log_service_record> records; ///< Records from the offset asked for, without gaps.
};

/** Confirms an append. */
struct log_service_appended
{
  std::uint64_t offset = 0; ///< Offset of the new record.
};

/** The outcome of a call to the log service. */
using log_service_result = std::variant<log_service_page, log_service_appended, log_service_fault>;

} // namespace shallotfield
