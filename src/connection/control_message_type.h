// Messages on control links, by which nodes exchange configuration and membership.
#pragma once
#include "version/version.h"

#include <string>
#include <variant>
#include <vector>

namespace shallotfield {

/** Version of the protocols between nodes. Peers with another version are rejected. */
inline constexpr std::uint64_t PROTOCOL_VERSION = 1;

/** Type of a control message. Its name is the `kind` in the head of the frame. */
enum class control_kind
{
  hello,     ///< Identifies the sender; first message in each direction.
  subscribe, ///< Requests the configuration records after an offset.
  entries,   ///< Records of the configuration log, in order.
  snapshot,  ///< Snapshot of the configuration.
  members,   ///< Member records: the changed ones, or all of them.
  heartbeat, ///< Shows that the sender is alive, and reports the versions in force in its subtree.
  fleet,     ///< Versions in force in the whole fleet.
  goodbye,   ///< The sender closes the link deliberately; the sender has not failed.
  census,    ///< List of the nodes that make up the fleet, as stored in the log.
};

inline constexpr enum_table<control_kind, 9> CONTROL_KIND_ROWS = { {
  { control_kind::hello, "hello" },
  { control_kind::subscribe, "subscribe" },
  { control_kind::entries, "entries" },
  { control_kind::snapshot, "whole" },
  { control_kind::members, "members" },
  { control_kind::heartbeat, "heartbeat" },
  { control_kind::fleet, "fleet" },
  { control_kind::goodbye, "goodbye" },
  { control_kind::census, "census" },
} };
static_assert(is_complete(CONTROL_KIND_ROWS, control_kind::census));

/** Returns the name table of control message types. */
constexpr const auto&
enum_rows(control_kind)
{
  return CONTROL_KIND_ROWS;
}

/** Number of nodes that have a version in force. */
struct version_count
{
  std::uint64_t version = 0;
  std::uint64_t nodes = 0; ///< Nodes whose latest report names this version.
  bool operator==(const version_count&) const = default;
};

/** Versions in force in a set of nodes. */
struct version_summary
{
  std::vector<version_count> counts; ///< By version, newest first; limited in length.
  /** Some of the nodes that are behind the newest version; limited in length. */
  std::vector<node_id> lagging;
  bool operator==(const version_summary&) const = default;
};

/** Identifies the sender; first message in each direction. */
struct hello_message
{
  std::uint64_t protocol = PROTOCOL_VERSION; ///< Protocol version of the sender.
  member_record sender;                      ///< The sender's own member record.
  std::uint64_t members_digest = 0;          ///< Digest of all member records at the sender.
  bool operator==(const hello_message&) const = default;
};

/** Requests the configuration records after an offset. */
struct subscribe_message
{
  std::uint64_t offset = 0; ///< Last record that the sender has applied.
  /** The sender's chained digest up to that offset; empty: requests a snapshot. */
  std::string chain;
  bool follows = false; ///< Whether to send later records too, as they appear.
  bool operator==(const subscribe_message&) const = default;
};

/** A record of the configuration log. */
struct config_entry
{
  std::uint64_t offset = 0;
  std::string bytes; ///< Content of the record.
  std::string chain; ///< Chained digest up to and including this record.
  bool operator==(const config_entry&) const = default;
};

/** Records of the configuration log. */
struct entries_message
{
  std::vector<config_entry> entries; ///< In order, without gaps.
  bool operator==(const entries_message&) const = default;
};

/** Snapshot of the configuration. */
struct snapshot_message
{
  std::string bytes; ///< The snapshot as encoded by encode_snapshot().
  bool operator==(const snapshot_message&) const = default;
};

/** Member records: the changed ones, or all of them. */
struct members_message
{
  std::vector<member_record> records; ///< A node that is missing here is not implied to be gone.
  bool is_full_set = false;           ///< These are all records that the sender holds.
  bool wants_full_set = false;        ///< Asks the receiver to send all of its records.
  bool operator==(const members_message&) const = default;
};

/**
 * Sent periodically by each node to its parent in the distribution tree, and by the hubs, which
 * have no parent, to each other. Only a parent responds, with a heartbeat of its own in which
 * `echo` is set; hubs don't respond to each other.
 */
struct heartbeat_message
{
  std::uint64_t offset = 0;         ///< Last configuration record that the sender has applied.
  std::uint64_t members_digest = 0; ///< Digest of all member records at the sender.
  std::int64_t stamp = 0; ///< Monotonic clock of the sender in ms; the receiver returns it.
  std::int64_t echo = 0;  ///< In a response: the stamp of the heartbeat that it responds to.
  /**
   * In a response: how long the child that receives it may consider itself connected to the fleet;
   * 0: not at all. The time runs from `echo`, which is the stamp that the child set in its own
   * heartbeat, on the child's clock.
   */
  std::int64_t lease_ms = 0;
  bool is_partitioned = false; ///< In a response: some region is unreachable.
  /** Versions in force at the sender and at the nodes that report to it. */
  version_summary subtree_versions;
  bool operator==(const heartbeat_message&) const = default;
};

/** Versions in force in the whole fleet. Sent by a parent to its children when they change. */
struct fleet_message
{
  version_summary fleet; ///< All nodes that report their version.
  bool operator==(const fleet_message&) const = default;
};

/**
 * Last message before the sender closes a link deliberately, so that the receiver does not consider
 * the sender failed.
 */
struct goodbye_message
{
  bool operator==(const goodbye_message&) const = default;
};

/**
 * List of the nodes that make up the fleet, as stored in the log; member records instead give the
 * state of each node. Sent when the census changes and when a link opens.
 */
struct census_message
{
  census latest_census; ///< The latest census that the sender has.
  bool operator==(const census_message&) const = default;
};

/** Any control message. The alternatives are in the order of control_kind. */
using control_message = std::variant<hello_message,
                                     subscribe_message,
                                     entries_message,
                                     snapshot_message,
                                     members_message,
                                     heartbeat_message,
                                     fleet_message,
                                     goodbye_message,
                                     census_message>;

/** Returns the type of a message, which is the position of its alternative in the variant. */
inline control_kind
kind_of(const control_message& message)
{
  return static_cast<control_kind>(message.index());
}

} // namespace shallotfield
