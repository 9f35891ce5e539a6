// Decides how a proxy keeps its configuration up to date. A few proxies, the readers, read the
// configuration from the store. Any proxy fetches it from a peer whose beacon announces a newer
// version, preferably from one in the same zone.
#pragma once
#include "peer_table_base.h"

#include <set>
#include <string>
#include <variant>
#include <vector>

namespace shallotfield {

// Events.

/** Requests a new evaluation of all decisions, because time passed or a beacon arrived. */
struct reevaluation_due
{};

/** The store responded to a read of the newest configuration. */
struct newest_config_read
{
  std::optional<std::string> text; ///< The configuration, if the store holds one.
  std::uint64_t next = 0;          ///< Store offset from which to read later records.
};

/** The store responded to a read of the records from an offset on. */
struct tail_read
{
  std::optional<std::string> text; ///< The newest configuration among the records, if any.
  std::uint64_t next = 0;          ///< Store offset from which to continue reading.
};

/** The store no longer holds the records at the offset that was to be read next. */
struct offset_trimmed
{};

/** The records at the offset that was read can't be decoded. */
struct tail_unreadable
{};

/** A read from the store failed. */
struct store_call_failed
{};

/** A peer sent its configuration. */
struct config_received
{
  std::string text; ///< Text of the configuration.
};

/** A peer did not send its configuration, or not in time. */
struct config_fetch_failed
{
  node_id node; ///< Peer that was asked.
};

/** A configuration took effect at this proxy. */
struct version_applied
{
  std::uint64_t version = 0; ///< Version that is now in force.
};

using follow_event = std::variant<reevaluation_due,
                                  newest_config_read,
                                  tail_read,
                                  offset_trimmed,
                                  tail_unreadable,
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

/** Read the records from an offset on. The store delays its response until there is one. */
struct read_config_tail
{
  std::uint64_t from = 0;   ///< Store offset of the first record to read.
  std::int64_t wait_ms = 0; ///< Maximum time for which the store delays its response.
  bool operator==(const read_config_tail&) const = default;
};

/** Request the configuration from a peer. */
struct fetch_config
{
  node_id node; ///< Peer to ask.
  bool operator==(const fetch_config&) const = default;
};

/** Put a configuration into force if it is newer than the one in force. */
struct apply_config
{
  std::string text;     ///< Text of the configuration.
  bool is_from_store{}; ///< True if it was read from the store, false if a peer sent it.
  bool operator==(const apply_config&) const = default;
};

/** Log that the store became reachable or unreachable, and inform the peers. */
struct report_store_reachability
{
  bool is_reachable = false; ///< Whether calls to the store succeed.
  bool operator==(const report_store_reachability&) const = default;
};

using follow_effect = std::variant<read_newest_config,
                                   read_config_tail,
                                   fetch_config,
                                   apply_config,
                                   report_store_reachability>;

/**
 * Decides whether this proxy reads the store and from which peer it fetches a newer configuration.
 * It takes events and returns effects, and does no input or output itself.
 */
class config_follower
{
public:
  /** Creates the follower of the node `self`. Its process started at `now`. */
  config_follower(node_beacon self, mono_ms now);

  /** Handles an event. Returns the effects, which the caller performs in order. */
  std::vector<follow_effect> handle(const follow_event& event,
                                    const peer_table& peers,
                                    mono_ms now);

  /** Returns whether the latest call to the store succeeded. */
  bool is_store_reachable() const { return is_store_reachable_; }

  /** Records whether the store responded, without emitting an effect. set_reachable() calls this
   * and also emits the effect. */
  void record_store_reachability(bool is_reachable, mono_ms now);

  /** Sets whether the addresses of the peers are known. Until they are, this proxy does not read
   * the store, because it cannot determine which proxies are the readers. */
  void set_peers_known(bool is_known) { are_peers_known_ = is_known; }

  /** Returns whether this proxy is one of the readers. */
  bool is_reader() const { return is_reader_; }

  /** Returns whether this proxy is the first of the readers, which also decides about roll-outs. */
  bool is_first_reader() const { return is_first_reader_; }

  /** Returns the version in force at this proxy; 0: none. */
  std::uint64_t version() const { return version_; }

private:
  void on(const reevaluation_due& event, const peer_table& peers, mono_ms now);
  void on(const newest_config_read& event, const peer_table& peers, mono_ms now);
  void on(const tail_read& event, const peer_table& peers, mono_ms now);
  void on(const offset_trimmed& event, const peer_table& peers, mono_ms now);
  void on(const tail_unreadable& event, const peer_table& peers, mono_ms now);
  void on(const store_call_failed& event, const peer_table& peers, mono_ms now);
  void on(const config_received& event, const peer_table& peers, mono_ms now);
  void on(const config_fetch_failed& event, const peer_table& peers, mono_ms now);
  void on(const version_applied& event, const peer_table& peers, mono_ms now);
  /** Determines from the peers' beacons whether this proxy is one of the two readers. With two,
   * updates still arrive while one of them is cut off from the store and this has not been detected
   * yet. Sets is_first_reader_. */
  bool is_selected_as_reader(const peer_table& peers);
  /** Starts a read from the store if this proxy is a reader and a read is due. */
  void read_store(const peer_table& peers, mono_ms now);
  /** Starts a fetch if a peer has a newer configuration and a fetch is allowed now. */
  void fetch_from_peer(const peer_table& peers, mono_ms now);
  /** Sets whether the store is reachable, and emits an effect if that changed. */
  void set_reachable(bool is_reachable, mono_ms now);
  /** Handles a successful read. `next` is the store offset from which to continue. */
  void handle_read_result(const std::optional<std::string>& text, std::uint64_t next, mono_ms now);

  node_beacon self_;                         ///< This node's id, zone, region and processor share.
  mono_ms started_at_;                       ///< Start of the process.
  bool are_peers_known_ = false;             ///< The directory of peers was read.
  std::uint64_t version_ = 0;                ///< Version in force at this proxy; 0: none.
  bool is_reader_ = false;                   ///< This proxy is one of the readers.
  bool is_first_reader_ = false;             ///< It is the first of them.
  bool is_reading_ = false;                  ///< A read from the store is pending.
  bool is_store_reachable_ = true;           ///< The latest call to the store succeeded.
  mono_ms reachability_changed_at_ = 0;      ///< When is_store_reachable_ last changed.
  mono_ms next_read_at_ = 0;                 ///< Earliest time of the next read.
  std::optional<std::uint64_t> next_offset_; ///< Offset of the next read; none: read the newest.
  std::uint64_t target_version_ = 0;         ///< Newest version that a live peer announced.
  mono_ms target_known_since_ = 0;           ///< Since when any newer version has been known.
  bool is_fetching_ = false;                 ///< A fetch from a peer is pending.
  mono_ms next_fetch_at_ = 0;                ///< Earliest time of the next fetch.
  std::set<node_id> failed_peers_;           ///< Peers that failed to send the target version.
  std::vector<follow_effect> effects_;       ///< Collects the effects of one call of handle().
};

} // namespace shallotfield
