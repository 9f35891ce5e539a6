// Implements the routing of requests.
#include "route_policy.h"

namespace shallotfield {

bool
is_idempotent_method(std::string_view method)
{
  static constexpr std::array<std::string_view, 6> METHODS = { "GET",    "HEAD",    "PUT",
                                                               "DELETE", "OPTIONS", "TRACE" };
  return std::find(METHODS.begin(), METHODS.end(), method) != METHODS.end();
}

/** Returns whether a path begins with a prefix. Only whole path segments match. */
static bool
has_prefix(std::string_view path, std::string_view prefix)
{
  if (!path.starts_with(prefix)) {
    return false;
  }
  return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

/** Returns whether a request matches a route. */
static bool
matches(const route_spec& route, const request_head& head)
{
  const std::string_view path = std::string_view(head.target).substr(0, head.target.find('?'));
  if (!has_prefix(path, route.path_prefix)) {
    return false;
  }
  const auto& methods = route.methods;
  if (!methods.empty() && std::find(methods.begin(), methods.end(), head.method) == methods.end()) {
    return false;
  }
  if (!route.host.empty()) {
    // The port in the Host header is ignored.
    const std::string* host = find_header(head.headers, "Host");
    if (host == nullptr || std::string_view(*host).substr(0, host->rfind(':')) != route.host) {
      return false;
    }
  }
  if (route.header) {
    const std::string* value = find_header(head.headers, route.header->name);
    return value != nullptr && *value == route.header->value;
  }
  return true;
}

/** Chooses a target at random, by weight. The weights must not all be 0. */
static const route_target&
choose_target(const std::vector<route_target>& targets, random_source& random)
{
  std::int64_t total = 0;
  for (const route_target& target : targets) {
    total += target.weight;
  }
  std::int64_t draw = std::uniform_int_distribution<std::int64_t>(0, total - 1)(random);
  for (const route_target& target : targets) {
    draw -= target.weight;
    if (draw < 0) {
      return target;
    }
  }
  return targets.back();
}

/** Returns whether a request may run more than once, by the rule of its route and its method. */
static bool
resolve_idempotency(idempotency rule, std::string_view method)
{
  switch (rule) {
    case idempotency::by_method:
      return is_idempotent_method(method);
    case idempotency::always:
      return true;
    case idempotency::never:
      return false;
  }
  return false;
}

std::optional<route_decision>
decide_route(const compiled_version& version, const request_head& head, random_source& random)
{
  for (const compiled_route& route : version.routes) {
    if (matches(route.spec, head)) {
      const route_target& target = choose_target(route.spec.targets, random);
      return route_decision{ route.name,
                             target.service,
                             version.content.services.at(target.service),
                             resolve_idempotency(route.spec.idempotency_rule, head.method) };
    }
  }
  return std::nullopt;
}

} // namespace shallotfield
