// Calls to a node's operators' port.
#pragma once
#include "exit_code_type.h"

#include <boost/leaf/result.hpp>
#include <nlohmann/json.hpp>
#include <string>

namespace shallotfield {

/** Where a command finds its node. */
struct operator_target
{
  endpoint node;     ///< The operators' port.
  std::string token; ///< Token for changes; may be empty for reading.
};

/** A call that failed. */
struct call_error
{
  exit_code code;     ///< How the command ends.
  std::string detail; ///< What the node or the network said.
};

/**
 * Reads from a node.
 * @param target The node.
 * @param path Path on its operators' port.
 * @return The JSON answer; or call_error.
 */
boost::leaf::result<nlohmann::json>
get_json(const operator_target& target, const std::string& path);

/**
 * Sends a change to a node. The library may send it again by itself, so the change must carry an id
 * or be idempotent.
 * @param target The node.
 * @param path Path on its operators' port.
 * @param body The JSON body.
 * @return The JSON answer; or call_error. No answer after sending is exit_code::unknown.
 */
boost::leaf::result<nlohmann::json>
post_json(const operator_target& target, const std::string& path, const nlohmann::json& body);

} // namespace shallotfield
