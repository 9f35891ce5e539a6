// Implements the review of configurations.
#include "config_review.h"

#include "compiled_version_base.h"

#include <algorithm>
#include <map>
#include <set>

namespace shallotfield {

/** Returns the name by which a rule is shown: several hosts may have rules of the same name. */
static std::string
name_of(const route_rule& rule)
{
  return rule.name + " " + rule.host + rule.prefix;
}

/** Finds the rules that the lookup of requests never returns. */
static void
review_matches(const route_table& table, std::vector<review_finding>& findings)
{
  for (const route_rule& rule : table.rules()) {
    const route_rule* found = table.find(rule.host, rule.prefix);
    if (found != &rule) {
      findings.push_back({ review_fault::never_matches,
                           config_section::route,
                           name_of(rule),
                           "hidden by " + (found == nullptr ? "" : name_of(*found)) });
    }
    if (static_cast<std::int64_t>(rule.prefix.size()) > table.limits().head_bytes_max) {
      findings.push_back({ review_fault::never_matches,
                           config_section::route,
                           name_of(rule),
                           "prefix longer than the largest head" });
    }
  }
}

/** Reviews the limits of one rule. */
static void
review_rule(const route_rule& rule,
            const caller_limits& limits,
            std::vector<review_finding>& findings)
{
  const auto add = [&](review_fault fault, std::string detail) {
    findings.push_back({ fault, config_section::route, name_of(rule), std::move(detail) });
  };
  if (rule.timeout_ms == 0) {
    add(review_fault::limits_contradict, "timeout_ms=0: each request times out at once");
  } else if (rule.objective_ms > rule.timeout_ms) {
    add(review_fault::limits_contradict,
        "objective_ms=" + std::to_string(rule.objective_ms) +
          " over timeout_ms=" + std::to_string(rule.timeout_ms));
  }
  if (rule.kind == request_kind::upload && limits.body_bytes_max == 0) {
    add(review_fault::limits_contradict, "uploads, but body_bytes_max=0");
  }
  std::set<service_id> services;
  for (const weighted_service& target : rule.targets) {
    if (target.weight == 0) {
      add(review_fault::no_effect, "target " + target.service + " has weight 0");
    }
    if (!services.insert(target.service).second) {
      add(review_fault::no_effect, "target " + target.service + " occurs more than once");
    }
  }
}

/** Reviews one client account. */
static void
review_account(const client_account& account, std::vector<review_finding>& findings)
{
  const auto add = [&](review_fault fault, std::string detail) {
    findings.push_back({ fault, config_section::account, account.name, std::move(detail) });
  };
  if (account.keys.empty()) {
    add(review_fault::never_matches, "no key");
  }
  if (account.rate_per_s == 0 && account.burst_requests > 0) {
    add(review_fault::no_effect, "a burst without a rate: the account is unlimited");
  }
  if (account.rate_per_s > 0 && account.burst_requests < 1) {
    add(review_fault::limits_contradict, "a quota whose burst allows no whole request");
  }
}

std::vector<review_finding>
review_configuration(const route_table& table)
{
  std::vector<review_finding> findings;
  const caller_limits& limits = table.limits();
  if (limits.head_timeout_ms == 0) {
    findings.push_back({ review_fault::limits_contradict,
                         config_section::limits,
                         "",
                         "head_timeout_ms=0: no request can be read" });
  }
  if (limits.idle_timeout_ms == 0) {
    findings.push_back({ review_fault::limits_contradict,
                         config_section::limits,
                         "",
                         "idle_timeout_ms=0: no connection can be reused" });
  }
  review_matches(table, findings);
  std::set<service_id> used;
  for (const route_rule& rule : table.rules()) {
    review_rule(rule, limits, findings);
    for (const weighted_service& target : rule.targets) {
      used.insert(target.service);
    }
  }
  for (const service_rule& service : table.services()) {
    if (!used.contains(service.service)) {
      findings.push_back(
        { review_fault::no_effect, config_section::service, service.service, "no route" });
    }
  }
  for (const client_account& account : table.accounts()) {
    review_account(account, findings);
  }
  return findings;
}

/** Returns whether each path that begins with `prefix`, by whole segments, begins with `by`. */
static bool
covers_prefix(const std::string& by, const std::string& prefix)
{
  return prefix.starts_with(by) &&
         (prefix.size() == by.size() || by.ends_with('/') || prefix[by.size()] == '/');
}

/** Returns whether one route matches all requests that another one matches. */
static bool
covers(const route_spec& by, const route_spec& route)
{
  const bool covers_methods =
    by.methods.empty() ||
    (!route.methods.empty() &&
     std::all_of(route.methods.begin(), route.methods.end(), [&](const std::string& method) {
       return std::find(by.methods.begin(), by.methods.end(), method) != by.methods.end();
     }));
  const bool covers_header = !by.header || by.header == route.header;
  return (by.host.empty() || by.host == route.host) &&
         covers_prefix(by.path_prefix, route.path_prefix) && covers_methods && covers_header;
}

std::vector<review_finding>
review_configuration(const document& content)
{
  std::vector<review_finding> findings;
  const compiled_version_ptr compiled = compile_version(0, "", {}, content);
  std::set<service_id> used;
  for (auto route = compiled->routes.begin(); route != compiled->routes.end(); ++route) {
    // The routes are in the order in which requests are compared with them.
    const auto hidden_by =
      std::find_if(compiled->routes.begin(), route, [&](const compiled_route& earlier) {
        return covers(earlier.spec, route->spec);
      });
    if (hidden_by != route) {
      findings.push_back({ review_fault::never_matches,
                           config_section::route,
                           route->name,
                           "hidden by " + hidden_by->name });
    }
    for (const route_target& target : route->spec.targets) {
      used.insert(target.service);
      if (target.weight == 0) {
        findings.push_back({ review_fault::no_effect,
                             config_section::route,
                             route->name,
                             "target " + target.service + " has weight 0" });
      }
    }
  }
  for (const auto& [name, service] : content.services) {
    if (!used.contains(name)) {
      findings.push_back({ review_fault::no_effect, config_section::service, name, "no route" });
    }
    if (service.hedge_after_ms > 0 && service.hedge_after_ms >= service.timeout_ms) {
      findings.push_back({ review_fault::limits_contradict,
                           config_section::service,
                           name,
                           "hedge_after_ms=" + std::to_string(service.hedge_after_ms) +
                             " not under timeout_ms=" + std::to_string(service.timeout_ms) });
    }
  }
  return findings;
}

std::vector<review_finding>
review_succession(const route_document& content, const route_document& base)
{
  std::vector<review_finding> findings;
  if (content.version <= base.version) {
    findings.push_back({ review_fault::version_not_higher,
                         config_section::configuration,
                         "",
                         "version=" + std::to_string(content.version) +
                           " in_force=" + std::to_string(base.version) });
  }
  return findings;
}

namespace {

/** An entry in the form in which versions are compared: field names with values as text. */
using entry_fields = std::map<std::string, std::string>;

/** Entries by section and name. */
using entry_map = std::map<std::pair<config_section, std::string>, entry_fields>;

} // namespace

/** Returns the targets of a rule with their weights. */
static std::string
format_targets(const std::vector<weighted_service>& targets)
{
  std::string text;
  for (const weighted_service& target : targets) {
    text += (text.empty() ? "" : ",") + target.service + ":" + std::to_string(target.weight);
  }
  return text;
}

/** Returns a number with as many decimals as it needs. */
static std::string
format_number(double number)
{
  std::string text = std::to_string(number);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.ends_with('.')) {
    text.pop_back();
  }
  return text;
}

/** Returns the entries of a configuration with all fields that are compared. */
static entry_map
entries_of(const route_document& from)
{
  entry_map entries;
  entries[{ config_section::limits, "" }] = {
    { "head_bytes_max", std::to_string(from.limits.head_bytes_max) },
    { "body_bytes_max", std::to_string(from.limits.body_bytes_max) },
    { "head_timeout_ms", std::to_string(from.limits.head_timeout_ms) },
    { "idle_timeout_ms", std::to_string(from.limits.idle_timeout_ms) }
  };
  for (const route_rule& rule : from.rules) {
    entries[{ config_section::route, name_of(rule) }] = {
      { "kind", std::string(enum_name(rule.kind)) },
      { "objective_ms", std::to_string(rule.objective_ms) },
      { "priority", std::to_string(rule.priority) },
      { "timeout_ms", std::to_string(rule.timeout_ms) },
      { "attempts_max", std::to_string(rule.attempts_max) },
      { "targets", format_targets(rule.targets) },
      { "allows_anonymous", rule.allows_anonymous ? "true" : "false" }
    };
  }
  for (const service_rule& service : from.services) {
    entries[{ config_section::service, service.service }] = { { "health_path",
                                                                service.health_path } };
  }
  for (const client_account& account : from.accounts) {
    entries[{ config_section::account, account.name }] = {
      { "priority", account.priority ? std::to_string(*account.priority) : "none" },
      { "rate_per_s", format_number(account.rate_per_s) },
      { "burst_requests", format_number(account.burst_requests) }
    };
  }
  return entries;
}

/** Returns how many keys of an account were added and removed, or nothing if none was. */
static std::string
compare_keys(const client_account& account, const client_account& base)
{
  const std::set<std::string> now(account.keys.begin(), account.keys.end());
  const std::set<std::string> before(base.keys.begin(), base.keys.end());
  const auto missing_in = [](const std::set<std::string>& keys, const std::set<std::string>& in) {
    return std::count_if(
      keys.begin(), keys.end(), [&](const std::string& key) { return !in.contains(key); });
  };
  const auto added = missing_in(now, before);
  const auto removed = missing_in(before, now);
  if (added == 0 && removed == 0) {
    return "";
  }
  return "keys added=" + std::to_string(added) + " removed=" + std::to_string(removed);
}

/** Returns the fields that differ, each with both values. */
static std::string
compare_fields(const entry_fields& fields, const entry_fields& base)
{
  std::string text;
  for (const auto& [field, value] : fields) {
    const std::string& before = base.at(field);
    if (value != before) {
      text.append(text.empty() ? "" : " ").append(field).append(": ").append(before);
      text.append(" -> ").append(value);
    }
  }
  return text;
}

std::vector<config_difference>
compare_configurations(const route_document& content, const route_document& base)
{
  const entry_map now = entries_of(content);
  const entry_map before = entries_of(base);
  std::map<std::string, std::string> key_changes;
  for (const client_account& account : content.accounts) {
    const auto found =
      std::find_if(base.accounts.begin(), base.accounts.end(), [&](const client_account& other) {
        return other.name == account.name;
      });
    if (found != base.accounts.end()) {
      key_changes[account.name] = compare_keys(account, *found);
    }
  }
  std::vector<config_difference> differences;
  for (const auto& [id, fields] : now) {
    const auto& [section, name] = id;
    const auto found = before.find(id);
    if (found == before.end()) {
      differences.push_back({ entry_change::added, section, name, "" });
      continue;
    }
    std::string detail = compare_fields(fields, found->second);
    if (section == config_section::account && !key_changes[name].empty()) {
      detail += (detail.empty() ? "" : " ") + key_changes[name];
    }
    if (!detail.empty()) {
      differences.push_back({ entry_change::changed, section, name, std::move(detail) });
    }
  }
  for (const auto& [id, fields] : before) {
    if (!now.contains(id)) {
      differences.push_back({ entry_change::removed, id.first, id.second, "" });
    }
  }
  return differences;
}

} // namespace shallotfield
