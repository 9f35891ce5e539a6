// What the proxies of a fleet tell each other about requests that were at work on a backend server
// when it crashed.
#pragma once
#include "clock_type.h"

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

/** One crash of a server at which a request was at work. */
struct crash_record
{
  request_digest request;    ///< The request.
  std::uint64_t crash = 0;   ///< Random id of the crash; other requests may have the same one.
  mono_ms happened_at = 0;   ///< When the server crashed.
  bool is_acquitted = false; ///< A server has completed the request since.
  bool operator==(const crash_record&) const = default;
};

/** The crashes that speak against one request. */
struct crash_suspect
{
  std::size_t crashes = 0;   ///< Number of crashes from which it was not acquitted.
  mono_ms last_crash_at = 0; ///< When the latest of them happened.
};

/** An immutable copy of the suspects for the traffic thread. */
using crash_view = std::map<request_digest, crash_suspect>;
using crash_view_ptr = std::shared_ptr<const crash_view>;

/**
 * Stores the crashes of which this proxy knows. Records of the same crash and request are merged,
 * in any order and any number of times, and a request that was acquitted of a crash stays so. All
 * proxies that have received the same records therefore hold the same state.
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

  /** Returns the records of the requests that several crashes speak against. */
  std::vector<crash_record> shared_records() const;

  /** Returns the requests that at least one crash speaks against. */
  crash_view_ptr build_view() const;

  /** Returns the number of requests with records, including those that were acquitted. */
  std::size_t size() const { return requests_.size(); }

private:
  using crash_list = std::vector<crash_record>;

  /** Makes room for another request. Returns false if all others have more crashes against them. */
  bool make_room();

  std::map<request_digest, crash_list> requests_; ///< Records by request, each list oldest first.
};

} // namespace shallotfield
