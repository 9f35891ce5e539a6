// The control state of a node: its links and role in the distribution tree, the members of the
// fleet, the configuration, and the pending calls to the log service. It handles events and returns
// effects; it uses no sockets and reads no clock, so that tests can run whole fleets in memory.
#pragma once
#include "control_type.h"
#include "role_policy.h"

#include <deque>
#include <set>

namespace shallotfield {

/**
 * Number of recent log records retained to bring a peer that lags up to date without a snapshot.
 */
inline constexpr std::size_t RECENT_ENTRIES_MAX = 64;

/**
 * Maximum number of snapshots sent per tick, and of peers to which one call of
 * send_member_updates() sends all member records. When many nodes join at once, they are served
 * over several ticks.
 */
inline constexpr std::size_t FULL_TRANSFERS_PER_TICK = 4;

/** A publish whose result is still open. */
struct pending_publish
{
  std::string publish_id;      ///< Chosen by the operator's command.
  std::string bytes;           ///< Encoded proposal.
  mono_ms deadline = 0;        ///< Time by which the operator gets a result.
  mono_ms next_try_at = 0;     ///< Earliest time of the next append.
  bool is_appending = false;   ///< An append is in progress.
  bool is_appended = false;    ///< The log service confirmed an append.
  bool may_be_written = false; ///< Some append took effect or may have done so.
};

/** A control link to a peer. */
struct peer_link
{
  bool is_outgoing = false; ///< Opened by this node.
  bool is_open = false;     ///< The connection is established.
  bool is_seed = false;     ///< Opened to a seed address from the settings.
  node_id target; ///< Peer that the link was opened to; empty for seeds and for accepted links.
  std::optional<member_record> peer; ///< Record from the peer's hello message; none before it.
  mono_ms last_received_at = 0;      ///< When the latest message arrived.
  bool is_subscribed = false;        ///< The peer receives its configuration from this node.
  bool needs_snapshot = false;       ///< A snapshot is to be sent to the peer.
  bool are_members_known = false;    ///< This node holds all member records that the peer has.
  bool needs_members = false;        ///< All member records are to be sent to the peer.
  std::uint64_t sent_offset = 0;     ///< Last log record that the peer holds or was sent.
  /** Number of successive heartbeats that showed more applied log records than this node has. */
  std::uint64_t consecutive_ahead_heartbeats = 0;
  /** Number of successive heartbeats that showed other member records than this node has. */
  std::uint64_t consecutive_mismatched_heartbeats = 0;
  version_summary subtree_versions; ///< Versions in force at the peer and in its subtree.
  std::set<node_id> unsent_members; ///< Members whose records changed and have not been sent yet.
};

/** State of reading the configuration stream from the log service. */
struct log_state
{
  bool is_reading = false;  ///< A read is in progress.
  bool is_reachable = true; ///< The latest read succeeded.
  bool has_gap = false;     ///< The log no longer holds the next record, so a snapshot is needed.
  bool is_behind = false;   ///< The log is behind: it lacks the last record that this node applied.
  mono_ms next_read_at = 0; ///< Earliest time of the next read.
  mono_ms backoff_ms = 0;   ///< Delay after the latest failure; doubles with each one.
  mono_ms failing_since = 0; ///< Time of the first of the failures.
};

/** State of writing snapshots to the log service. */
struct snapshot_state
{
  bool is_writer = false;   ///< It is up to this node to write snapshots.
  bool is_writing = false;  ///< An append is in progress.
  std::uint64_t offset = 0; ///< Last record that the latest snapshot covers; 0 after a failure.
  mono_ms due_at = 0;       ///< When the next snapshot is due.
};

/** The control state of one node. It is used by the control thread only. */
class control
{
public:
  /**
   * Starts with an empty configuration and without links. `own` is the record of this node with its
   * addresses, `now` the start of the process.
   */
  control(settings options, const member_record& own, instant now);

  /** Handles an event. Returns the effects, which have to be performed in order. */
  std::vector<control_effect> handle(const control_event& event, instant now);

  /** The configuration that results from the log records applied so far. */
  const replicated_config& config() const { return config_; }

  /** The member records that this node holds. */
  const membership& members() const { return members_; }

  /** Role of this node and the peers that it links to. */
  const role_plan& plan() const { return plan_; }

  /** How many nodes of the fleet have which version in force, as far as reported to this node. */
  const version_summary& fleet() const { return fleet_versions_; }

  /** State of reading from the log service. */
  const log_state& log() const { return log_; }

  /** Whether reading stopped at a record whose format is newer than this build. */
  bool is_halted() const { return is_halted_; }

  /** When the version in force took effect on this node. */
  unix_ms in_force_since() const { return in_force_since_; }

  /** End of the lease during which this node may assume that it is connected to a majority. */
  mono_ms lease_until() const { return lease_until_; }

  /** Other regions that have running nodes but to which this node has no live link. */
  std::set<std::string> unreachable_regions() const;

private:
  using links = std::map<link_id, peer_link>;

  // control.cpp: ticks, publishing, the backend server of this node, and leaving the fleet.
  void on(const control_tick& event);
  void on(const publish_requested& event);
  void on(const server_announced& event);
  void on(const leave_requested& event);
  /** After a pause of the process: revokes the lease, and restarts timers of links and members. */
  void detect_pause();
  /** Publishes the latest announcement of the backend server in the record of this node. */
  void update_own_server();
  /** Completes publishes that have a verdict or timed out, and starts the appends that are due. */
  void advance_publishes();
  void finish_publish(publish_ticket ticket,
                      publish_result result,
                      const proposal_verdict* decided);

  // control_config.cpp: reading the log, applying its records, and passing them on to peers.
  void on(const log_call_completed& event);
  void on_records_read(const log_service_result& result);
  void on_snapshot_found(const log_service_result& result);
  void on_snapshot_fetched(const log_service_result& result);
  void on_snapshot_written(const log_service_result& result);
  void on_proposal_appended(publish_ticket ticket, const log_service_result& result);
  void on_message(link_id link, const subscribe_message& message);
  void on_message(link_id link, const entries_message& message);
  void on_message(link_id link, const snapshot_message& message);
  /**
   * Applies a record. Returns false if neither it nor later ones can be applied now. `source` is
   * the id of the peer that sent it, or "log"; it appears in log lines.
   */
  bool apply_record(std::uint64_t offset,
                    const std::string& bytes,
                    const std::optional<std::string>& chain,
                    std::string_view source);
  /** Returns whether the snapshot replaced the configuration. */
  bool adopt_snapshot(const std::string& bytes, std::string_view source);
  /** Hands the version of the configuration to the traffic threads if they don't have it yet, which
   * puts it in force. */
  void emit_new_version();
  void on_log_success();
  void on_log_failure(log_service_fault fault);
  /** Starts the next read of the log if this node reads it and the read is due. */
  void start_log_read();
  /** Appends a snapshot to the log if this node writes them and one is due. */
  void start_snapshot_write();
  /** Sends subscribed peers the records or the snapshot that they lack. */
  void send_config_updates();
  void send_snapshot(link_id id, peer_link& link);
  /**
   * Requests from a peer the records after the last one applied here, or a snapshot. With `follows`
   * the peer sends later records too.
   */
  void subscribe_to(link_id id, bool follows, bool wants_snapshot);

  // control_links.cpp: links, the position in the distribution tree, and joining the fleet.
  void on(const link_opened& event);
  void on(const link_ended& event);
  void on(const message_arrived& event);
  void on_message(link_id link, const hello_message& message);
  void on_message(link_id link, const goodbye_message& message);
  /** Determines role and parent anew, and opens and closes links accordingly. */
  void replan();
  /** Connects to one seed after the other until member records arrive or the time is up. */
  void join();
  /** Connects to a seed that is no known member, to find nodes that started separately. */
  void probe_seeds();
  /** Whether it is up to the hub of another region to open the link to this node. */
  bool is_opened_by_peer(const node_id& id) const;
  /**
   * Whether this node also has a link that the peer opened, and the peer's region sorts later. That
   * link then replaces this one.
   */
  bool has_incoming_duplicate(link_id id, const member_record& peer) const;
  /** Nodes that this node can't connect to at present; they are not considered for any role. */
  std::set<node_id> unreachable_nodes() const;
  void open_outgoing(const endpoint& to, const node_id& target, bool is_seed);
  /** Closes a link on purpose; the peer is not considered failed. */
  void drop_link(link_id id, bool sends_goodbye);
  /** Handles the end of a link that this node didn't close on purpose. */
  void on_link_lost(link_id id, link_close_reason reason);
  /** Closes links on which no message arrived for gone_after_ms. */
  void close_silent_links();
  /** Finds the link to the parent, and subscribes to the parent if the link changed. */
  void update_parent();
  /** Finds the link to a peer, which may not be established yet. */
  std::optional<link_id> find_link(const node_id& peer) const;
  bool is_parent(link_id id) const { return parent_link_ == id; }

  // control_members.cpp: propagation of member records, and detection of dead members.
  void on_message(link_id link, const members_message& message);
  /** Queues a changed record for all links but the one that it came from. */
  void propagate(const std::optional<member_record>& record, std::optional<link_id> source);
  void send_member_updates();
  void send_all_members(link_id id, peer_link& link);
  /** Declares members dead whose link has been missing for gone_after_ms. */
  void expire_missing_members();
  /** Starts the timers of members that a hub or relay should have a link to. */
  void check_expected_links();
  /** Starts the time after which a member is declared dead, unless it has a link. */
  void start_missing_timer(const node_id& id);

  // control_heartbeats.cpp: heartbeats, versions in force over the fleet, and network partitions.
  void on_message(link_id link, const heartbeat_message& message);
  void on_message(link_id link, const fleet_message& message);
  void send_heartbeats();
  void respond_to_heartbeat(link_id id, const heartbeat_message& message);
  heartbeat_message make_heartbeat() const;
  /** Whether the peer takes configuration from this node and reports to it. */
  bool is_child(link_id id, const peer_link& link) const;
  /** Whether a message arrived on the link within the last 2.5 heartbeat intervals. */
  bool is_live_link(const peer_link& link) const;
  /** Counts the versions in force at this node and at the nodes of its region that report to it. */
  version_summary summarise_subtree() const;
  /**
   * Sends the children the versions in force over the fleet if they changed. A hub first adds them
   * up over all regions.
   */
  void update_fleet_versions();
  /** Records the start or the end of a network partition between regions. */
  void set_partitioned(bool is_partitioned);

  // control_census.cpp: the census and the majority lease that depends on it.
  /** For a hub: reads the census once, and writes a new one when the members changed. */
  void maintain_census();
  void on_census(log_purpose purpose, const log_service_result& result);
  void on_message(link_id link, const census_message& message);
  /** Adopts a census if it is newer, and passes it on to all peers but the one that sent it. */
  void adopt_census(const census& found, std::optional<link_id> source);
  /** Makes a census of the members without a tombstone. */
  census make_census() const;
  /** Extends the lease if a majority of the expected nodes was reported recently. */
  void update_lease();
  void extend_lease(mono_ms until);
  /** Whether a node has a tombstone so old that all keys from the time before it have expired. */
  bool is_past_key_window(const node_id& id) const;
  /**
   * Counts the nodes of the given regions that may still run requests with idempotency keys. These
   * are the members, without those that left or are past the key window, and the nodes of the
   * census that have no member record.
   */
  std::uint64_t count_expected(const std::set<std::string>& regions) const;
  /**
   * Counts the nodes in a list that are members without a tombstone. They need neither a live link
   * nor a live server.
   */
  std::uint64_t count_live(const std::vector<node_id>& ids) const;
  /**
   * Whether more than half of the census nodes of the given regions together, and at least half of
   * those of each other region, are members without a tombstone.
   */
  bool has_census_majority(const std::set<std::string>& regions) const;
  /** Whether the name of this node's region sorts first among the regions. */
  bool is_first_region() const;

  void add(control_effect effect) { effects_.push_back(std::move(effect)); }
  void emit_log_line(log_event event, std::vector<log_field> fields);
  void send(link_id link, control_message message);

  settings options_;                   ///< Settings of this node.
  node_id self_;                       ///< Id of this node.
  instant now_;                        ///< Time of the event being handled.
  instant started_;                    ///< Start of the process.
  membership members_;                 ///< Member records.
  replicated_config config_;           ///< Configuration that results from the log.
  role_plan plan_;                     ///< Role of this node and the peers that it links to.
  links links_;                        ///< Control links by number.
  link_id next_link_ = 1;              ///< Number of the next outgoing link.
  std::optional<link_id> parent_link_; ///< Link to the parent, once its hello message arrived.
  bool had_parent_ = false;            ///< Whether this node ever had a parent.
  std::map<node_id, mono_ms> unreachable_until_; ///< Nodes not to connect to before that time.
  std::map<node_id, mono_ms> missing_since_;     ///< Members whose link is missing, and since when.
  bool is_joined_ = false;                       ///< Whether joining is complete.
  std::size_t next_seed_index_ = 0;              ///< Index of the seed to connect to next.
  mono_ms next_seed_at_ = 0;                     ///< Earliest time to connect to it.
  mono_ms role_since_ = 0;       ///< When role or parent last changed, or the process resumed.
  mono_ms parentless_since_ = 0; ///< Since when the link to the parent is missing; 0: it is not.
  std::deque<config_entry> recent_entries_; ///< Latest log records, for peers that lag.
  log_state log_;                           ///< State of reading the log.
  snapshot_state snapshots_;                ///< State of writing snapshots.
  bool is_halted_ = false;                  ///< Reading stopped at a record in a newer format.
  std::uint64_t applied_version_ = 0;       ///< Version last handed to the traffic threads.
  unix_ms in_force_since_ = 0;              ///< When that version was handed over.
  bool was_server_blocked_ = false; ///< Whether that version blocks the server of this node.
  /** Number of snapshots that may still be sent before the next tick. */
  std::size_t snapshots_left_in_tick_ = FULL_TRANSFERS_PER_TICK;
  std::map<publish_ticket, pending_publish> publishes_; ///< Publishes whose result is open.
  std::optional<census> census_;     ///< Latest census; none until it was read or received.
  census pending_census_;            ///< Census whose append is in progress.
  bool has_census_call_ = false;     ///< A call to the log service about the census is in progress.
  mono_ms next_census_at_ = 0;       ///< Earliest time of the next check or call.
  mono_ms census_differs_since_ = 0; ///< Since when members differ from census_; 0: they don't.
  version_summary fleet_versions_;   ///< Versions in force over the fleet.
  version_summary sent_fleet_versions_; ///< The same, as last sent to children.
  bool is_partitioned_ = false;         ///< Whether some region is unreachable.
  /** Lower bound for the start of the latest partition; INT64_MAX: there was none. */
  unix_ms earliest_partition_start_ = INT64_MAX;
  unix_ms healed_at_ = 0;          ///< End of the latest partition; 0: none ended.
  mono_ms lease_until_ = 0;        ///< End of the majority lease.
  server_info announced_server_;   ///< Latest announcement of the backend server.
  mono_ms server_lease_until_ = 0; ///< When that announcement expires unless it is renewed.
  mono_ms last_event_at_ = 0;      ///< Time of the latest event.
  mono_ms next_heartbeat_at_ = 0;  ///< When the next heartbeats are due.
  bool view_changed_ = true; ///< Whether the traffic threads need a new snapshot of the members.
  std::vector<control_effect> effects_; ///< Effects that handle() will return.
};

/** Adds the counts and lagging nodes of `from` to `into`, within the size limit of a summary. */
void
merge_summary(version_summary& into, const version_summary& from);

/** Returns the number of nodes that a summary counts. */
std::uint64_t
count_nodes(const version_summary& summary);

} // namespace shallotfield
