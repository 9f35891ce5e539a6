// Merges records of crashes from all proxies.
#include "crash_registry.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace shallotfield {

/** Time after which a crash no longer matters. It is longer than any rejection of a request. */
static constexpr mono_ms RETENTION_MS = 4 * 3'600'000;

/** Number of requests with records. Crashes of many servers at once, each with all slots occupied,
 * stay below it in a fleet of a few dozen servers. */
static constexpr std::size_t REQUESTS_MAX = 1024;

/** Number of records of one request. */
static constexpr std::size_t CRASHES_PER_REQUEST_MAX = 6;

/** Number of crashes from which on other proxies are reminded of a request. A single crash is only
 * announced when it happens, because most requests that were at work then are innocent. */
static constexpr std::size_t SHARED_CRASHES_MIN = 2;

std::string
format_digest(const request_digest& digest)
{
  std::ostringstream text;
  text << std::hex << std::setfill('0') << std::setw(16) << digest.high << std::setw(16)
       << digest.low;
  return text.str();
}

/** Returns the number of crashes that speak against a request. */
static std::size_t
count_crashes(const std::vector<crash_record>& records)
{
  return static_cast<std::size_t>(
    std::count_if(records.begin(), records.end(), [](const crash_record& record) {
      return !record.is_acquitted;
    }));
}

bool
crash_registry::add(const crash_record& record, mono_ms now)
{
  if (record.crash == 0 || now - record.happened_at > RETENTION_MS) {
    return false;
  }
  const auto known = requests_.find(record.request);
  if (known == requests_.end()) {
    if (requests_.size() >= REQUESTS_MAX && !make_room()) {
      return false;
    }
    requests_[record.request] = { record };
    return true;
  }
  crash_list& records = known->second;
  const auto same = std::find_if(records.begin(), records.end(), [&](const crash_record& item) {
    return item.crash == record.crash;
  });
  if (same != records.end()) {
    // The age in a message leaves out the time on the way, so the earlier of two times is right.
    same->happened_at = std::min(same->happened_at, record.happened_at);
    const bool has_changed = record.is_acquitted && !same->is_acquitted;
    same->is_acquitted = same->is_acquitted || record.is_acquitted;
    return has_changed;
  }
  const auto position = std::upper_bound(
    records.begin(), records.end(), record, [](const crash_record& one, const crash_record& other) {
      return one.happened_at < other.happened_at;
    });
  records.insert(position, record);
  if (records.size() > CRASHES_PER_REQUEST_MAX) {
    const auto acquitted = std::find_if(
      records.begin(), records.end(), [](const auto& item) { return item.is_acquitted; });
    records.erase(acquitted == records.end() ? records.begin() : acquitted);
  }
  return true;
}

bool
crash_registry::make_room()
{
  const auto weakest =
    std::min_element(requests_.begin(), requests_.end(), [](const auto& one, const auto& other) {
      const std::size_t one_count = count_crashes(one.second);
      const std::size_t other_count = count_crashes(other.second);
      return one_count != other_count
               ? one_count < other_count
               : one.second.back().happened_at < other.second.back().happened_at;
    });
  if (count_crashes(weakest->second) >= SHARED_CRASHES_MIN) {
    return false;
  }
  requests_.erase(weakest);
  return true;
}

std::vector<crash_record>
crash_registry::acquit(const request_digest& request)
{
  std::vector<crash_record> changed;
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    return changed;
  }
  for (crash_record& record : found->second) {
    if (!record.is_acquitted) {
      record.is_acquitted = true;
      changed.push_back(record);
    }
  }
  return changed;
}

bool
crash_registry::is_acquitted(const request_digest& request, std::uint64_t crash) const
{
  const auto found = requests_.find(request);
  return found != requests_.end() &&
         std::any_of(found->second.begin(), found->second.end(), [crash](const auto& record) {
           return record.crash == crash && record.is_acquitted;
         });
}

bool
crash_registry::expire(mono_ms now)
{
  return std::erase_if(requests_, [now](auto& item) {
           return now - item.second.back().happened_at > RETENTION_MS;
         }) > 0;
}

std::vector<crash_record>
crash_registry::shared_records() const
{
  std::vector<crash_record> result;
  for (const auto& [request, records] : requests_) {
    if (count_crashes(records) >= SHARED_CRASHES_MIN) {
      result.insert(result.end(), records.begin(), records.end());
    }
  }
  return result;
}

crash_view_ptr
crash_registry::build_view() const
{
  auto view = std::make_shared<crash_view>();
  for (const auto& [request, records] : requests_) {
    crash_suspect suspect;
    for (const crash_record& record : records) {
      if (!record.is_acquitted) {
        ++suspect.crashes;
        suspect.last_crash_at = record.happened_at;
      }
    }
    if (suspect.crashes > 0) {
      view->emplace(request, suspect);
    }
  }
  return view;
}

} // namespace shallotfield
