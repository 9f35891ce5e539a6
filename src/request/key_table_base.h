// The request keys that one home remembers, with what became of them.
#pragma once
#include "admission_policy.h"
#include "key_policy.h"

#include <deque>
#include <unordered_map>

namespace shallotfield {

/** An answer that is kept for repeats. */
struct cached_response
{
  response_head head; ///< Status and headers.
  std::string body;   ///< Body.
  bool operator==(const cached_response&) const = default;
};

/** Largest body that is kept; repeats of larger answers get an unknown outcome. */
inline constexpr std::size_t CACHED_RESPONSE_BYTES_MAX = 64U << 10U;

/** Most bytes of all kept answers. */
inline constexpr std::size_t CACHED_BYTES_MAX = 64U << 20U;

/** Most keys that are remembered. */
inline constexpr std::size_t KEYS_MAX = 200'000;

/** The key is new: ask decide_key. */
struct key_new
{
  bool operator==(const key_new&) const = default;
};

/** The key ran: this is its answer. */
struct key_replay
{
  cached_response answer; ///< The answer.
  bool operator==(const key_replay&) const = default;
};

/** The key is under way: the request was noted and gets the same end. */
struct key_joined
{
  bool operator==(const key_joined&) const = default;
};

using key_lookup = std::variant<key_new, key_replay, key_joined, key_denied>;

/** Remembers keys for a window. A decision object: it has neither sockets nor a clock. */
class key_table
{
public:
  /** @param window_ms How long keys are remembered. */
  explicit key_table(std::int64_t window_ms)
    : window_ms_(window_ms)
  {
  }

  /**
   * Looks a key up when a request with it arrives.
   * @param key The key.
   * @param fingerprint Digest of the request; another request under the same key is refused.
   * @param id Number of the request.
   * @param now Current time.
   * @return What is known. With key_new the key counts as under way from now on.
   */
  key_lookup handle_arrival(const std::string& key,
                            const std::string& fingerprint,
                            ticket id,
                            mono_ms now);

  /**
   * Answers another node that asks for a key.
   * @param key The key.
   * @param now Current time.
   * @return barred: it did not run here, and from now on never will; or seen.
   */
  key_claim query(const std::string& key, mono_ms now);

  /**
   * Notes that the request under way did not run; the key may come again.
   * @param key The key.
   * @return The requests that joined it.
   */
  std::vector<ticket> release(const std::string& key);

  /**
   * Notes the whole answer.
   * @param key The key.
   * @param answer The answer.
   * @return The requests that joined it.
   */
  std::vector<ticket> record_completion(const std::string& key, cached_response answer);

  /**
   * Notes that the request under way may have run, but has no whole answer.
   * @param key The key.
   * @return The requests that joined it.
   */
  std::vector<ticket> mark_unresolved(const std::string& key);

  /** Drops keys that are older than the window. @param now Current time. */
  void drop_expired(mono_ms now);

  /** @return Keys that are remembered. */
  std::size_t size() const { return entries_.size(); }

private:
  /** What became of a key. */
  enum class key_state
  {
    under_way, ///< A request with it is being decided on, waits or runs.
    answered,  ///< It ran and its answer is kept.
    lost,      ///< It ran or may have, without an answer that is kept.
    barred,    ///< It did not run here, and must not.
  };

  /** One key. */
  struct entry
  {
    key_state state = key_state::under_way; ///< What became of it.
    std::string fingerprint;                ///< Digest of its request.
    cached_response answer;                 ///< Its answer, if answered.
    std::vector<ticket> joined;             ///< Requests that wait for its end.
    mono_ms first_seen_at = 0;              ///< When it came first.
  };

  std::int64_t window_ms_;                             ///< How long keys are remembered.
  std::unordered_map<std::string, entry> entries_;     ///< By key.
  std::deque<std::pair<mono_ms, std::string>> by_age_; ///< Keys, oldest first.
  std::size_t cached_bytes_ = 0;                       ///< Bytes of all kept answers.
};

} // namespace shallotfield
