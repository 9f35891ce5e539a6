// Decides which service a request is routed to.
#pragma once
#include "connection/connection.h"

#include <random>

namespace shallotfield {

/** Random number generator of one thread. The decisions take it as an argument, so that tests can
 * reproduce them from a seed. */
using random_source = std::mt19937_64;

/** The route of a request. */
struct route_decision
{
  std::string route;          ///< Name of the route that matched.
  service_id service;         ///< The target that was chosen.
  service_spec spec;          ///< Configuration of that service.
  bool is_idempotent = false; ///< Whether the request may run more than once.
};

/** Returns whether HTTP defines a method as idempotent. The method is given in capital letters. */
bool
is_idempotent_method(std::string_view method);

/**
 * Returns the route of a request, with one of its targets chosen at random by weight, or nothing if
 * no route matches. The routes are tried in the order of `version`, the configuration version with
 * which the request began; the first whose host, path, method and header match is taken.
 */
std::optional<route_decision>
decide_route(const compiled_version& version, const request_head& head, random_source& random);

} // namespace shallotfield
