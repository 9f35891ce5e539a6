// The records that the system keeps in the platform's log.
#pragma once
#include "document_type.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace shallotfield {

/** The format of proposals and snapshots that this build writes, and the newest that it reads. */
inline constexpr std::uint64_t RECORD_FORMAT = 1;

/** The verdict on a proposal. */
enum class verdict
{
  accepted,  ///< It made a new version.
  duplicate, ///< Its publish id was judged before; that verdict stands.
  conflict,  ///< It is based on another version than the current one.
  invalid,   ///< The document that it leads to is invalid, or has another digest.
};

inline constexpr enum_table<verdict, 4> VERDICT_ROWS = { {
  { verdict::accepted, "accepted" },
  { verdict::duplicate, "duplicate" },
  { verdict::conflict, "conflict" },
  { verdict::invalid, "invalid" },
} };
static_assert(is_complete(VERDICT_ROWS, verdict::invalid));

/** @return The name table of verdicts. */
constexpr const auto&
enum_rows(verdict)
{
  return VERDICT_ROWS;
}

/** What an operator proposes: a change of the version that it is based on. */
struct proposal
{
  std::string publish_id;         ///< Chosen by the operator's command; the same when repeated.
  std::string author;             ///< Who publishes.
  unix_ms written_at = 0;         ///< When, by the clock of the node that appended it.
  std::uint64_t base_version = 0; ///< The version that the change applies to.
  nlohmann::json patch;           ///< JSON patch (RFC 6902) from the base document to the new one.
  std::string digest;             ///< Digest of the new document.
  bool operator==(const proposal&) const = default;
};

/** How a proposal ended, as remembered. */
struct proposal_verdict
{
  std::string publish_id;              ///< The proposal.
  std::uint64_t offset = 0;            ///< Where it stands in the log.
  verdict result = verdict::invalid;   ///< Its verdict.
  std::uint64_t version = 0;           ///< The version that it made, or that was current.
  std::string author;                  ///< Who published.
  unix_ms written_at = 0;              ///< When it was written.
  std::vector<std::string> changed;    ///< Paths that an accepted one changed; bounded.
  std::optional<document_error> error; ///< Why it is invalid, if the document is.
  bool operator==(const proposal_verdict&) const = default;
};

/** Everything that follows from a prefix of the log. */
struct snapshot
{
  std::uint64_t offset = 0;               ///< Last record that is covered.
  std::string chain;                      ///< Chained digest over the records up to there.
  std::uint64_t version = 0;              ///< Current version.
  std::string digest;                     ///< Its digest.
  nlohmann::json source;                  ///< Its document.
  std::vector<proposal_verdict> verdicts; ///< The latest verdicts, oldest first.
  bool operator==(const snapshot&) const = default;
};

/** Why a record or a snapshot can't be read. */
enum class record_fault
{
  malformed,  ///< It is no record of ours.
  new_format, ///< Its format is newer than this build.
  bad_digest, ///< Its content doesn't match its digest.
};

inline constexpr enum_table<record_fault, 3> RECORD_FAULT_ROWS = { {
  { record_fault::malformed, "malformed" },
  { record_fault::new_format, "new_format" },
  { record_fault::bad_digest, "bad_digest" },
} };
static_assert(is_complete(RECORD_FAULT_ROWS, record_fault::bad_digest));

/** @return The name table of record faults. */
constexpr const auto&
enum_rows(record_fault)
{
  return RECORD_FAULT_ROWS;
}

/** A record that was refused. */
struct record_error
{
  record_fault fault; ///< What is wrong with it.
  bool operator==(const record_error&) const = default;
};

} // namespace shallotfield
