// The set of member records that one node holds, and how records replace each other.
#pragma once
#include "member_type.h"

#include <optional>

namespace shallotfield {

/**
 * Tells whether a record replaces another of the same node.
 * @param candidate The record that arrived.
 * @param held The record that is held.
 * @return Whether the candidate is newer.
 */
bool
is_newer(const member_record& candidate, const member_record& held);

/** @param record A member record. @return Whether its node left or is gone. */
bool
is_tombstone(const member_record& record);

/** What a node knows of regions that lose each other. */
struct partition_state
{
  bool is_partitioned = false;                  ///< Some region can't be reached.
  unix_ms earliest_partition_start = INT64_MAX; ///< Surely before the latest cut began.
  unix_ms healed_at = 0;                        ///< When it ended.
};

/** The records of one node. Absence of a record never deletes one. */
class membership
{
public:
  /**
   * Starts with the node's own record.
   * @param own The record of this node.
   * @param now When; the node knows nothing of the time before.
   */
  membership(const member_record& own, instant now);

  /**
   * Takes in a record from a peer. A record of this node itself is never taken: a newer one, or
   * one that says this node is gone, makes the node publish its own record with a higher
   * sequence.
   * @param record The record.
   * @param now When it arrived.
   * @return The record to pass on, or nothing if nothing changed.
   */
  std::optional<member_record> merge(const member_record& record, instant now);

  /**
   * Marks another node as gone.
   * @param id The node.
   * @param now When.
   * @return The tombstone to pass on, or nothing if there is no such node or it is gone already.
   */
  std::optional<member_record> mark_gone(const node_id& id, instant now);

  /**
   * Changes the node's own record.
   * @param state State of this node.
   * @param server The backend server beside it.
   * @param now When.
   * @return The record to pass on, or nothing if nothing changed.
   */
  std::optional<member_record> update_own(member_state state,
                                          const server_info& server,
                                          instant now);

  /**
   * Publishes the node's own record again with a higher sequence.
   * @param now When.
   * @return The record to pass on.
   */
  std::optional<member_record> republish_own(instant now);

  /**
   * Tells since when a node counts as gone or left here.
   * @param id The node.
   * @return Unix ms; or nothing if it doesn't.
   */
  std::optional<unix_ms> tombstone_since(const node_id& id) const;

  /**
   * Notes that the node's own server takes work again after others took its place.
   * @param now When.
   */
  void reset_own_live_since(instant now);

  /** Drops tombstones that are older than any update can be. @param now The current time. */
  void expire_tombstones(instant now);

  /** @return This node's own record. */
  const member_record& own() const;

  /** @return All records, by node. */
  const std::map<node_id, member_record>& records() const { return records_; }

  /** @return A digest over all records that doesn't depend on their order. */
  std::uint64_t digest() const;

  /**
   * Builds the immutable picture for the traffic threads.
   * @param cut Whether some region is cut off.
   * @return The picture.
   */
  member_view_ptr build_view(const partition_state& cut = {}) const;

private:
  /** Stores a record and notes when the servers of a service changed. */
  void store(const member_record& record, instant now);

  node_id own_id_;                             ///< This node.
  std::map<node_id, member_record> records_;   ///< All records.
  std::map<node_id, unix_ms> tombstone_since_; ///< When each tombstone was stored.
  std::map<node_id, unix_ms> live_since_;      ///< When each live server was first seen so.
  std::map<service_id, std::map<node_id, unix_ms>> stopped_at_; ///< When former servers stopped.
};

} // namespace shallotfield
