// The configuration that results from the records of the log: the current version and the verdicts
// on proposals. It is a replicated state machine: all nodes apply the same records in the same
// order, so that they come to the same configuration without any further coordination.
#pragma once
#include "compiled_version_base.h"
#include "record_type.h"

#include <boost/leaf/result.hpp>
#include <deque>
#include <optional>
#include <string_view>

namespace shallotfield {

/**
 * Number of latest verdicts that are remembered. A retry of an older publish is no longer
 * recognised as a duplicate, but is still not accepted, as its base version is not the current one.
 */
inline constexpr std::size_t VERDICTS_RETAINED = 256;

/** Maximum number of changed paths that are remembered for a verdict. */
inline constexpr std::size_t CHANGED_PATHS_MAX = 16;

/** Result of applying a record. */
enum class apply_result
{
  decided,    ///< The record is a proposal and got a verdict.
  malformed,  ///< The record can't be parsed and was skipped.
  known,      ///< The record is already contained in the state.
  gap,        ///< Records before this one are missing.
  corrupt,    ///< The chained digest doesn't match, so the content differs from that in the log.
  new_format, ///< The format is newer than this build, which can't apply this or any later record.
};

inline constexpr enum_table<apply_result, 6> APPLY_RESULT_ROWS = { {
  { apply_result::decided, "judged" },
  { apply_result::malformed, "malformed" },
  { apply_result::known, "known" },
  { apply_result::gap, "gap" },
  { apply_result::corrupt, "corrupt" },
  { apply_result::new_format, "new_format" },
} };
static_assert(is_complete(APPLY_RESULT_ROWS, apply_result::new_format));

/** Returns the name table of results of applying a record. */
constexpr const auto&
enum_rows(apply_result)
{
  return APPLY_RESULT_ROWS;
}

/** Result of adopting a snapshot. */
enum class adopt_result
{
  adopted, ///< The snapshot replaced the state.
  older,   ///< The snapshot covers no records beyond those applied already.
  reverts, ///< It covers more records, but has a lower version, or the same with another digest.
  contradicts,  ///< It ends at a record that was applied here, but has another chained digest.
  bad_document, ///< The document of the snapshot is invalid.
};

inline constexpr enum_table<adopt_result, 5> ADOPT_RESULT_ROWS = { {
  { adopt_result::adopted, "adopted" },
  { adopt_result::older, "older" },
  { adopt_result::reverts, "reverts" },
  { adopt_result::contradicts, "contradicts" },
  { adopt_result::bad_document, "bad_document" },
} };
static_assert(is_complete(ADOPT_RESULT_ROWS, adopt_result::bad_document));

/** Returns the name table of results of adopting a snapshot. */
constexpr const auto&
enum_rows(adopt_result)
{
  return ADOPT_RESULT_ROWS;
}

/** The configuration that results from the records of the log up to one offset. */
class replicated_config
{
public:
  /** Starts before the first record: version 0 with an empty document. */
  replicated_config();

  /**
   * Applies the next record. `chain` is the chained digest that a peer holds after this record;
   * absent if the record was read from the log itself. The state changes only with the results
   * `decided` and `malformed`.
   */
  apply_result apply(std::uint64_t offset,
                     std::string_view bytes,
                     const std::optional<std::string>& chain);

  /** Replaces the state by a snapshot that covers more records. The version never decreases. */
  adopt_result adopt(const snapshot& candidate);

  /** Returns a snapshot of the current state. */
  snapshot to_snapshot() const;

  /** Offset of the last record applied; 0 if there is none. */
  std::uint64_t offset() const { return offset_; }

  /** Chained digest over the records up to offset(). */
  const std::string& chain() const { return chain_; }

  /** Chained digest over the records up to an earlier offset; nothing if it is no longer known. */
  std::optional<std::string> chain_at(std::uint64_t offset) const;

  /** The current version. */
  const compiled_version_ptr& current() const { return current_; }

  /** The latest verdicts, oldest first. */
  const std::deque<proposal_verdict>& verdicts() const { return verdicts_; }

  /**
   * Finds the verdict on the first proposal with a publish id; nullptr if it is not remembered. The
   * pointer is valid until the state changes.
   */
  const proposal_verdict* find(const std::string& publish_id) const;

  /**
   * Finds the verdict that created a version; nullptr if it is not remembered. The pointer is valid
   * until the state changes.
   */
  const proposal_verdict* find_version(std::uint64_t version) const;

private:
  /** Decides on a proposal. If it is accepted, its document becomes the current version. */
  proposal_verdict make_verdict(std::uint64_t offset, const proposal& value);

  /** Moves to an offset whose record was applied, and remembers its chained digest. */
  void advance(std::uint64_t offset, std::string chain);

  std::uint64_t offset_ = 0;                                 ///< Offset of the last record applied.
  std::string chain_;                                        ///< Chained digest up to that offset.
  std::deque<std::pair<std::uint64_t, std::string>> chains_; ///< Latest chained digests by offset.
  compiled_version_ptr current_;                             ///< Current version.
  std::deque<proposal_verdict> verdicts_;                    ///< Latest verdicts, oldest first.
};

/**
 * Returns the chained digest after a record, given the chained digest before it. It covers the
 * record and all earlier ones, so that two nodes with the same chained digest hold the same
 * records.
 */
std::string
extend_chain(const std::string& chain, std::string_view bytes);

/** The document that results from a patch. */
struct patched_document
{
  nlohmann::json source; ///< Document as JSON.
  document content;      ///< The same document, parsed.
};

/**
 * Creates the proposal that changes the document of `base` to `target`, which must be valid. The
 * caller fills in publish id, author and time.
 */
proposal
make_proposal(const compiled_version& base, const nlohmann::json& target);

/**
 * Applies a JSON patch to the document of a version and validates the resulting document
 * completely. Fails with document_error.
 */
boost::leaf::result<patched_document>
apply_patch(const compiled_version& base, const nlohmann::json& patch);

} // namespace shallotfield
