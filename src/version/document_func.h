// Parses documents, and gives their canonical text and digest.
#pragma once
#include "document_type.h"

#include <boost/leaf/result.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace shallotfield {

/**
 * Parses JSON text of limited size and depth.
 * @param text The text, from outside.
 * @return The value; or document_error with too_large, too_deep or not_json.
 */
boost::leaf::result<nlohmann::json>
parse_bounded_json(std::string_view text);

/**
 * Builds a document from JSON and checks it whole: every field, and that each route leads to
 * services that the document has. The same function checks what operators send and what the log
 * brings.
 * @param value The JSON value.
 * @return The document; or document_error, which names the field.
 */
boost::leaf::result<document>
parse_document(const nlohmann::json& value);

/**
 * Gives the canonical text of a JSON value: keys in order, no white space.
 * @param value The value.
 * @return The text. Bytes that are no UTF-8 are replaced.
 */
std::string
canonical_text(const nlohmann::json& value);

/**
 * Hashes bytes with SHA-256.
 * @param bytes The bytes.
 * @return The digest, 64 hexadecimal digits.
 */
std::string
sha256_hex(std::string_view bytes);

} // namespace shallotfield
