// The records that the system stores in the log service of the platform: proposals by operators,
// and snapshots of the configuration that results from them.
#pragma once
#include "document_type.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace shallotfield {

/**
 * Format number of the proposals and snapshots that this build writes; it reads no newer formats.
 */
inline constexpr std::uint64_t RECORD_FORMAT = 1;

/**
 * Verdict on a proposal. It depends only on the proposal and the records before it in the log, so
 * that every node comes to the same verdict.
 */
enum class verdict
{
  accepted,  ///< Its document became the new version.
  duplicate, ///< An earlier record has the same publish id; the verdict on that record stands.
  conflict,  ///< Its base version is not the current version.
  invalid,   ///< Its patch fails, or the resulting document is invalid or has another digest.
};

inline constexpr enum_table<verdict, 4> VERDICT_ROWS = { {
  { verdict::accepted, "accepted" },
  { verdict::duplicate, "duplicate" },
  { verdict::conflict, "conflict" },
  { verdict::invalid, "invalid" },
} };
static_assert(is_complete(VERDICT_ROWS, verdict::invalid));

/** Returns the name table of verdicts. */
constexpr const auto&
enum_rows(verdict)
{
  return VERDICT_ROWS;
}

/** A change of the configuration proposed by an operator, as a patch of its base version. */
struct proposal
{
  std::string publish_id; ///< Chosen by the operator's command; a retry has the same id.
  std::string author;     ///< Name of the operator.
  unix_ms written_at = 0; ///< Time of writing, by the clock of the node that appended the record.
  std::uint64_t base_version = 0; ///< Version to which the patch applies.
  nlohmann::json patch;           ///< JSON patch (RFC 6902) of the document of the base version.
  std::string digest;             ///< SHA-256 of the canonical text of the new document.
  bool operator==(const proposal&) const = default;
};

/** The verdict on a proposal, with the facts that are remembered about it. */
struct proposal_verdict
{
  std::string publish_id;            ///< Publish id of the proposal.
  std::uint64_t offset = 0;          ///< Offset of the proposal in the log.
  verdict result = verdict::invalid; ///< Verdict on it.
  /**
   * If accepted: the version that it created. If a duplicate: the version in the verdict on the
   * first proposal with its id. Otherwise: the version that was current then.
   */
  std::uint64_t version = 0;
  std::string author;                  ///< Name of the operator.
  unix_ms written_at = 0;              ///< Time of writing of the proposal.
  std::vector<std::string> changed;    ///< If accepted: paths that were changed; limited in number.
  std::optional<document_error> error; ///< If invalid: the first error found.
  bool operator==(const proposal_verdict&) const = default;
};

/**
 * The configuration that results from the log up to one record. A node that starts from a snapshot
 * needs only the records after it.
 */
struct snapshot
{
  std::uint64_t offset = 0;               ///< Offset of the last record that is covered.
  std::string chain;                      ///< Chained digest over the records up to that offset.
  std::uint64_t version = 0;              ///< Current version at that offset.
  std::string digest;                     ///< SHA-256 of the canonical text of `source`.
  nlohmann::json source;                  ///< Document of the version, as JSON.
  std::vector<proposal_verdict> verdicts; ///< Latest verdicts, oldest first.
  bool operator==(const snapshot&) const = default;
};

/** Reasons for which a proposal or a snapshot can't be read. */
enum class record_fault
{
  malformed,  ///< It is not a record in the expected form.
  new_format, ///< Its format is newer than RECORD_FORMAT.
  bad_digest, ///< Its content doesn't match one of its digests.
};

inline constexpr enum_table<record_fault, 3> RECORD_FAULT_ROWS = { {
  { record_fault::malformed, "malformed" },
  { record_fault::new_format, "new_format" },
  { record_fault::bad_digest, "bad_digest" },
} };
static_assert(is_complete(RECORD_FAULT_ROWS, record_fault::bad_digest));

/** Returns the name table of record faults. */
constexpr const auto&
enum_rows(record_fault)
{
  return RECORD_FAULT_ROWS;
}

/** Error that tells why a record can't be read. */
struct record_error
{
  record_fault fault; ///< Reason.
  bool operator==(const record_error&) const = default;
};

} // namespace shallotfield
