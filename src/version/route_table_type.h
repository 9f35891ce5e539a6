// The configuration of a proxy: routing rules, services, and limits for callers.
#pragma once
#include "process/process.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace shallotfield {

/** How requests of a rule may be processed. */
enum class request_kind
{
  idempotent,   ///< A request may be executed more than once.
  at_most_once, ///< A request must be executed at most once.
  download,     ///< Idempotent, with a large response.
  upload,       ///< A request with a large body, which must be executed at most once.
};

inline constexpr enum_table<request_kind, 4> REQUEST_KIND_ROWS = { {
  { request_kind::idempotent, "idempotent" },
  { request_kind::at_most_once, "single" },
  { request_kind::download, "download" },
  { request_kind::upload, "upload" },
} };
static_assert(is_complete(REQUEST_KIND_ROWS, request_kind::upload));

/** Returns the name table of request kinds. */
constexpr const auto&
enum_rows(request_kind)
{
  return REQUEST_KIND_ROWS;
}

/** Returns whether requests of a kind may be executed more than once. */
constexpr bool
is_idempotent(request_kind kind)
{
  return kind == request_kind::idempotent || kind == request_kind::download;
}

/** Returns the host name in the value of a Host header, in lower case and without the port. */
std::string
normalise_host(std::string_view host);

/** A target service of a rule, with its share of the rule's requests. */
struct weighted_service
{
  service_id service;      ///< Name of the service.
  std::int64_t weight = 1; ///< Weight relative to the other services of the rule.
  bool operator==(const weighted_service&) const = default;
};

/** A routing rule: the requests that it matches, their targets, and limits on their processing. */
struct route_rule
{
  std::string name;                             ///< Name of the rule, for logs.
  std::string host;                             ///< Host to match, regardless of case and port.
  std::string prefix;                           ///< Path prefix to match; begins and ends with '/'.
  request_kind kind = request_kind::idempotent; ///< How its requests may be processed.
  std::int64_t objective_ms = 0;         ///< Latency within which a response is fully useful. Later
                                         ///< responses are still sent, until the request times out.
  std::int64_t priority = 0;             ///< Rank of its requests; 0 is the highest.
  std::int64_t timeout_ms = 0;           ///< Maximum time until the final response.
  std::int64_t attempts_max = 1;         ///< Maximum number of attempts that reach a server.
  std::vector<weighted_service> targets; ///< Target services; at least one.
  bool allows_anonymous = false; ///< Whether requests without a key are accepted although the
                                 ///< configuration has client accounts.
  bool operator==(const route_rule&) const = default;
};

/** The configuration of one service. */
struct service_rule
{
  service_id service;      ///< Name of the service.
  std::string health_path; ///< Path of the servers' health check; empty: none.
  bool operator==(const service_rule&) const = default;
};

/** A client account: the keys of its callers, the rank of their requests, and its quota. */
struct client_account
{
  std::string name;                     ///< Name of the account; servers are told it.
  std::vector<std::string> keys;        ///< Keys, each of which belongs to this account only.
  std::optional<std::int64_t> priority; ///< Priority of its requests in place of that of the rule.
  double rate_per_s = 0;     ///< Quota: requests a second over all proxies; 0: unlimited.
  double burst_requests = 0; ///< Quota: requests that may be made in addition, at once.
  bool operator==(const client_account&) const = default;
};

/** Limits for callers' connections and requests. */
struct caller_limits
{
  std::int64_t head_bytes_max = 16 << 10; ///< Maximum size of a request head.
  std::int64_t body_bytes_max = 1 << 20;  ///< Maximum size of a request body.
  std::int64_t head_timeout_ms = 3000;    ///< Time limit from the first byte of a head to its last.
  std::int64_t idle_timeout_ms = 15'000;  ///< Time after which an idle connection is closed.
  bool operator==(const caller_limits&) const = default;
};

/** A decoded configuration. */
struct route_document
{
  std::uint64_t version = 0;          ///< Version; increases with each change, by varying amounts.
  caller_limits limits;               ///< Limits for callers.
  std::vector<route_rule> rules;      ///< Routing rules in no particular order.
  std::vector<service_rule> services; ///< Services in no particular order.
  /** Client accounts in no particular order. If there are none, requests need no key. */
  std::vector<client_account> accounts;
};

/** An immutable configuration version of a proxy, with lookup by host, path and service. */
class route_table
{
public:
  explicit route_table(route_document from);

  /**
   * Finds the rule of a host with the longest prefix that matches the path of a request. Returns
   * the rule, which is valid as long as the table, or nullptr if no rule matches.
   * @param host The Host header, with or without a port.
   * @param target The request target: path and query.
   */
  const route_rule* find(std::string_view host, std::string_view target) const;

  std::uint64_t version() const { return document_.version; }

  const caller_limits& limits() const { return document_.limits; }

  /** Returns the configuration of a service, which is valid as long as the table, or nullptr if
   * there is none. */
  const service_rule* find_service(const service_id& service) const;

  /** Returns the decoded configuration, which is valid as long as the table. */
  const route_document& content() const { return document_; }

  /** Returns all rules, which are valid as long as the table. */
  const std::vector<route_rule>& rules() const { return document_.rules; }

  /** Returns all services, which are valid as long as the table. */
  const std::vector<service_rule>& services() const { return document_.services; }

  /** Returns whether the configuration has client accounts. */
  bool has_accounts() const { return !document_.accounts.empty(); }

  /** Returns all client accounts, which are valid as long as the table. */
  const std::vector<client_account>& accounts() const { return document_.accounts; }

  /** Returns the account to which a key belongs, which is valid as long as the table, or nullptr if
   * the key is unknown. */
  const client_account* find_account(std::string_view key) const;

  /** Returns the part of the slots that is due to an account relative to other accounts: the rate
   * of its quota, or the average rate of the others if it has none or is unknown. Above 0. */
  double share_weight_of(const std::string& account) const;

private:
  route_document document_; ///< Owns the rules and services to which the maps refer.
  std::unordered_map<std::string, std::unordered_map<std::string, const route_rule*>>
    by_host_; ///< Rules by host, then by path prefix.
  std::unordered_map<std::string, const service_rule*> by_service_; ///< Services by name.
  /** Accounts by the digest of a key, so that the time of a search doesn't depend on how much of a
   * key was guessed. */
  std::unordered_map<std::string, const client_account*> by_key_digest_;
  std::unordered_map<std::string, double> share_weights_; ///< Rate of the quota, by account.
  double average_share_weight_ = 1;                       ///< Average of these rates.
};

using route_table_ptr = std::shared_ptr<const route_table>;

} // namespace shallotfield
