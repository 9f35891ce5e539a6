// How a proxy keeps its configuration up to date: a few proxies follow the store, the others take
// the configuration from them or from a neighbour that has it already.
#pragma once
#include "peer_table_base.h"

#include <set>
#include <string>
#include <variant>
#include <vector>

namespace shallotfield {

// Events.

/** Some time passed, or a beacon arrived. */
struct reevaluation_due
{};

/** The newest configuration was read from the store. */
struct newest_config_read
{
  std::optional<std::string> text; ///< The configuration, if there is one.
  std::uint64_t next = 0;          ///< Offset from which to read on.
};

/** A read of later records ended. */
struct tail_read
{
  std::optional<std::string> text; ///< The newest configuration among them.
  std::uint64_t next = 0;          ///< Offset from which to read on.
};

/** The store no longer holds the records to read on from. */
struct offset_trimmed
{};

/** A call to the store failed. */
struct store_call_failed
{};

/** A peer sent its configuration. */
struct config_received
{
  std::string text; ///< The configuration.
};

/** A peer did not send its configuration. */
struct config_fetch_failed
{
  node_id node; ///< The peer.
};

/** A configuration took effect here. */
struct version_applied
{
  std::uint64_t version = 0; ///< Its version.
};

using follow_event = std::variant<reevaluation_due,
                                  newest_config_read,
                                  tail_read,
                                  offset_trimmed,
                                  store_call_failed,
                                  config_received,
                                  config_fetch_failed,
                                  version_applied>;

// Effects.

/** Read the newest configuration from the store. */
struct read_newest_config
{
  bool operator==(const read_newest_config&) const = default;
};

/** Wait at the store for later records. */
struct read_config_tail
{
  std::uint64_t from = 0;   ///< Offset.
  std::int64_t wait_ms = 0; ///< Longest wait.
  bool operator==(const read_config_tail&) const = default;
};

/** Ask a peer for its configuration. */
struct fetch_config
{
  node_id node; ///< The peer.
  bool operator==(const fetch_config&) const = default;
};

/** Put a configuration into force, if it is newer. */
struct apply_config
{
  std::string text;     ///< The configuration.
  bool is_from_store{}; ///< Whether it came from the store.
  bool operator==(const apply_config&) const = default;
};

/** Whether the store answers has changed. */
struct store_reachability_changed
{
  bool is_reachable = false; ///< Whether it answers.
  bool operator==(const store_reachability_changed&) const = default;
};

using follow_effect = std::variant<read_newest_config,
                                   read_config_tail,
                                   fetch_config,
                                   apply_config,
                                   store_reachability_changed>;

/** Decides who reads the store, and where a proxy takes a newer configuration from. */
class config_follower
{
public:
  /** @param self This node's address. @param now Start of the process. */
  config_follower(node_beacon self, mono_ms now);

  /**
   * Takes an event.
   * @param event The event.
   * @param peers The peers.
   * @param now Current time.
   * @return What to do, in order.
   */
  std::vector<follow_effect> handle(const follow_event& event,
                                    const peer_table& peers,
                                    mono_ms now);

  /** @return Whether the latest call to the store succeeded. */
  bool is_store_reachable() const { return is_store_reachable_; }

  /** Notes what other calls to the store show. @param is_reachable Whether it answered. */
  void record_store_reachability(bool is_reachable, mono_ms now);

  /** Lets this proxy read before it knows its peers. @param is_known Whether the peers are known.
   */
  void set_peers_known(bool is_known) { are_peers_known_ = is_known; }

  /** @return Whether this proxy follows the store. */
  bool is_reader() const { return is_reader_; }

  /** @return Version in force here. */
  std::uint64_t version() const { return version_; }

private:
  void on(const reevaluation_due& event, const peer_table& peers, mono_ms now);
  void on(const newest_config_read& event, const peer_table& peers, mono_ms now);
  void on(const tail_read& event, const peer_table& peers, mono_ms now);
  void on(const offset_trimmed& event, const peer_table& peers, mono_ms now);
  void on(const store_call_failed& event, const peer_table& peers, mono_ms now);
  void on(const config_received& event, const peer_table& peers, mono_ms now);
  void on(const config_fetch_failed& event, const peer_table& peers, mono_ms now);
  void on(const version_applied& event, const peer_table& peers, mono_ms now);
  /** Whether this proxy is one of those that read the store. */
  bool is_selected_as_reader(const peer_table& peers) const;
  /** Reads the store if that is this proxy's duty. */
  void read_store(const peer_table& peers, mono_ms now);
  /** Takes a newer configuration from a peer. */
  void fetch_from_peer(const peer_table& peers, mono_ms now);
  void set_reachable(bool is_reachable, mono_ms now);
  /** Takes what a call to the store brought. */
  void handle_read_result(const std::optional<std::string>& text, std::uint64_t next, mono_ms now);

  node_beacon self_;                         ///< This node's address.
  mono_ms started_at_;                       ///< Start of the process.
  bool are_peers_known_ = false;             ///< The directory was read.
  std::uint64_t version_ = 0;                ///< In force here.
  bool is_reader_ = false;                   ///< Follows the store.
  bool is_reading_ = false;                  ///< A call to the store is under way.
  bool is_store_reachable_ = true;           ///< The latest call succeeded.
  mono_ms unreachable_since_ = 0;            ///< Since when it fails.
  mono_ms next_read_at_ = 0;                 ///< When to read again.
  std::optional<std::uint64_t> next_offset_; ///< Offset to read on from; none: read the newest.
  std::uint64_t target_version_ = 0;         ///< Newest version that a peer has.
  mono_ms target_known_since_ = 0;           ///< Since when it is known.
  bool is_fetching_ = false;                 ///< A peer was asked.
  mono_ms next_fetch_at_ = 0;                ///< Not before then.
  std::set<node_id> failed_peers_;           ///< Peers that did not answer for this version.
  std::vector<follow_effect> effects_;       ///< Gathered by handle().
};

} // namespace shallotfield
