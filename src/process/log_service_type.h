// Streams of the platform's append-only log service, and the results of calls to it.
#pragma once
#include "enum_table.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace shallotfield {

/** A stream of records in the log service. Its name is part of the URL. */
enum class log_service_stream
{
  config,    ///< Proposals to change the configuration, written when operators publish.
  snapshots, ///< Snapshots of the configuration that results from the proposals.
  census,    ///< Lists of the nodes that make up the fleet.
};

inline constexpr enum_table<log_service_stream, 3> LOG_SERVICE_STREAM_ROWS = { {
  { log_service_stream::config, "config" },
  { log_service_stream::snapshots, "snapshots" },
  { log_service_stream::census, "census" },
} };
static_assert(is_complete(LOG_SERVICE_STREAM_ROWS, log_service_stream::census));

/** Returns the name table of log service streams. */
constexpr const auto&
enum_rows(log_service_stream)
{
  return LOG_SERVICE_STREAM_ROWS;
}

/** How a call to the log service failed. For an append it matters whether it took effect. */
enum class log_service_fault
{
  unreachable, ///< No connection was made; nothing was written.
  refused,     ///< The service rejected the call; nothing was written.
  no_response, ///< No usable response arrived; an append may have taken effect.
  malformed,   ///< The response is malformed.
};

inline constexpr enum_table<log_service_fault, 4> LOG_SERVICE_FAULT_ROWS = { {
  { log_service_fault::unreachable, "unreachable" },
  { log_service_fault::refused, "refused" },
  { log_service_fault::no_response, "no_answer" },
  { log_service_fault::malformed, "malformed" },
} };
static_assert(is_complete(LOG_SERVICE_FAULT_ROWS, log_service_fault::malformed));

/** Returns the name table of log service faults. */
constexpr const auto&
enum_rows(log_service_fault)
{
  return LOG_SERVICE_FAULT_ROWS;
}

/** A record of a stream. */
struct log_service_record
{
  std::uint64_t offset = 0; ///< Position in the stream; offsets begin at 1.
  std::string bytes;        ///< Content of the record.
  bool operator==(const log_service_record&) const = default;
};

/** The response to a read: consecutive records of a stream. */
struct log_service_page
{
  std::uint64_t first = 0; ///< Offset of the oldest record that the service still holds.
  std::uint64_t next = 0;  ///< Offset that the next appended record will get.
  std::vector<log_service_record> records; ///< Records from the requested offset on, without gaps.
};

/** The response to an append. */
struct log_service_appended
{
  std::uint64_t offset = 0; ///< Offset of the new record.
};

/** Result of a call to the log service. */
using log_service_result = std::variant<log_service_page, log_service_appended, log_service_fault>;

} // namespace shallotfield
