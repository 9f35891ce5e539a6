// Events and effects of the control state.
#pragma once
#include "connection/connection.h"
#include "process/process.h"
#include "version/version.h"

#include <string>
#include <variant>
#include <vector>

namespace shallotfield {

using link_id = std::uint64_t;        ///< Number of a control link; never used again.
using publish_ticket = std::uint64_t; ///< Number of a publish under way at this node.

// Events.

/** Raised at a fixed interval. */
struct control_tick
{};

/** A control link is open. */
struct link_opened
{
  link_id link = 0;         ///< The link.
  bool is_outgoing = false; ///< Whether this node opened it.
};

/** A control link ended, or could not be opened. */
struct link_ended
{
  link_id link = 0;                                  ///< The link.
  link_close_reason why = link_close_reason::closed; ///< How.
};

/** A message arrived. */
struct message_arrived
{
  link_id link = 0;        ///< The link.
  control_message message; ///< The message.
};

/** What a call to the log service is for. */
enum class log_purpose
{
  follow,         ///< Reading on in the configuration stream.
  find_snapshot,  ///< Learning where the stream of snapshots ends.
  fetch_snapshot, ///< Reading the latest snapshots.
  write_snapshot, ///< Appending a snapshot.
  publish,        ///< Appending a proposal.
  find_census,    ///< Learning where the stream of censuses ends.
  fetch_census,   ///< Reading the latest census.
  write_census,   ///< Appending a census.
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

/** @return The name table of purposes. */
constexpr const auto&
enum_rows(log_purpose)
{
  return LOG_PURPOSE_ROWS;
}

/** A call to the log service ended. */
struct log_call_completed
{
  log_purpose purpose = log_purpose::follow; ///< What it was for.
  publish_ticket publish = 0;                ///< With publish: which one.
  log_service_result answer;                 ///< What came back.
};

/** An operator publishes a document. */
struct publish_requested
{
  publish_ticket publish = 0;                ///< Number of the publish.
  std::string publish_id;                    ///< Chosen by the operator's command.
  std::string author;                        ///< Who publishes.
  std::optional<std::uint64_t> base_version; ///< Version that it is based on.
  nlohmann::json target;                     ///< The new document.
};

/** The backend server beside the node said what it is, or ended its lease. */
struct server_announced
{
  server_info info; ///< What it says.
};

/** The node is to leave. */
struct leave_requested
{
  bool is_done = false; ///< Whether no request is open any more.
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

/** Open a control link. */
struct open_link
{
  link_id link = 0; ///< Its number.
  endpoint to;      ///< Where to.
};

/** Close a control link; no link_ended follows. */
struct close_link
{
  link_id link = 0; ///< The link.
};

/** Send a message. */
struct send_control
{
  link_id link = 0;            ///< The link.
  control_message message;     ///< The message.
  bool crosses_region = false; ///< Whether it goes to another region.
};

/** Read from the log. */
struct read_log
{
  log_purpose purpose = log_purpose::follow;              ///< What for.
  log_service_stream stream = log_service_stream::config; ///< The stream.
  std::uint64_t from = 0;                                 ///< First offset wanted.
  std::uint64_t limit = 0;                                ///< Most records wanted.
  std::int64_t wait_ms = 0; ///< How long the service may hold the call.
};

/** Append to the log. */
struct append_log
{
  log_purpose purpose = log_purpose::publish;             ///< What for.
  publish_ticket publish = 0;                             ///< With publish: which one.
  log_service_stream stream = log_service_stream::config; ///< The stream.
  std::string bytes;                                      ///< The record.
};

/** How a publish ended. */
enum class publish_result
{
  accepted,    ///< It made a new version.
  duplicate,   ///< Its id was judged before; that judgement is given.
  conflict,    ///< The current version is another than the one that it is based on.
  invalid,     ///< The document is invalid.
  unknown,     ///< It may be accepted later; ask again with the same id.
  unavailable, ///< Nothing was written.
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

/** @return The name table of publish results. */
constexpr const auto&
enum_rows(publish_result)
{
  return PUBLISH_RESULT_ROWS;
}

/** Tell an operator how a publish ended. */
struct send_publish_result
{
  publish_ticket publish = 0;                      ///< Which one.
  publish_result result = publish_result::unknown; ///< How it ended.
  verdict earlier_verdict = verdict::accepted;     ///< With duplicate: the verdict then.
  std::uint64_t version = 0;                       ///< Version that it made, or the current one.
  std::optional<document_error> error;             ///< With invalid: why.
  std::vector<proposal_verdict> since;             ///< With conflict: what changed meanwhile.
};

/** Hand a version to the traffic threads. */
struct apply_version
{
  compiled_version_ptr version; ///< The version.
};

/** Hand the members to the traffic threads. */
struct apply_members
{
  member_view_ptr view; ///< The members.
};

/** Tell the traffic threads how long the node counts as in touch with the fleet. */
struct apply_lease
{
  mono_ms until = 0; ///< End of the lease.
};

/** Write a log line. */
struct write_log_line
{
  log_event event = log_event::started; ///< Kind.
  std::vector<log_field> fields;        ///< Fields.
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

/** The duties of a node, as ranked from the members that it sees. */
enum class node_role
{
  member, ///< Takes configuration from its zone's relay.
  relay,  ///< Passes configuration on within its zone.
  hub,    ///< Reads the log for its region and passes on to the relays.
};

inline constexpr enum_table<node_role, 3> NODE_ROLE_ROWS = { {
  { node_role::member, "member" },
  { node_role::relay, "relay" },
  { node_role::hub, "hub" },
} };
static_assert(is_complete(NODE_ROLE_ROWS, node_role::hub));

/** @return The name table of roles. */
constexpr const auto&
enum_rows(node_role)
{
  return NODE_ROLE_ROWS;
}

} // namespace shallotfield
