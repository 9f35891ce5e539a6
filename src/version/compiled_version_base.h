// A configuration version, compiled into an immutable form for the routing of requests in a process
// that the `node` command starts. A proxy uses route_table instead.
#pragma once
#include "document_type.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace shallotfield {

/** A named route. */
struct compiled_route
{
  std::string name; ///< Name of the route in the document.
  route_spec spec;  ///< Match criteria and targets.
};

/** An immutable configuration version with its routes sorted for matching. */
struct compiled_version
{
  std::uint64_t number = 0; ///< Version number; increases by one with each accepted proposal.
  std::string digest;       ///< SHA-256 of the document's canonical text.
  nlohmann::json source;    ///< The document as JSON, for the encoding of deltas and snapshots.
  document content;         ///< The parsed document.
  std::vector<compiled_route> routes; ///< Routes in matching order: by descending priority, then by
                                      ///< descending length of the path prefix, then by name.
};

using compiled_version_ptr = std::shared_ptr<const compiled_version>;

/** Builds a version from a document that has been validated. `source` and `content` are the same
 * document as JSON and parsed, and `digest` is the digest of its canonical text. */
compiled_version_ptr
compile_version(std::uint64_t number, std::string digest, nlohmann::json source, document content);

} // namespace shallotfield
