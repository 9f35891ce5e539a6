// The document that operators publish: services, routes and blocked servers.
#pragma once
#include "process/process.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace shallotfield {

/** Whether requests of a service are short or long. */
enum class work_class
{
  interactive, ///< Somebody waits; served first.
  bulk,        ///< Long transfers; in a lane of their own.
};

inline constexpr enum_table<work_class, 2> WORK_CLASS_ROWS = { {
  { work_class::interactive, "interactive" },
  { work_class::bulk, "bulk" },
} };
static_assert(is_complete(WORK_CLASS_ROWS, work_class::bulk));

/** @return The name table of work classes. */
constexpr const auto&
enum_rows(work_class)
{
  return WORK_CLASS_ROWS;
}

/** Whether requests on a route may be run more than once. */
enum class idempotency
{
  by_method, ///< As HTTP defines it for the method.
  always,    ///< All requests on the route are idempotent.
  never,     ///< No request on the route is.
};

inline constexpr enum_table<idempotency, 3> IDEMPOTENCY_ROWS = { {
  { idempotency::by_method, "by_method" },
  { idempotency::always, "always" },
  { idempotency::never, "never" },
} };
static_assert(is_complete(IDEMPOTENCY_ROWS, idempotency::never));

/** @return The name table of idempotency rules. */
constexpr const auto&
enum_rows(idempotency)
{
  return IDEMPOTENCY_ROWS;
}

/** A service. Numbers: see table/document_table.h. */
struct service_spec
{
  work_class kind = work_class::interactive; ///< Short or long work.
  std::int64_t timeout_ms = 0;               ///< Deadline of a request that brings none.
  std::int64_t retry_percent = 0;            ///< Retries and hedges allowed, in 100 requests.
  std::int64_t hedge_after_ms = 0;           ///< Wait before a hedge; 0: no hedging.
  bool operator==(const service_spec&) const = default;
};

/** A service that a route leads to, and its share. */
struct route_target
{
  service_id service;      ///< Name of the service.
  std::int64_t weight = 0; ///< Share of the route's requests, relative to the other targets.
  bool operator==(const route_target&) const = default;
};

/** A header that a request must carry. */
struct header_match
{
  std::string name;  ///< Header name, in lower case.
  std::string value; ///< Exact value.
  bool operator==(const header_match&) const = default;
};

/** A route: which requests it takes, and where they go. */
struct route_spec
{
  std::int64_t priority = 0;          ///< Routes with higher priority are tried first.
  std::string host;                   ///< Host that the request names; empty: any.
  std::string path_prefix;            ///< Start of the path, by whole segments.
  std::vector<std::string> methods;   ///< Methods; empty: any.
  std::optional<header_match> header; ///< Header that must match, if any.
  idempotency idempotency_rule = idempotency::by_method; ///< Whether its requests may be run twice.
  std::vector<route_target> targets;                     ///< At least one.
  bool operator==(const route_spec&) const = default;
};

/** A whole configuration, as operators decide it. */
struct document
{
  std::map<service_id, service_spec> services; ///< By name.
  std::map<std::string, route_spec> routes;    ///< By name.
  std::vector<node_id> blocked_servers;        ///< Nodes whose server may not take work.
  bool operator==(const document&) const = default;
};

/** What can be wrong with a document. */
enum class document_fault
{
  not_json,        ///< The text is not JSON.
  too_large,       ///< The text, or a list in it, is larger than allowed.
  too_deep,        ///< Values are nested deeper than any document's.
  wrong_type,      ///< The value has the wrong JSON type.
  unknown_field,   ///< No field has this name here.
  missing_field,   ///< A field without a default is absent.
  out_of_range,    ///< A number is outside its bounds.
  bad_name,        ///< A name is empty, too long or has other than lower case, digits, '-', '_'.
  bad_value,       ///< A text is none of the valid ones.
  unknown_service, ///< A route leads to a service that the document lacks.
  no_weight,       ///< The weights of a route's targets add up to zero.
  ambiguous_route, ///< Two routes of one priority take the same requests.
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

/** @return The name table of document faults. */
constexpr const auto&
enum_rows(document_fault)
{
  return DOCUMENT_FAULT_ROWS;
}

/** A document that was refused. */
struct document_error
{
  std::string field;    ///< JSON pointer to the field.
  document_fault fault; ///< What is wrong with it.
  bool operator==(const document_error&) const = default;
};

} // namespace shallotfield
