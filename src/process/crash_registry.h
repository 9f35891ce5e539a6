// What the proxies of a fleet tell each other about crashes of backend servers, about the requests
// that were at work, and about trials of requests that are rejected.
#pragma once
#include "clock_type.h"
#include "enum_table.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace shallotfield {

/** Digest by which all proxies recognise a request that comes again. */
struct request_digest
{
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  bool operator==(const request_digest&) const = default;
  bool operator<(const request_digest& other) const
  {
    return std::tie(high, low) < std::tie(other.high, other.low);
  }
};

/** Returns a digest as hexadecimal digits, as log lines show it. */
std::string
format_digest(const request_digest& digest);

/** What a record says. Of two records with the same request and id, the later enumerator holds, so
 * that the order of their arrival doesn't matter. */
enum class crash_finding
{
  trial_open,         ///< The request was passed to a server to find out whether it crashes it.
  trial_ended,        ///< The same, and it told nothing, since the server did not run the request.
  suspected,          ///< The request was at work when the server crashed, or was lost there.
  suspected_on_trial, ///< The same, and it was on trial.
  suspected_together, ///< The same, and many other servers crashed at the same time.
  acquitted,          ///< The server had not crashed, or a server has completed the request since.
};

inline constexpr enum_table<crash_finding, 6> CRASH_FINDING_ROWS = { {
  { crash_finding::trial_open, "trial_open" },
  { crash_finding::trial_ended, "trial_ended" },
  { crash_finding::suspected, "suspected" },
  { crash_finding::suspected_on_trial, "suspected_on_trial" },
  { crash_finding::suspected_together, "suspected_together" },
  { crash_finding::acquitted, "acquitted" },
} };
static_assert(is_complete(CRASH_FINDING_ROWS, crash_finding::acquitted));

/** Returns the name table of findings, as they appear in messages and in the log. */
constexpr const auto&
enum_rows(crash_finding)
{
  return CRASH_FINDING_ROWS;
}

/** What one proxy found out about a request. */
struct crash_record
{
  request_digest request;  ///< The request.
  std::uint64_t id = 0;    ///< Random id of the crash or trial. Several requests that were at work
                           ///< at the same crash have records with the same id.
  mono_ms happened_at = 0; ///< When the server crashed, or when the trial began.
  crash_finding finding = crash_finding::suspected;
  bool operator==(const crash_record&) const = default;
};

/** Time from the third crash of a request after which no further one should happen. */
inline constexpr mono_ms LATE_CRASH_MS = 3000;

/** What speaks against one request. */
struct crash_suspect
{
  std::size_t crashes = 0;        ///< Number of crashes from which it was not acquitted.
  mono_ms last_crash_at = 0;      ///< When the latest of them happened.
  std::uint64_t latest_trial = 0; ///< Id of the latest trial; 0: there was none.
  std::size_t crashed_trials = 0; ///< Trials in which the server crashed, or whose end is unknown.
  std::size_t failed_trials = 0;  ///< Those of them that speak against the request.
  std::size_t ended_trials = 0;   ///< Trials that told nothing.
  std::size_t late_crashes = 0; ///< Crashes that happened LATE_CRASH_MS after the third and later.
  mono_ms open_trial_at = 0;    ///< When the trial began that has not ended yet; 0: there is none.
  bool operator==(const crash_suspect&) const = default;
};

/** An immutable copy of the suspects for the traffic thread. */
using crash_view = std::map<request_digest, crash_suspect>;
using crash_view_ptr = std::shared_ptr<const crash_view>;

/**
 * Stores what this proxy knows of crashes. Records are merged in any order and any number of times.
 * All proxies that have received the same records therefore hold the same state.
 */
class crash_registry
{
public:
  /** Adds a record. Returns whether it changed what is known. */
  bool add(const crash_record& record, mono_ms now);

  /** Acquits a request of all crashes that are known, because a server has completed it. Returns
   * the records that changed. */
  std::vector<crash_record> acquit(const request_digest& request);

  /** Returns whether the request is acquitted of a crash. */
  bool is_acquitted(const request_digest& request, std::uint64_t crash) const;

  /** Removes records that are too old to matter. Returns whether any was removed. */
  bool expire(mono_ms now);

  /** Returns the records of a request, oldest first. */
  std::vector<crash_record> records_of(const request_digest& request) const;

  /** Returns the records of the requests that several crashes speak against. */
  std::vector<crash_record> shared_records() const;

  /** Returns the requests that at least one crash speaks against. */
  crash_view_ptr build_view() const;

  /** Returns the number of requests with records, including those that were acquitted. */
  std::size_t size() const { return requests_.size(); }

private:
  using record_list = std::vector<crash_record>;

  /** Makes room for further requests. Returns false if several crashes speak against all others. */
  bool make_room();

  std::map<request_digest, record_list> requests_; ///< Records by request, each list oldest first.
};

} // namespace shallotfield
