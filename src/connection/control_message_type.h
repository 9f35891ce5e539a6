// Messages on control links.
#pragma once
#include "version/version.h"

#include <string>
#include <variant>
#include <vector>

namespace shallotfield {

/** Version of the protocols between nodes. Peers with another one are refused. */
inline constexpr std::uint64_t PROTOCOL_VERSION = 1;

/** The kind of a control message; its name is the `kind` in the head. */
enum class control_kind
{
  hello,     ///< Who the sender is; the first message in each direction.
  subscribe, ///< Asks for configuration from an offset on.
  entries,   ///< Records of the log, in order.
  snapshot,  ///< A snapshot.
  members,   ///< Member records that changed, or all of them.
  heartbeat, ///< The sender is alive; what it and those below it have in force.
  fleet,     ///< What the whole fleet has in force.
  goodbye,   ///< The sender closes the link on purpose and is not gone.
  census,    ///< The nodes that make up the fleet.
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

/** @return The name table of control message kinds. */
constexpr const auto&
enum_rows(control_kind)
{
  return CONTROL_KIND_ROWS;
}

/** How many nodes have one version in force. */
struct version_count
{
  std::uint64_t version = 0; ///< The version.
  std::uint64_t nodes = 0;   ///< Nodes that said so last.
  bool operator==(const version_count&) const = default;
};

/** What a set of nodes has in force. */
struct version_summary
{
  std::vector<version_count> counts; ///< By version, newest first; bounded.
  std::vector<node_id> lagging;      ///< Some nodes that are behind the newest; bounded.
  bool operator==(const version_summary&) const = default;
};

/** First message in each direction. */
struct hello_message
{
  std::uint64_t protocol = PROTOCOL_VERSION; ///< Protocol that the sender speaks.
  member_record sender;                      ///< The sender's own record.
  std::uint64_t members_digest = 0;          ///< Digest of the records that the sender holds.
  bool operator==(const hello_message&) const = default;
};

/** Asks for configuration after an offset. */
struct subscribe_message
{
  std::uint64_t offset = 0; ///< Last record that the sender folded in.
  std::string chain;        ///< Its chained digest there; empty: a snapshot is wanted.
  bool follows = false;     ///< Whether later records are to be passed on too.
  bool operator==(const subscribe_message&) const = default;
};

/** One record of the log, as passed on. */
struct config_entry
{
  std::uint64_t offset = 0; ///< Its offset.
  std::string bytes;        ///< Its content.
  std::string chain;        ///< Chained digest after it.
  bool operator==(const config_entry&) const = default;
};

/** Records of the log. */
struct entries_message
{
  std::vector<config_entry> entries; ///< In order, without gaps.
  bool operator==(const entries_message&) const = default;
};

/** A snapshot, as text of a snapshot record. */
struct snapshot_message
{
  std::string bytes; ///< The record.
  bool operator==(const snapshot_message&) const = default;
};

/** Member records. */
struct members_message
{
  std::vector<member_record> records; ///< Records; a missing one means nothing.
  bool is_full_set = false;           ///< These are all records that the sender holds.
  bool wants_full_set = false;        ///< Asks the receiver for all of its records.
  bool operator==(const members_message&) const = default;
};

/** Sent at a fixed interval to the parent and between hubs; a parent sends its own in answer. */
struct heartbeat_message
{
  std::uint64_t offset = 0;         ///< Last record that the sender folded in.
  std::uint64_t members_digest = 0; ///< Digest of the records that the sender holds.
  std::int64_t stamp = 0;           ///< The sender's own clock, for the receiver to give back.
  std::int64_t echo = 0;            ///< In an answer: the stamp that it answers.
  std::int64_t lease_ms = 0;   ///< In an answer: how long after that stamp its sender may count
                               ///< itself in touch with the fleet; 0: not.
  bool is_partitioned = false; ///< In an answer: some region can\'t be reached.
  version_summary subtree_versions; ///< The sender and the nodes that report to it.
  bool operator==(const heartbeat_message&) const = default;
};

/** Sent down the tree when it changes. */
struct fleet_message
{
  version_summary fleet; ///< All nodes that are heard of.
  bool operator==(const fleet_message&) const = default;
};

/** Last message before a link is closed on purpose. */
struct goodbye_message
{
  bool operator==(const goodbye_message&) const = default;
};

/** The census, when it changes and when a link opens. */
struct census_message
{
  census found; ///< The census.
  bool operator==(const census_message&) const = default;
};

/** Any control message; the alternatives stand in the order of control_kind. */
using control_message = std::variant<hello_message,
                                     subscribe_message,
                                     entries_message,
                                     snapshot_message,
                                     members_message,
                                     heartbeat_message,
                                     fleet_message,
                                     goodbye_message,
                                     census_message>;

/** @param message Any control message. @return Its kind. */
inline control_kind
kind_of(const control_message& message)
{
  return static_cast<control_kind>(message.index());
}

} // namespace shallotfield
