// Merges records of crashes and trials from all proxies.
#include "crash_registry.h"

#include <algorithm>
#include <iomanip>
#include <optional>
#include <sstream>

namespace shallotfield {

/** Time after which a record no longer matters. It is longer than any rejection of a request. */
static constexpr mono_ms RETENTION_MS = 4 * 3'600'000;

/** Number of requests with records. Each request at work at a crash has two digests. The crash of a
 * whole availability zone of 40 servers with 18 slots each stays below it twice over. */
static constexpr std::size_t REQUESTS_MAX = 4096;

/** Part of the requests that make room for others when the table is full, as a divisor. */
static constexpr std::size_t ROOM_DIVISOR = 8;

/** Number of records of one request: crashes, and the latest trials. */
static constexpr std::size_t CRASHES_PER_REQUEST_MAX = 10;
static constexpr std::size_t TRIALS_PER_REQUEST_MAX = 6;

/** The number of crashes after which further ones are late. */
static constexpr std::size_t COUNTED_CRASHES = 3;

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

static bool
is_trial(const crash_record& record)
{
  return record.finding == crash_finding::trial_open ||
         record.finding == crash_finding::trial_ended;
}

/** Returns whether a record speaks against its request. */
static bool
is_incriminating(const crash_record& record)
{
  return record.finding == crash_finding::suspected ||
         record.finding == crash_finding::suspected_on_trial ||
         record.finding == crash_finding::suspected_together;
}

/** Returns the number of crashes that speak against a request. */
static std::size_t
count_crashes(const std::vector<crash_record>& records)
{
  return static_cast<std::size_t>(std::count_if(records.begin(), records.end(), is_incriminating));
}

/** Inserts a record by its time. */
static void
insert_by_time(std::vector<crash_record>& records, const crash_record& record)
{
  const auto position = std::upper_bound(
    records.begin(), records.end(), record, [](const crash_record& one, const crash_record& other) {
      return one.happened_at < other.happened_at;
    });
  records.insert(position, record);
}

/** Removes a record of a crash if there are too many. The first three tell from when on further
 * crashes are late, and the latest ones how the trials ended. */
static void
limit_crashes(std::vector<crash_record>& records)
{
  std::vector<std::size_t> crashes;
  std::optional<std::size_t> acquitted;
  for (std::size_t i = 0; i < records.size(); ++i) {
    if (is_trial(records[i])) {
      continue;
    }
    crashes.push_back(i);
    if (!acquitted && records[i].finding == crash_finding::acquitted) {
      acquitted = i;
    }
  }
  if (crashes.size() > CRASHES_PER_REQUEST_MAX) {
    const std::size_t removed = acquitted.value_or(crashes.at(COUNTED_CRASHES));
    records.erase(records.begin() + static_cast<std::ptrdiff_t>(removed));
  }
}

/** Removes a record of a trial if there are too many: the oldest that told nothing, if any. */
static void
limit_trials(std::vector<crash_record>& records)
{
  if (std::count_if(records.begin(), records.end(), is_trial) <=
      static_cast<std::ptrdiff_t>(TRIALS_PER_REQUEST_MAX)) {
    return;
  }
  const auto ended = std::find_if(records.begin(), records.end(), [](const crash_record& item) {
    return item.finding == crash_finding::trial_ended;
  });
  records.erase(ended != records.end() ? ended
                                       : std::find_if(records.begin(), records.end(), is_trial));
}

bool
crash_registry::add(const crash_record& record, mono_ms now)
{
  if (record.id == 0 || now - record.happened_at > RETENTION_MS) {
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
  record_list& records = known->second;
  const auto same = std::find_if(
    records.begin(), records.end(), [&](const crash_record& item) { return item.id == record.id; });
  if (same != records.end()) {
    // The age in a message leaves out the time on the way, so the earlier of two times is right.
    same->happened_at = std::min(same->happened_at, record.happened_at);
    const bool has_changed = record.finding > same->finding;
    same->finding = std::max(same->finding, record.finding);
    return has_changed;
  }
  insert_by_time(records, record);
  limit_crashes(records);
  limit_trials(records);
  return true;
}

bool
crash_registry::make_room()
{
  // Several requests are removed together, since each search passes through all of them.
  std::vector<std::pair<mono_ms, request_digest>> weak;
  for (const auto& [request, records] : requests_) {
    if (count_crashes(records) < SHARED_CRASHES_MIN) {
      weak.emplace_back(records.back().happened_at, request);
    }
  }
  const std::size_t removed = std::min(weak.size(), REQUESTS_MAX / ROOM_DIVISOR);
  std::nth_element(weak.begin(), weak.begin() + static_cast<std::ptrdiff_t>(removed), weak.end());
  for (std::size_t i = 0; i < removed; ++i) {
    requests_.erase(weak[i].second);
  }
  return removed > 0;
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
    if (is_incriminating(record)) {
      record.finding = crash_finding::acquitted;
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
           return record.id == crash && record.finding == crash_finding::acquitted;
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
crash_registry::records_of(const request_digest& request) const
{
  const auto found = requests_.find(request);
  return found == requests_.end() ? record_list{} : found->second;
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

/** Returns what the records of a request, oldest first, say of it. */
static crash_suspect
assess(const std::vector<crash_record>& records)
{
  crash_suspect suspect;
  mono_ms third_crash_at = 0;
  for (const crash_record& record : records) {
    if (is_incriminating(record)) {
      ++suspect.crashes;
      suspect.last_crash_at = record.happened_at;
      third_crash_at = suspect.crashes == COUNTED_CRASHES ? record.happened_at : third_crash_at;
      const bool is_late =
        suspect.crashes > COUNTED_CRASHES && record.happened_at > third_crash_at + LATE_CRASH_MS;
      suspect.late_crashes +=
        is_late && record.finding != crash_finding::suspected_together ? 1 : 0;
      suspect.failed_trials += record.finding == crash_finding::suspected_on_trial ? 1 : 0;
      suspect.open_trial_at = 0;
    } else if (is_trial(record) && suspect.crashes > 0) {
      const bool is_open = record.finding == crash_finding::trial_open;
      suspect.latest_trial = record.id;
      suspect.crashed_trials += is_open ? 1 : 0;
      suspect.ended_trials += is_open ? 0 : 1;
      // Another trial follows an open one only if its end will not be known.
      suspect.failed_trials += suspect.open_trial_at != 0 ? 1 : 0;
      suspect.open_trial_at = is_open ? record.happened_at : 0;
    }
  }
  return suspect;
}

crash_view_ptr
crash_registry::build_view() const
{
  auto view = std::make_shared<crash_view>();
  for (const auto& [request, records] : requests_) {
    const crash_suspect suspect = assess(records);
    if (suspect.crashes > 0) {
      view->emplace(request, suspect);
    }
  }
  return view;
}

} // namespace shallotfield
