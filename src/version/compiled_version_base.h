// One configuration version in the form that requests read. It never changes once built.
#pragma once
#include "document_type.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace shallotfield {

/** A route with its name, as it stands in the order of matching. */
struct compiled_route
{
  std::string name; ///< Name in the document.
  route_spec spec;  ///< The route.
};

/** A version: its number, its digest, the document, and the routes in order of matching. */
struct compiled_version
{
  std::uint64_t number = 0; ///< Grows by one with each accepted proposal.
  std::string digest;       ///< SHA-256 of the document's canonical text.
  nlohmann::json source;    ///< The document as JSON, for deltas and snapshots.
  document content;         ///< The document as types.
  std::vector<compiled_route>
    routes; ///< Higher priority first, then longer path prefix, then name.
};

using compiled_version_ptr = std::shared_ptr<const compiled_version>;

/**
 * Builds a version from a document that was checked.
 * @param number The version's number.
 * @param digest Digest of the source.
 * @param source The document as JSON.
 * @param content The document as types.
 * @return The version.
 */
compiled_version_ptr
compile_version(std::uint64_t number, std::string digest, nlohmann::json source, document content);

} // namespace shallotfield
