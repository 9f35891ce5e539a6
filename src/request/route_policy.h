// Which service a request goes to.
#pragma once
#include "connection/connection.h"

#include <random>

namespace shallotfield {

/** The random numbers of one thread; seeded, so that decisions can be repeated. */
using random_source = std::mt19937_64;

/** The route of a request. */
struct route_decision
{
  std::string route;          ///< Name of the route.
  service_id service;         ///< Service that was chosen among its targets.
  service_spec spec;          ///< That service.
  bool is_idempotent = false; ///< Whether the request may run more than once.
};

/**
 * Tells whether HTTP defines a method as idempotent.
 * @param method The method, in capitals.
 * @return Whether it is.
 */
bool
is_idempotent_method(std::string_view method);

/**
 * Finds the route of a request: the first in the version's order whose host, path, methods and
 * header match, and one of its targets by weight.
 * @param version The version that the request began with.
 * @param head The request.
 * @param random Random numbers for the weights.
 * @return The decision, or nothing if no route matches.
 */
std::optional<route_decision>
decide_route(const compiled_version& version, const request_head& head, random_source& random);

} // namespace shallotfield
