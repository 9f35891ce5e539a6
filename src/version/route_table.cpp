// Lookup of routing rules by host and longest path prefix.
#include "route_table_type.h"

#include <QCryptographicHash>

namespace shallotfield {

std::string
normalise_host(std::string_view host)
{
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return name;
}

/** Returns the digest under which a key is stored. */
static std::string
digest_of_key(std::string_view key)
{
  return QCryptographicHash::hash(QByteArrayView(key.data(), static_cast<qsizetype>(key.size())),
                                  QCryptographicHash::Sha256)
    .toStdString();
}

route_table::route_table(route_document from)
  : document_(std::move(from))
{
  for (const route_rule& rule : document_.rules) {
    by_host_[normalise_host(rule.host)].emplace(rule.prefix, &rule);
  }
  for (const service_rule& service : document_.services) {
    by_service_.emplace(service.service, &service);
  }
  for (const client_account& account : document_.accounts) {
    for (const std::string& key : account.keys) {
      by_key_digest_.emplace(digest_of_key(key), &account);
    }
    if (account.rate_per_s > 0) {
      share_weights_.emplace(account.name, account.rate_per_s);
    }
  }
  if (!share_weights_.empty()) {
    double total = 0;
    for (const auto& [name, weight] : share_weights_) {
      total += weight;
    }
    average_share_weight_ = total / static_cast<double>(share_weights_.size());
  }
}

const route_rule*
route_table::find(std::string_view host, std::string_view target) const
{
  const auto rules = by_host_.find(normalise_host(host));
  if (rules == by_host_.end()) {
    return nullptr;
  }
  // Prefixes end with a slash, so it suffices to look up the parts of the path up to each slash,
  // from the longest to the shortest.
  std::string part(target.substr(0, target.find_first_of("?#")));
  for (auto slash = part.rfind('/'); slash != std::string::npos;) {
    part.resize(slash + 1);
    const auto found = rules->second.find(part);
    if (found != rules->second.end()) {
      return found->second;
    }
    slash = slash == 0 ? std::string::npos : part.rfind('/', slash - 1);
  }
  return nullptr;
}

const service_rule*
route_table::find_service(const service_id& service) const
{
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? nullptr : found->second;
}

double
route_table::share_weight_of(const std::string& account) const
{
  const auto found = share_weights_.find(account);
  return found == share_weights_.end() ? average_share_weight_ : found->second;
}

const client_account*
route_table::find_account(std::string_view key) const
{
  const auto found = by_key_digest_.find(digest_of_key(key));
  return found == by_key_digest_.end() ? nullptr : found->second;
}

} // namespace shallotfield
