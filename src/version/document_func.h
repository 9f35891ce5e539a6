// Parses and validates documents, and computes their canonical text and digest.
#pragma once
#include "document_type.h"

#include <boost/leaf/result.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace shallotfield {

/**
 * Parses untrusted JSON text. Fails with a document_error of too_large, too_deep or not_json; the
 * limits are checked before the value is built, so that the text can't exhaust memory or stack.
 */
boost::leaf::result<nlohmann::json>
parse_bounded_json(std::string_view text);

/**
 * Converts JSON to a document and validates it completely: every field, and that the targets of all
 * routes are services of the document. Fails with a document_error that names the first invalid
 * field. Documents from operators and from the log pass through this same function, so that they
 * are validated by the same rules.
 */
boost::leaf::result<document>
parse_document(const nlohmann::json& value);

/**
 * Returns the canonical text of a JSON value, with sorted keys and without white space. Bytes that
 * are not valid UTF-8 are replaced. Digests are computed over this text.
 */
std::string
canonical_text(const nlohmann::json& value);

/** Returns the SHA-256 digest of bytes as 64 hexadecimal digits. */
std::string
sha256_hex(std::string_view bytes);

} // namespace shallotfield
