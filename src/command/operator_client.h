// HTTP client for the operators' port of a node.
#pragma once
#include "exit_code_type.h"

#include <boost/leaf/result.hpp>
#include <nlohmann/json.hpp>
#include <string>

namespace shallotfield {

/** The node that a command talks to. */
struct operator_target
{
  endpoint node;     ///< Address of its operators' port.
  std::string token; ///< Bearer token; requests that only read need none.
};

/** Why a call failed. */
struct call_error
{
  exit_code code;     ///< Exit code that the command returns.
  std::string detail; ///< Body of the error response, or the text of the network error.
};

/**
 * Sends a GET request to a node and waits for the response. Returns its JSON body. Fails with
 * call_error.
 * @param path Path with the leading slash; its segments must be percent-encoded.
 */
boost::leaf::result<nlohmann::json>
get_json(const operator_target& target, const std::string& path);

/**
 * Sends a POST request to a node and waits for the response. Returns its JSON body. Fails with
 * call_error, whose code is exit_code::unknown if the request may have reached the node but no
 * response arrived. QNetworkAccessManager may resend a request on its own when a connection breaks,
 * so the change must carry an id or be idempotent.
 */
boost::leaf::result<nlohmann::json>
post_json(const operator_target& target, const std::string& path, const nlohmann::json& body);

} // namespace shallotfield
