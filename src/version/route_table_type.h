// The configuration that a proxy serves: where each request goes, and what it may cost.
#pragma once
#include "process/process.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace shallotfield {

/** What may be done with the requests of a rule. */
enum class request_kind
{
  idempotent,   ///< May run more than once.
  at_most_once, ///< May run once at most.
  download,     ///< Idempotent, with a large answer.
};

inline constexpr enum_table<request_kind, 3> REQUEST_KIND_ROWS = { {
  { request_kind::idempotent, "idempotent" },
  { request_kind::at_most_once, "single" },
  { request_kind::download, "download" },
} };
static_assert(is_complete(REQUEST_KIND_ROWS, request_kind::download));

/** @return The name table of request kinds. */
constexpr const auto&
enum_rows(request_kind)
{
  return REQUEST_KIND_ROWS;
}

/** @param kind A kind. @return Whether its requests may run more than once. */
constexpr bool
is_idempotent(request_kind kind)
{
  return kind != request_kind::at_most_once;
}

/** A service that a rule leads to, and its share of the rule's requests. */
struct weighted_service
{
  service_id service;      ///< Name of the service.
  std::int64_t weight = 1; ///< Share, relative to the other services of the rule.
  bool operator==(const weighted_service&) const = default;
};

/** One rule: which requests it takes, and where they go. */
struct route_rule
{
  std::string name;                             ///< Name, for logs.
  std::string host;                             ///< Host that the request names, in lower case.
  std::string prefix;                           ///< Start of the path; begins and ends with '/'.
  request_kind kind = request_kind::idempotent; ///< What may be repeated.
  std::int64_t objective_ms = 0;                ///< Latency within which an answer is useful.
  std::int64_t priority = 0;                    ///< Rank; 0 is the highest.
  std::int64_t timeout_ms = 0;                  ///< Longest time until the final answer.
  std::int64_t attempts_max = 1;                ///< Most servers that one request may be sent to.
  std::vector<weighted_service> targets;        ///< At least one.
  bool operator==(const route_rule&) const = default;
};

/** What is configured for one service. */
struct service_rule
{
  service_id service;      ///< Name of the service.
  std::string health_path; ///< Path of its health check; empty if there is none.
  bool operator==(const service_rule&) const = default;
};

/** What callers may send, and how long they may take. */
struct caller_limits
{
  std::int64_t head_bytes_max = 16 << 10; ///< Largest head of a request.
  std::int64_t body_bytes_max = 1 << 20;  ///< Largest body of a request.
  std::int64_t head_timeout_ms = 3000;    ///< Time from the first byte of a head to its last.
  std::int64_t idle_timeout_ms = 15'000;  ///< Time that a connection may stay idle.
  bool operator==(const caller_limits&) const = default;
};

/** A whole configuration as decoded. */
struct route_document
{
  std::uint64_t version = 0;          ///< Grows with each change, in uneven steps.
  caller_limits limits;               ///< Limits of callers.
  std::vector<route_rule> rules;      ///< In no particular order.
  std::vector<service_rule> services; ///< In no particular order.
};

/** One configuration version in the form that requests read. It never changes once built. */
class route_table
{
public:
  /** @param from The configuration. */
  explicit route_table(route_document from);

  /**
   * Finds the rule with the longest prefix of a request's path.
   * @param host The Host header, with or without a port.
   * @param target Path and query.
   * @return The rule, which lives as long as the table; or nullptr.
   */
  const route_rule* find(std::string_view host, std::string_view target) const;

  /** @return The version's number. */
  std::uint64_t version() const { return document_.version; }

  /** @return The limits of callers. */
  const caller_limits& limits() const { return document_.limits; }

  /** @param service Its name. @return What is configured for it; or nullptr. */
  const service_rule* find_service(const service_id& service) const;

private:
  route_document document_; ///< Owns the rules.
  std::unordered_map<std::string, std::unordered_map<std::string, const route_rule*>>
    by_host_;                                                       ///< Rules by host and prefix.
  std::unordered_map<std::string, const service_rule*> by_service_; ///< Services by name.
};

using route_table_ptr = std::shared_ptr<const route_table>;

} // namespace shallotfield
