// Reviews a valid configuration before it is published: entries that can never match, limits that
// contradict each other, and the difference from another version.
#pragma once
#include "document_type.h"
#include "route_table_type.h"

#include <string>
#include <vector>

namespace shallotfield {

/** Kind of a finding in a valid configuration. */
enum class review_fault
{
  never_matches,      ///< No request can match the entry.
  no_effect,          ///< The entry is never used.
  limits_contradict,  ///< Two limits exclude each other.
  version_not_higher, ///< Proxies ignore a version that is not above the one in force.
};

inline constexpr enum_table<review_fault, 4> REVIEW_FAULT_ROWS = { {
  { review_fault::never_matches, "never_matches" },
  { review_fault::no_effect, "no_effect" },
  { review_fault::limits_contradict, "limits_contradict" },
  { review_fault::version_not_higher, "version_not_higher" },
} };
static_assert(is_complete(REVIEW_FAULT_ROWS, review_fault::version_not_higher));

/** Returns the name table of review faults. */
constexpr const auto&
enum_rows(review_fault)
{
  return REVIEW_FAULT_ROWS;
}

/** Kind of an entry of a configuration. */
enum class config_section
{
  configuration, ///< The configuration as a whole.
  limits,        ///< Limits for callers.
  route,         ///< A route, or a routing rule of a proxy.
  service,       ///< A service.
  account,       ///< A client account.
};

inline constexpr enum_table<config_section, 5> CONFIG_SECTION_ROWS = { {
  { config_section::configuration, "configuration" },
  { config_section::limits, "limits" },
  { config_section::route, "route" },
  { config_section::service, "service" },
  { config_section::account, "account" },
} };
static_assert(is_complete(CONFIG_SECTION_ROWS, config_section::account));

/** Returns the name table of sections. */
constexpr const auto&
enum_rows(config_section)
{
  return CONFIG_SECTION_ROWS;
}

/** Something in a valid configuration that the operator is unlikely to have meant. */
struct review_finding
{
  review_fault fault = review_fault::no_effect;           ///< What is wrong.
  config_section section = config_section::configuration; ///< Kind of the entry.
  std::string name;   ///< Name of the entry; empty if the section has one entry only.
  std::string detail; ///< Field and values, or the entry that hides it.
  bool operator==(const review_finding&) const = default;
};

/** How an entry differs between two versions. */
enum class entry_change
{
  added,
  removed,
  changed,
};

inline constexpr enum_table<entry_change, 3> ENTRY_CHANGE_ROWS = { {
  { entry_change::added, "added" },
  { entry_change::removed, "removed" },
  { entry_change::changed, "changed" },
} };
static_assert(is_complete(ENTRY_CHANGE_ROWS, entry_change::changed));

/** Returns the name table of changes. */
constexpr const auto&
enum_rows(entry_change)
{
  return ENTRY_CHANGE_ROWS;
}

/** An entry that differs between two versions. */
struct config_difference
{
  entry_change change = entry_change::changed;            ///< How it differs.
  config_section section = config_section::configuration; ///< Kind of the entry.
  std::string name;   ///< Name of the entry; empty if the section has one entry only.
  std::string detail; ///< Fields that differ, each with both values; empty unless changed.
  bool operator==(const config_difference&) const = default;
};

/** Reviews the configuration of a proxy. */
std::vector<review_finding>
review_configuration(const route_table& table);

/** Reviews the document of a node. */
std::vector<review_finding>
review_configuration(const document& content);

/** Reviews whether a version takes effect where `base` is in force. */
std::vector<review_finding>
review_succession(const route_document& content, const route_document& base);

/** Returns what differs from `base`, ordered by section and name. Keys of accounts are counted, and
 * not part of the result. */
std::vector<config_difference>
compare_configurations(const route_document& content, const route_document& base);

} // namespace shallotfield
