// The configuration document that operators publish: services, routes and blocked servers.
#pragma once
#include "process/process.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace shallotfield {

/** Class of work of a service; it decides how requests are queued. */
enum class work_class
{
  interactive, ///< Short requests with a user waiting; they have priority.
  bulk,        ///< Long transfers; they are queued and limited separately.
};

inline constexpr enum_table<work_class, 2> WORK_CLASS_ROWS = { {
  { work_class::interactive, "interactive" },
  { work_class::bulk, "bulk" },
} };
static_assert(is_complete(WORK_CLASS_ROWS, work_class::bulk));

/** Returns the name table of work classes. */
constexpr const auto&
enum_rows(work_class)
{
  return WORK_CLASS_ROWS;
}

/** Whether requests on a route are idempotent, so that they may be retried after a failure. */
enum class idempotency
{
  by_method, ///< As defined by HTTP for the request method.
  always,    ///< All requests on the route are idempotent.
  never,     ///< No request on the route is idempotent.
};

inline constexpr enum_table<idempotency, 3> IDEMPOTENCY_ROWS = { {
  { idempotency::by_method, "by_method" },
  { idempotency::always, "always" },
  { idempotency::never, "never" },
} };
static_assert(is_complete(IDEMPOTENCY_ROWS, idempotency::never));

/** Returns the name table of idempotency rules. */
constexpr const auto&
enum_rows(idempotency)
{
  return IDEMPOTENCY_ROWS;
}

/** Settings of a service. Defaults and bounds of the numbers are in table/document_table.h. */
struct service_spec
{
  work_class kind = work_class::interactive; ///< Class of work.
  std::int64_t timeout_ms = 0;               ///< Timeout of a request that sets no deadline.
  std::int64_t retry_percent = 0;  ///< Retries and hedged requests allowed per 100 requests.
  std::int64_t hedge_after_ms = 0; ///< Delay before a hedged request is sent; 0: no hedging.
  bool operator==(const service_spec&) const = default;
};

/** A service to which a route sends requests, and its weight. */
struct route_target
{
  service_id service;      ///< Name of the service.
  std::int64_t weight = 0; ///< Share of the requests relative to the weights of the other targets.
  bool operator==(const route_target&) const = default;
};

/** A header that a request must have to match a route. */
struct header_match
{
  std::string name;  ///< Header name, in lower case.
  std::string value; ///< Value, compared exactly.
  bool operator==(const header_match&) const = default;
};

/** A route: the conditions that a request must meet, and the targets to which it is sent. */
struct route_spec
{
  std::int64_t priority = 0;          ///< Routes with a higher priority are matched first.
  std::string host;                   ///< Host of the request; empty: any.
  std::string path_prefix;            ///< Prefix of the path, compared by whole segments.
  std::vector<std::string> methods;   ///< Methods of the request; empty: any.
  std::optional<header_match> header; ///< Header that the request must have, if any.
  idempotency idempotency_rule = idempotency::by_method; ///< Whether its requests are idempotent.
  std::vector<route_target> targets; ///< At least one; the weights add up to more than 0.
  bool operator==(const route_spec&) const = default;
};

/** A complete configuration as published by an operator. */
struct document
{
  std::map<service_id, service_spec> services; ///< Services by name.
  std::map<std::string, route_spec> routes;    ///< Routes by name.
  std::vector<node_id> blocked_servers;        ///< Nodes whose server gets no work; sorted.
  bool operator==(const document&) const = default;
};

/** Reasons for which a document is invalid. */
enum class document_fault
{
  not_json,        ///< The text is not valid JSON.
  too_large,       ///< The document, or a text or list in it, exceeds its size limit.
  too_deep,        ///< Values are nested more deeply than allowed.
  wrong_type,      ///< The value has the wrong JSON type.
  unknown_field,   ///< The object has no field of this name.
  missing_field,   ///< A required field is absent.
  out_of_range,    ///< A number is outside its bounds.
  bad_name,        ///< A name is empty, too long or has characters other than a-z, 0-9, '-', '_'.
  bad_value,       ///< The value is of the right type but not one of the valid values.
  unknown_service, ///< A route has a target service that the document doesn't define.
  no_weight,       ///< The weights of the targets of a route add up to zero.
  ambiguous_route, ///< Two routes have the same priority and the same conditions.
};

inline constexpr enum_table<document_fault, 12> DOCUMENT_FAULT_ROWS = { {
  { document_fault::not_json, "not_json" },
  { document_fault::too_large, "too_large" },
  { document_fault::too_deep, "too_deep" },
  { document_fault::wrong_type, "wrong_type" },
  { document_fault::unknown_field, "unknown_field" },
  { document_fault::missing_field, "missing_field" },
  { document_fault::out_of_range, "out_of_range" },
  { document_fault::bad_name, "bad_name" },
  { document_fault::bad_value, "bad_value" },
  { document_fault::unknown_service, "unknown_service" },
  { document_fault::no_weight, "no_weight" },
  { document_fault::ambiguous_route, "ambiguous_route" },
} };
static_assert(is_complete(DOCUMENT_FAULT_ROWS, document_fault::ambiguous_route));

/** Returns the name table of document faults. */
constexpr const auto&
enum_rows(document_fault)
{
  return DOCUMENT_FAULT_ROWS;
}

/** Error that tells why a document is invalid. */
struct document_error
{
  std::string field;    ///< JSON pointer to the invalid field; empty: the whole document.
  document_fault fault; ///< Reason.
  bool operator==(const document_error&) const = default;
};

} // namespace shallotfield
