// Events that the control state handles and effects that it returns. The control thread performs
// the effects, so the control state itself does no I/O.
#pragma once
#include "connection/connection.h"
#include "process/process.h"
#include "version/version.h"

#include <string>
#include <variant>
#include <vector>

namespace shallotfield {

using link_id = std::uint64_t;        ///< Number of a control link; never reused by a process.
using publish_ticket = std::uint64_t; ///< Number of a publish in progress at this node.

// Events.

/** Periodic event that drives timeouts and scheduled work. */
struct control_tick
{};

/** A control link was opened by this node or accepted from a peer. */
struct link_opened
{
  link_id link = 0;         ///< Number of the link.
  bool is_outgoing = false; ///< Whether this node opened the link.
};

/** A control link was closed by the peer or by an error, or could not be opened. */
struct link_ended
{
  link_id link = 0;                                     ///< Number of the link.
  link_close_reason reason = link_close_reason::closed; ///< Why the link ended.
};

/** A message arrived on a control link. */
struct message_arrived
{
  link_id link = 0;        ///< Link on which it arrived.
  control_message message; ///< Content.
};

/** Purpose of a call to the log service. */
enum class log_purpose
{
  follow,         ///< Read the next records of the configuration stream.
  find_snapshot,  ///< Find the end of the snapshot stream.
  fetch_snapshot, ///< Read the latest snapshots.
  write_snapshot, ///< Append a snapshot.
  publish,        ///< Append a proposal to the configuration stream.
  find_census,    ///< Find the end of the census stream.
  fetch_census,   ///< Read the latest census.
  write_census,   ///< Append a census.
};

inline constexpr enum_table<log_purpose, 8> LOG_PURPOSE_ROWS = { {
  { log_purpose::follow, "follow" },
  { log_purpose::find_snapshot, "find_snapshot" },
  { log_purpose::fetch_snapshot, "fetch_snapshot" },
  { log_purpose::write_snapshot, "write_snapshot" },
  { log_purpose::publish, "publish" },
  { log_purpose::find_census, "find_census" },
  { log_purpose::fetch_census, "fetch_census" },
  { log_purpose::write_census, "write_census" },
} };
static_assert(is_complete(LOG_PURPOSE_ROWS, log_purpose::write_census));

/** Returns the name table of log purposes. */
constexpr const auto&
enum_rows(log_purpose)
{
  return LOG_PURPOSE_ROWS;
}

/** A call to the log service succeeded or failed. */
struct log_call_completed
{
  log_purpose purpose = log_purpose::follow; ///< Purpose of the call.
  publish_ticket publish = 0;                ///< For the purpose `publish`: the publish concerned.
  log_service_result result;                 ///< Response or failure.
};

/** An operator asks to publish a document. */
struct publish_requested
{
  publish_ticket publish = 0; ///< Number that the result is to carry.
  std::string publish_id;     ///< Chosen by the operator's command; a retry has the same id.
  std::string author;         ///< Name of the operator.
  std::optional<std::uint64_t> base_version; ///< Version that was edited; none: the current one.
  nlohmann::json target;                     ///< New document, not yet validated.
};

/**
 * The backend server of this node announced its state, which renews its lease. Announcing the state
 * `none` deregisters the server.
 */
struct server_announced
{
  server_info info; ///< Content of the announcement.
};

/** The node is to leave the fleet. */
struct leave_requested
{
  bool is_drained = false; ///< False: start to drain. True: all open requests are complete.
};

using control_event = std::variant<control_tick,
                                   link_opened,
                                   link_ended,
                                   message_arrived,
                                   log_call_completed,
                                   publish_requested,
                                   server_announced,
                                   leave_requested>;

// Effects.

/** Open a control link. A link_opened or link_ended event follows. */
struct open_link
{
  link_id link = 0; ///< Number of the new link.
  endpoint to;      ///< Address to connect to.
};

/** Close a control link. No link_ended event follows. */
struct close_link
{
  link_id link = 0; ///< Number of the link.
};

/** Send a message on a control link. */
struct send_control
{
  link_id link = 0;            ///< Number of the link.
  control_message message;     ///< Content.
  bool crosses_region = false; ///< Whether the peer is in another region; such traffic is counted.
};

/** Read from a stream of the log service. */
struct read_log
{
  log_purpose purpose = log_purpose::follow;              ///< Returned with the response.
  log_service_stream stream = log_service_stream::config; ///< Stream to read.
  std::uint64_t from = 0;                                 ///< First offset to return.
  std::uint64_t limit = 0;                                ///< Maximum number of records.
  std::int64_t wait_ms = 0; ///< How long the service may wait for a new record before it responds.
};

/** Append a record to a stream of the log service. */
struct append_log
{
  log_purpose purpose = log_purpose::publish; ///< Returned with the response.
  publish_ticket publish = 0;                 ///< For the purpose `publish`: the publish concerned.
  log_service_stream stream = log_service_stream::config; ///< Stream to append to.
  std::string bytes;                                      ///< Encoded record.
};

/** Result of a publish. */
enum class publish_result
{
  accepted,    ///< The document is the new version.
  duplicate,   ///< A publish with the same id already got a verdict, which is returned.
  conflict,    ///< The base version is not the current version.
  invalid,     ///< The document failed validation.
  unknown,     ///< The proposal may be in the log and be accepted later; retry with the same id.
  unavailable, ///< Nothing was written to the log.
};

inline constexpr enum_table<publish_result, 6> PUBLISH_RESULT_ROWS = { {
  { publish_result::accepted, "accepted" },
  { publish_result::duplicate, "duplicate" },
  { publish_result::conflict, "conflict" },
  { publish_result::invalid, "invalid" },
  { publish_result::unknown, "unknown" },
  { publish_result::unavailable, "unavailable" },
} };
static_assert(is_complete(PUBLISH_RESULT_ROWS, publish_result::unavailable));

/** Returns the name table of publish results. */
constexpr const auto&
enum_rows(publish_result)
{
  return PUBLISH_RESULT_ROWS;
}

/** Report the result of a publish to the operator. */
struct send_publish_result
{
  publish_ticket publish = 0;                      ///< Number of the publish.
  publish_result result = publish_result::unknown; ///< Result.
  /** For a duplicate: the verdict on the earlier proposal with the same id. */
  verdict earlier_verdict = verdict::accepted;
  std::uint64_t version = 0; ///< Version in the verdict; without a verdict the current version.
  std::optional<document_error> error; ///< If invalid: the first error found.
  /**
   * For a conflict: the verdicts on the accepted proposals that the node still holds, oldest first.
   * They may include proposals that the base version already contains.
   */
  std::vector<proposal_verdict> since;
};

/** Hand a new version to the traffic threads. */
struct apply_version
{
  compiled_version_ptr version; ///< Version to put in force.
};

/** Hand a new snapshot of the members to the traffic threads. */
struct apply_members
{
  member_view_ptr view; ///< Snapshot of the members.
};

/**
 * Tell the traffic threads until when this node may assume that it is connected to a majority of
 * the fleet. It may run requests with idempotency keys only during this lease.
 */
struct apply_lease
{
  mono_ms until = 0; ///< End of the lease; 0 revokes it.
};

/** Write a line to the log of this process, not to the log service. */
struct write_log_line
{
  log_event event = log_event::started; ///< Event that the line reports.
  std::vector<log_field> fields;        ///< Fields of the line, in order.
};

using control_effect = std::variant<open_link,
                                    close_link,
                                    send_control,
                                    read_log,
                                    append_log,
                                    send_publish_result,
                                    apply_version,
                                    apply_members,
                                    apply_lease,
                                    write_log_line>;

/**
 * Role of a node in the distribution tree, ranked from the members that it knows; see
 * role_policy.h.
 */
enum class node_role
{
  member, ///< Receives the configuration from the relay of its availability zone, or the hub there.
  relay,  ///< Receives it from the hub and passes it on within its availability zone.
  hub,    ///< Reads the log for its region and passes the records on to the relays.
};

inline constexpr enum_table<node_role, 3> NODE_ROLE_ROWS = { {
  { node_role::member, "member" },
  { node_role::relay, "relay" },
  { node_role::hub, "hub" },
} };
static_assert(is_complete(NODE_ROLE_ROWS, node_role::hub));

/** Returns the name table of node roles. */
constexpr const auto&
enum_rows(node_role)
{
  return NODE_ROLE_ROWS;
}

} // namespace shallotfield
