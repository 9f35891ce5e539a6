// What the records of the log come to: the current version and the verdicts. Each node folds the
// same records in the same order, so that all nodes hold the same.
#pragma once
#include "compiled_version_base.h"
#include "record_type.h"

#include <boost/leaf/result.hpp>
#include <deque>
#include <optional>
#include <string_view>

namespace shallotfield {

/** Judgements that are remembered; a repeated publish older than these is a conflict by its base.
 */
inline constexpr std::size_t VERDICTS_RETAINED = 256;

/** Paths of one change that are kept for the history. */
inline constexpr std::size_t CHANGED_PATHS_MAX = 16;

/** What became of a record that was offered. */
enum class apply_result
{
  decided,    ///< It is a proposal and got its verdict.
  malformed,  ///< It is no record of ours; it was passed over.
  known,      ///< It lies at or before the last record folded in.
  gap,        ///< Records before it are missing.
  corrupt,    ///< Its chained digest doesn't match; it is not what the log holds.
  new_format, ///< Its format is newer than this build; nothing after it may be folded in.
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

/** @return The name table of fold results. */
constexpr const auto&
enum_rows(apply_result)
{
  return APPLY_RESULT_ROWS;
}

/** Why a snapshot was not taken over. */
enum class adopt_result
{
  adopted,      ///< It was taken over.
  older,        ///< It covers no more than what is held.
  reverts,      ///< It covers more records, but has a lower version: it contradicts.
  contradicts,  ///< It covers a record that is held, with another chained digest.
  bad_document, ///< Its document is invalid.
};

inline constexpr enum_table<adopt_result, 5> ADOPT_RESULT_ROWS = { {
  { adopt_result::adopted, "adopted" },
  { adopt_result::older, "older" },
  { adopt_result::reverts, "reverts" },
  { adopt_result::contradicts, "contradicts" },
  { adopt_result::bad_document, "bad_document" },
} };
static_assert(is_complete(ADOPT_RESULT_ROWS, adopt_result::bad_document));

/** @return The name table of adopt results. */
constexpr const auto&
enum_rows(adopt_result)
{
  return ADOPT_RESULT_ROWS;
}

/** The state that follows from the log's records up to one offset. */
class replicated_config
{
public:
  /** Starts with nothing folded in: version 0 with an empty document. */
  replicated_config();

  /**
   * Folds in the next record.
   * @param offset Its offset.
   * @param bytes Its content.
   * @param chain The chained digest that the sender has after this record, or nothing if it comes
   * from the log itself.
   * @return What became of it. Nothing changes unless it is judged or malformed.
   */
  apply_result apply(std::uint64_t offset,
                     std::string_view bytes,
                     const std::optional<std::string>& chain);

  /**
   * Takes over a snapshot, if it is ahead of what is held. The version never gets lower.
   * @param from The snapshot.
   * @return What became of it.
   */
  adopt_result adopt(const snapshot& from);

  /** @return The snapshot of what is held. */
  snapshot to_snapshot() const;

  /** @return Offset of the last record folded in; 0 if there is none. */
  std::uint64_t offset() const { return offset_; }

  /** @return Chained digest over the records up to offset(). */
  const std::string& chain() const { return chain_; }

  /**
   * Gives the chained digest after an earlier record.
   * @param offset Offset of the record.
   * @return The digest, or nothing if it is no longer remembered.
   */
  std::optional<std::string> chain_at(std::uint64_t offset) const;

  /** @return The current version. */
  const compiled_version_ptr& current() const { return current_; }

  /** @return The latest judgements, oldest first. */
  const std::deque<proposal_verdict>& verdicts() const { return verdicts_; }

  /**
   * Finds the verdict on a proposal.
   * @param publish_id The proposal.
   * @return The judgement, or nullptr if it is not remembered.
   */
  const proposal_verdict* find(const std::string& publish_id) const;

  /**
   * Finds the judgement that made a version.
   * @param version The version.
   * @return The judgement, or nullptr if it is not remembered.
   */
  const proposal_verdict* find_version(std::uint64_t version) const;

private:
  /** Judges a proposal and, if it is accepted, makes its version the current one. */
  proposal_verdict make_verdict(std::uint64_t offset, const proposal& value);

  /** Notes that the record at an offset was folded in. */
  void advance(std::uint64_t offset, std::string chain);

  std::uint64_t offset_ = 0;                                 ///< Last record folded in.
  std::string chain_;                                        ///< Chained digest up to there.
  std::deque<std::pair<std::uint64_t, std::string>> chains_; ///< The latest chained digests.
  compiled_version_ptr current_;                             ///< Current version.
  std::deque<proposal_verdict> verdicts_;                    ///< The latest judgements.
};

/**
 * Extends the chained digest by one record.
 * @param chain The digest before.
 * @param bytes The record.
 * @return The digest after.
 */
std::string
extend_chain(const std::string& chain, std::string_view bytes);

/** A document that would follow from a patch. */
struct patched_document
{
  nlohmann::json source; ///< The document as JSON.
  document content;      ///< The document as types.
};

/**
 * Builds the proposal that leads from a version to a document.
 * @param base The version that the operator read.
 * @param target The new document, already checked.
 * @return The proposal, without publish id, author and time.
 */
proposal
make_proposal(const compiled_version& base, const nlohmann::json& target);

/**
 * Applies a patch to a version's document and checks the outcome whole.
 * @param base The version.
 * @param patch The JSON patch.
 * @return The document; or document_error.
 */
boost::leaf::result<patched_document>
apply_patch(const compiled_version& base, const nlohmann::json& patch);

} // namespace shallotfield
