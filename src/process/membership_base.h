// The member records that a node holds, and the rules by which newer records replace older ones.
#pragma once
#include "member_type.h"

#include <optional>

namespace shallotfield {

/** Whether a record that arrived is newer than the one held for the same node. */
bool
is_newer(const member_record& candidate, const member_record& held);

/** Whether a record says that its node has left the fleet or was declared dead. */
bool
is_tombstone(const member_record& record);

/** What a node knows about network partitions between regions. */
struct partition_state
{
  bool is_partitioned = false; ///< Some region is unreachable.
  /** Lower bound for the start of the latest partition; INT64_MAX: there was none. */
  unix_ms earliest_partition_start = INT64_MAX;
  unix_ms healed_at = 0; ///< End of the latest partition; 0: none has ended.
};

/**
 * The member records that this node holds. Records are merged one by one; a list that lacks a node
 * doesn't remove the node's record.
 */
class membership
{
public:
  /** Starts with only the record of this node. */
  membership(const member_record& own, instant now);

  /**
   * Merges a record that a peer sent. Returns the record to propagate to other peers, or nothing if
   * nothing changed. A record about this node itself is never stored. If it is newer than the one
   * held, for example because it declares this node dead, the record of this node gets a higher
   * sequence and is propagated again, which refutes the other one. A record of a later process with
   * the id of this node is ignored.
   */
  std::optional<member_record> merge(const member_record& record, instant now);

  /**
   * Declares another node dead. Returns the tombstone to propagate, or nothing if the node is
   * unknown or has a tombstone already.
   */
  std::optional<member_record> mark_gone(const node_id& id, instant now);

  /** Changes the record of this node. Returns it for propagation, or nothing if it is the same. */
  std::optional<member_record> update_own(member_state state,
                                          const server_info& server,
                                          instant now);

  /** Gives the record of this node a higher sequence only. Returns it for propagation. */
  std::optional<member_record> republish_own(instant now);

  /** When this node stored a tombstone for `id`; nothing if it holds none. */
  std::optional<unix_ms> tombstone_since(const node_id& id) const;

  /**
   * Treats the server of this node as having gone live at `now`, if it is live. Called when other
   * servers may meanwhile have run requests with its idempotency keys, so that it is treated as a
   * new home of these keys.
   */
  void reset_own_live_since(instant now);

  /** Removes tombstones whose retention period has passed. */
  void expire_tombstones(instant now);

  /** The record of this node. */
  const member_record& own() const;

  /** All records, by node. */
  const std::map<node_id, member_record>& records() const { return records_; }

  /**
   * Digest over all records. Peers compare digests to find out whether they hold the same records;
   * it doesn't depend on the order in which the records arrived.
   */
  std::uint64_t digest() const;

  /** Builds the immutable snapshot for the traffic threads. */
  member_view_ptr build_view(const partition_state& partition = {}) const;

private:
  /** Stores a record and updates the times at which servers went live or stopped. */
  void store(const member_record& record, instant now);

  node_id own_id_;                             ///< Id of this node.
  std::map<node_id, member_record> records_;   ///< Records of all nodes, including tombstones.
  std::map<node_id, unix_ms> tombstone_since_; ///< When this node stored each tombstone.
  std::map<node_id, unix_ms> live_since_;      ///< When each live server was first seen live.
  std::map<service_id, std::map<node_id, unix_ms>> stopped_at_; ///< When former servers stopped.
};

} // namespace shallotfield
