// Applies the records of the log to the configuration.
#include "document_func.h"
#include "record_codec.h"
#include "replicated_config_base.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <variant>

namespace leaf = boost::leaf;
using nlohmann::json;

namespace shallotfield {

/** Number of latest chained digests that are remembered, for comparison with peers that lag. */
static constexpr std::size_t CHAIN_DIGESTS_RETAINED = 256;

/** Creates version 0, which has an empty document. */
static compiled_version_ptr
empty_version()
{
  json source = json::object();
  std::string digest = sha256_hex(canonical_text(source));
  return compile_version(0, std::move(digest), std::move(source), document{});
}

std::string
extend_chain(const std::string& chain, std::string_view bytes)
{
  return sha256_hex(chain + ":" + sha256_hex(bytes));
}

proposal
make_proposal(const compiled_version& base, const json& target)
{
  proposal result;
  result.base_version = base.number;
  result.patch = json::diff(base.source, target);
  result.digest = sha256_hex(canonical_text(target));
  return result;
}

/**
 * Whether a patch has only the operations "add", "remove" and "replace". With "copy" and "move" a
 * small patch could multiply the size of the document.
 */
static bool
has_only_basic_operations(const json& patch)
{
  return patch.is_array() && std::all_of(patch.begin(), patch.end(), [](const json& operation) {
           const auto op = operation.is_object() ? operation.find("op") : operation.end();
           return operation.is_object() && op != operation.end() &&
                  (*op == "add" || *op == "remove" || *op == "replace");
         });
}

leaf::result<patched_document>
apply_patch(const compiled_version& base, const json& patch)
{
  if (!has_only_basic_operations(patch)) {
    return leaf::new_error(document_error{ "", document_fault::bad_value });
  }
  json source;
  try {
    source = base.source.patch(patch);
  } catch (const json::exception&) {
    return leaf::new_error(document_error{ "", document_fault::bad_value });
  }
  BOOST_LEAF_AUTO(content, parse_document(source));
  return patched_document{ std::move(source), std::move(content) };
}

replicated_config::replicated_config()
  : chain_(sha256_hex(""))
  , current_(empty_version())
{
}

std::optional<std::string>
replicated_config::chain_at(std::uint64_t offset) const
{
  if (offset == offset_) {
    return chain_;
  }
  const auto found = std::find_if(
    chains_.begin(), chains_.end(), [offset](const auto& item) { return item.first == offset; });
  return found == chains_.end() ? std::nullopt : std::optional(found->second);
}

const proposal_verdict*
replicated_config::find(const std::string& publish_id) const
{
  for (const proposal_verdict& item : verdicts_) {
    if (item.publish_id == publish_id && item.result != verdict::duplicate) {
      return &item;
    }
  }
  return nullptr;
}

const proposal_verdict*
replicated_config::find_version(std::uint64_t version) const
{
  for (const proposal_verdict& item : verdicts_) {
    if (item.version == version && item.result == verdict::accepted) {
      return &item;
    }
  }
  return nullptr;
}

/** Returns the paths that a patch changes, at most CHANGED_PATHS_MAX. */
static std::vector<std::string>
changed_paths(const json& patch)
{
  std::vector<std::string> paths;
  for (const json& operation : patch) {
    if (paths.size() == CHANGED_PATHS_MAX) {
      break;
    }
    paths.push_back(operation.at("path").get<std::string>());
  }
  return paths;
}

proposal_verdict
replicated_config::make_verdict(std::uint64_t offset, const proposal& value)
{
  proposal_verdict result{
    value.publish_id, offset, verdict::invalid, current_->number, value.author,
    value.written_at, {},     std::nullopt
  };
  if (const proposal_verdict* earlier_verdict = find(value.publish_id)) {
    result.result = verdict::duplicate;
    result.version = earlier_verdict->version;
    return result;
  }
  if (value.base_version != current_->number) {
    result.result = verdict::conflict;
    return result;
  }
  std::variant<patched_document, document_error> outcome = leaf::try_handle_all(
    [&]() -> leaf::result<std::variant<patched_document, document_error>> {
      BOOST_LEAF_AUTO(patched, apply_patch(*current_, value.patch));
      return std::variant<patched_document, document_error>(std::move(patched));
    },
    [](const document_error& error) {
      return std::variant<patched_document, document_error>(error);
    },
    [] {
      return std::variant<patched_document, document_error>(
        document_error{ "", document_fault::bad_value });
    });
  if (const auto* error = std::get_if<document_error>(&outcome)) {
    result.error = *error;
    return result;
  }
  auto& patched = std::get<patched_document>(outcome);
  const std::string digest = sha256_hex(canonical_text(patched.source));
  if (digest != value.digest) {
    result.error = document_error{ "/digest", document_fault::bad_value };
    return result;
  }
  current_ = compile_version(
    current_->number + 1, digest, std::move(patched.source), std::move(patched.content));
  result.result = verdict::accepted;
  result.version = current_->number;
  result.changed = changed_paths(value.patch);
  return result;
}

void
replicated_config::advance(std::uint64_t offset, std::string chain)
{
  offset_ = offset;
  chain_ = std::move(chain);
  chains_.emplace_back(offset_, chain_);
  if (chains_.size() > CHAIN_DIGESTS_RETAINED) {
    chains_.pop_front();
  }
}

apply_result
replicated_config::apply(std::uint64_t offset,
                         std::string_view bytes,
                         const std::optional<std::string>& chain)
{
  if (offset <= offset_) {
    return apply_result::known;
  }
  if (offset != offset_ + 1) {
    return apply_result::gap;
  }
  std::string next_chain = extend_chain(chain_, bytes);
  if (chain && *chain != next_chain) {
    return apply_result::corrupt;
  }
  using parsed = std::variant<proposal, record_error>;
  const parsed outcome = leaf::try_handle_all(
    [&]() -> leaf::result<parsed> {
      BOOST_LEAF_AUTO(value, parse_proposal(bytes));
      return parsed(std::move(value));
    },
    [](const record_error& error) { return parsed(error); },
    [] { return parsed(record_error{ record_fault::malformed }); });
  if (const auto* error = std::get_if<record_error>(&outcome)) {
    if (error->fault == record_fault::new_format) {
      return apply_result::new_format;
    }
    advance(offset, std::move(next_chain));
    return apply_result::malformed;
  }
  verdicts_.push_back(make_verdict(offset, std::get<proposal>(outcome)));
  if (verdicts_.size() > VERDICTS_RETAINED) {
    verdicts_.pop_front();
  }
  advance(offset, std::move(next_chain));
  return apply_result::decided;
}

adopt_result
replicated_config::adopt(const snapshot& candidate)
{
  const std::optional<std::string> held = chain_at(candidate.offset);
  if (held && candidate.offset > 0 && *held != candidate.chain) {
    return adopt_result::contradicts;
  }
  if (candidate.offset <= offset_) {
    return adopt_result::older;
  }
  const bool changes_digest =
    candidate.version == current_->number && candidate.digest != current_->digest;
  if (candidate.version < current_->number || changes_digest) {
    return adopt_result::reverts;
  }
  std::optional<document> content = leaf::try_handle_all(
    [&]() -> leaf::result<std::optional<document>> {
      BOOST_LEAF_AUTO(parsed, parse_document(candidate.source));
      return std::optional(std::move(parsed));
    },
    [](const document_error&) { return std::optional<document>(); },
    [] { return std::optional<document>(); });
  if (!content) {
    return adopt_result::bad_document;
  }
  if (candidate.version != current_->number) {
    current_ =
      compile_version(candidate.version, candidate.digest, candidate.source, std::move(*content));
  }
  verdicts_.assign(candidate.verdicts.begin(), candidate.verdicts.end());
  chains_.clear();
  advance(candidate.offset, candidate.chain);
  return adopt_result::adopted;
}

snapshot
replicated_config::to_snapshot() const
{
  return { offset_,          chain_,           current_->number,
           current_->digest, current_->source, { verdicts_.begin(), verdicts_.end() } };
}

} // namespace shallotfield
