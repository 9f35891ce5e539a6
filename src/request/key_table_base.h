// The table of the idempotency keys that one home node has received, with the result of each
// request. It replays the first response to repeated requests, so that a request runs at most once
// per key. The class key_table is implemented in key_table.cpp; no class is derived from it.
#pragma once
#include "admission_policy.h"
#include "key_policy.h"

#include <deque>
#include <unordered_map>

namespace shallotfield {

/** A response that is stored to be replayed to later requests with the same key. */
struct cached_response
{
  response_head head; ///< Status and headers.
  std::string body;   ///< The complete body.
  bool operator==(const cached_response&) const = default;
};

/** Largest body that is stored. If a response is larger, later requests with its key get an unknown
 * outcome. */
inline constexpr std::size_t CACHED_RESPONSE_BYTES_MAX = 64U << 10U;

/** Limit on the total size of all stored bodies. */
inline constexpr std::size_t CACHED_BYTES_MAX = 64U << 20U;

/** Limit on the number of keys in the table. */
inline constexpr std::size_t KEYS_MAX = 200'000;

/** The key was not known before. Whether the request may run is up to decide_key. */
struct key_new
{
  bool operator==(const key_new&) const = default;
};

/** A request with the key has run. */
struct key_replay
{
  cached_response response; ///< Its response, to be sent again.
  bool operator==(const key_replay&) const = default;
};

/** A request with the key is under way. The new request waits for its result. */
struct key_joined
{
  bool operator==(const key_joined&) const = default;
};

using key_lookup = std::variant<key_new, key_replay, key_joined, key_denied>;

/** Stores keys for a limited time. It uses no sockets and no clock of its own. */
class key_table
{
public:
  /** @param window_ms How long keys are stored, counted from the first request. */
  explicit key_table(std::int64_t window_ms)
    : window_ms_(window_ms)
  {
  }

  /**
   * Looks up the key of a request that arrived, adds it if it is new, and returns what to do with
   * the request. `fingerprint` is a digest of the request; a different request with the same key is
   * refused. After key_new the key counts as under way, until one of record_completion,
   * mark_unresolved and release is called.
   */
  key_lookup handle_arrival(const std::string& key,
                            const std::string& fingerprint,
                            ticket id,
                            mono_ms now);

  /**
   * Responds to another node that asks whether a key has run here. The reply, a key_claim, is
   * `barred` if it has not and never will, or else `seen`. A key that is not known is barred if the
   * table has space for it: all later requests with it are refused, so the other node can rely on
   * the reply.
   */
  key_claim query(const std::string& key, mono_ms now);

  /** Removes a key whose request did not run, so that a later request with the key may run. Returns
   * the requests that wait for its result. */
  std::vector<ticket> release(const std::string& key);

  /** Stores the complete response to the request with a key, if the size limits allow it, or else
   * marks the key as unresolved. Returns the requests that wait for its result. */
  std::vector<ticket> record_completion(const std::string& key, cached_response response);

  /** Marks a key whose request may have run but has no complete response. Later requests with the
   * key are refused, since nobody can tell whether it ran. Returns the requests that wait for its
   * result. */
  std::vector<ticket> mark_unresolved(const std::string& key);

  /** Removes the keys that have been stored for longer than the window, oldest first, up to the
   * first one that is still under way. */
  void drop_expired(mono_ms now);

  /** Returns the number of stored keys. */
  std::size_t size() const { return entries_.size(); }

private:
  /** The state of a key. */
  enum class key_state
  {
    under_way,  ///< A request with the key is being checked, waits for a slot or runs.
    answered,   ///< The request ran, and its response is stored.
    unresolved, ///< The request ran or may have run, but no response is stored.
    barred,     ///< No request ran here, and none may, as another node relies on this.
  };

  /** One key. */
  struct entry
  {
    key_state state = key_state::under_way; ///< State of the key.
    std::string fingerprint;                ///< Digest of its request.
    cached_response response;               ///< The response; empty unless the state is `answered`.
    std::vector<ticket> joined;             ///< Requests that wait for the result.
    mono_ms first_seen_at = 0;              ///< When the key was first seen.
  };

  std::int64_t window_ms_;                             ///< How long keys are stored.
  std::unordered_map<std::string, entry> entries_;     ///< Entries by key.
  std::deque<std::pair<mono_ms, std::string>> by_age_; ///< When each key was added; oldest first.
  std::size_t cached_bytes_ = 0;                       ///< Total size of the stored bodies.
};

} // namespace shallotfield
