// Implements the table of idempotency keys.
#include "key_table_base.h"

namespace shallotfield {

key_lookup
key_table::handle_arrival(const std::string& key,
                          const std::string& fingerprint,
                          ticket id,
                          mono_ms now)
{
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    if (entries_.size() >= KEYS_MAX) {
      return key_denied{ failure_reason::key_limit };
    }
    entries_[key] = { key_state::under_way, fingerprint, {}, {}, now };
    by_age_.emplace_back(now, key);
    return key_new{};
  }
  entry& known = found->second;
  if (known.state == key_state::barred) {
    return key_denied{ failure_reason::key_moved };
  }
  if (known.fingerprint != fingerprint) {
    return key_denied{ failure_reason::key_reused };
  }
  switch (known.state) {
    case key_state::under_way:
      known.joined.push_back(id);
      return key_joined{};
    case key_state::answered:
      return key_replay{ known.response };
    case key_state::unresolved:
    case key_state::barred:
      break;
  }
  return key_denied{ failure_reason::key_unresolved };
}

key_claim
key_table::query(const std::string& key, mono_ms now)
{
  const auto found = entries_.find(key);
  if (found != entries_.end()) {
    return found->second.state == key_state::barred ? key_claim::barred : key_claim::seen;
  }
  if (entries_.size() >= KEYS_MAX) {
    return key_claim::seen; // The table is full, so the key cannot be barred.
  }
  entries_[key] = { key_state::barred, {}, {}, {}, now };
  by_age_.emplace_back(now, key);
  return key_claim::barred;
}

std::vector<ticket>
key_table::release(const std::string& key)
{
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return {};
  }
  std::vector<ticket> joined = std::move(found->second.joined);
  entries_.erase(found);
  return joined;
}

std::vector<ticket>
key_table::record_completion(const std::string& key, cached_response response)
{
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return {};
  }
  const std::size_t bytes = response.body.size();
  const bool fits = bytes <= CACHED_RESPONSE_BYTES_MAX && cached_bytes_ + bytes <= CACHED_BYTES_MAX;
  found->second.state = fits ? key_state::answered : key_state::unresolved;
  if (fits) {
    cached_bytes_ += bytes;
    found->second.response = std::move(response);
  }
  return std::exchange(found->second.joined, {});
}

std::vector<ticket>
key_table::mark_unresolved(const std::string& key)
{
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return {};
  }
  found->second.state = key_state::unresolved;
  return std::exchange(found->second.joined, {});
}

void
key_table::drop_expired(mono_ms now)
{
  while (!by_age_.empty() && now - by_age_.front().first > window_ms_) {
    const auto found = entries_.find(by_age_.front().second);
    const bool is_same_entry =
      found != entries_.end() && found->second.first_seen_at == by_age_.front().first;
    if (is_same_entry && found->second.state == key_state::under_way) {
      return; // The request is still under way. A call after its end removes it and later keys.
    }
    if (is_same_entry) {
      cached_bytes_ -= found->second.response.body.size();
      entries_.erase(found);
    }
    by_age_.pop_front();
  }
}

} // namespace shallotfield
