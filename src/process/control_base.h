// The control state of a node: its place in the distribution tree, the members, the configuration
// and what is under way with the log service. Events in, effects out; no sockets and no clock.
#pragma once
#include "control_type.h"
#include "role_policy.h"

#include <deque>
#include <set>

namespace shallotfield {

/** Most records of the log that are kept to bring peers up to date without a snapshot. */
inline constexpr std::size_t RECENT_ENTRIES_MAX = 64;

/** Snapshots, and lists of all members, sent in one tick; a herd of joiners is served in turn. */
inline constexpr std::size_t FULL_TRANSFERS_PER_TICK = 4;

/** A publish under way. */
struct pending_publish
{
  std::string publish_id;      ///< Chosen by the operator's command.
  std::string bytes;           ///< The record.
  mono_ms deadline = 0;        ///< When the operator gets an answer at the latest.
  mono_ms next_try_at = 0;     ///< When to append again, if nothing is under way.
  bool is_appending = false;   ///< An append is under way.
  bool is_appended = false;    ///< The log confirmed the record.
  bool may_be_written = false; ///< Some append may have taken effect.
};

/** One control link. */
struct peer_link
{
  bool is_outgoing = false;          ///< Opened by this node.
  bool is_open = false;              ///< The connection is open.
  bool is_seed = false;              ///< Opened to a seed from the settings.
  node_id target;                    ///< Peer that it was opened to; empty for seeds.
  std::optional<member_record> peer; ///< Who is at the other end, after its hello.
  mono_ms last_received_at = 0;      ///< When the latest message arrived.
  bool is_subscribed = false;        ///< The peer takes configuration from here.
  bool needs_snapshot = false;       ///< The peer waits for a snapshot.
  bool has_all_members = false;      ///< The peer sent all member records, or holds the same.
  bool needs_members = false;        ///< The peer waits for all member records.
  std::uint64_t sent_offset = 0;     ///< Last record that was sent to the peer, or that it has.
  std::uint64_t consecutive_ahead_heartbeats =
    0; ///< Heartbeats in a row in which the peer was ahead.
  std::uint64_t consecutive_mismatched_heartbeats = 0; ///< The same, with other member records.
  version_summary subtree_versions; ///< What the peer and those below it have in force.
  std::set<node_id> unsent_members; ///< Member records to send at the next flush.
};

/** State of the calls to the log service. */
struct log_state
{
  bool is_reading = false;   ///< A read is under way.
  bool is_reachable = true;  ///< The latest call succeeded.
  bool has_gap = false;      ///< The next record is no longer held.
  bool is_behind = false;    ///< The log holds fewer records than are folded in.
  mono_ms next_read_at = 0;  ///< When to read again.
  mono_ms backoff_ms = 0;    ///< Pause after the latest failure.
  mono_ms failing_since = 0; ///< When the calls began to fail.
};

/** State of writing snapshots. */
struct snapshot_state
{
  bool is_writer = false;   ///< This node writes snapshots.
  bool is_writing = false;  ///< An append is under way.
  std::uint64_t offset = 0; ///< Record that the latest one covers.
  mono_ms due_at = 0;       ///< When the next one is due.
};

/** The control state of one node. */
class control
{
public:
  /**
   * @param options Settings.
   * @param own This node's record, with its addresses.
   * @param now Start of the process.
   */
  control(settings options, const member_record& own, instant now);

  /**
   * Takes an event.
   * @param event The event.
   * @param now Current time.
   * @return What to do, in order.
   */
  std::vector<control_effect> handle(const control_event& event, instant now);

  /** @return The configuration. */
  const replicated_config& config() const { return config_; }

  /** @return The members. */
  const membership& members() const { return members_; }

  /** @return This node's duties. */
  const role_plan& plan() const { return plan_; }

  /** @return What the fleet has in force, as far as this node heard. */
  const version_summary& fleet() const { return fleet_versions_; }

  /** @return State of the log service. */
  const log_state& log() const { return log_; }

  /** @return Whether reading stopped at a record in a newer format. */
  bool is_halted() const { return is_halted_; }

  /** @return When the version in force took effect here, Unix ms. */
  unix_ms in_force_since() const { return in_force_since_; }

  /** @return End of the lease that says the node is in touch with the fleet. */
  mono_ms lease_until() const { return lease_until_; }

  /** @return Regions that no link leads to. */
  std::set<std::string> unreachable_regions() const;

private:
  using links = std::map<link_id, peer_link>;

  // control.cpp: ticks, publishing and leaving.
  void on(const control_tick& event);
  void on(const publish_requested& event);
  void on(const server_announced& event);
  void on(const leave_requested& event);
  void detect_pause();
  void update_own_server();
  void advance_publishes();
  void finish_publish(publish_ticket ticket,
                      publish_result result,
                      const proposal_verdict* decided);

  // control_config.cpp: the log, the ledger and passing configuration on.
  void on(const log_call_completed& event);
  void on_records_read(const log_service_result& answer);
  void on_snapshot_found(const log_service_result& answer);
  void on_snapshot_fetched(const log_service_result& answer);
  void on_snapshot_written(const log_service_result& answer);
  void on_proposal_appended(publish_ticket ticket, const log_service_result& answer);
  void on_message(link_id link, const subscribe_message& message);
  void on_message(link_id link, const entries_message& message);
  void on_message(link_id link, const snapshot_message& message);
  bool apply_record(std::uint64_t offset,
                    const std::string& bytes,
                    const std::optional<std::string>& chain,
                    std::string_view source);
  bool adopt_snapshot(const std::string& bytes, std::string_view source);
  void emit_new_version();
  void on_log_success();
  void on_log_failure(log_service_fault fault);
  void start_log_read();
  void start_snapshot_write();
  void send_config_updates();
  void send_snapshot(link_id id, peer_link& link);
  void subscribe_to(link_id id, bool follows, bool wants_snapshot);

  // control_links.cpp: links, the place in the tree, and joining.
  void on(const link_opened& event);
  void on(const link_ended& event);
  void on(const message_arrived& event);
  void on_message(link_id link, const hello_message& message);
  void on_message(link_id link, const goodbye_message& message);
  void replan();
  void join();
  void probe_seeds();
  bool is_opened_by_peer(const node_id& id) const;
  bool has_incoming_duplicate(link_id id, const member_record& peer) const;
  std::set<node_id> unreachable_nodes() const;
  void open_outgoing(const endpoint& to, const node_id& target, bool is_seed);
  void drop_link(link_id id, bool sends_goodbye);
  void on_link_lost(link_id id, link_close_reason why);
  void close_silent_links();
  void update_parent();
  std::optional<link_id> find_link(const node_id& peer) const;
  bool is_parent(link_id id) const { return parent_link_ == id; }

  // control_members.cpp: member records, and which members are gone.
  void on_message(link_id link, const members_message& message);
  void spread(const std::optional<member_record>& record, std::optional<link_id> source);
  void send_member_updates();
  void send_all_members(link_id id, peer_link& link);
  void expire_missing_members();
  void check_expected_links();
  void start_missing_timer(const node_id& id);

  // control_heartbeats.cpp: heartbeats, and what the fleet has in force.
  void on_message(link_id link, const heartbeat_message& message);
  void on_message(link_id link, const fleet_message& message);
  void send_heartbeats();
  void answer_heartbeat(link_id id, const heartbeat_message& message);
  heartbeat_message make_heartbeat() const;
  bool is_child(link_id id, const peer_link& link) const;
  bool is_live_link(const peer_link& link) const;
  version_summary summarise_subtree() const;
  void update_fleet_versions();
  void set_partitioned(bool is_partitioned);

  // control_census.cpp: the census and the lease.
  void maintain_census();
  void on_census(log_purpose purpose, const log_service_result& answer);
  void on_message(link_id link, const census_message& message);
  void adopt_census(const census& found, std::optional<link_id> source);
  census make_census() const;
  void update_lease();
  void extend_lease(mono_ms until);
  bool is_past_key_window(const node_id& id) const;
  std::uint64_t count_expected(const std::set<std::string>& regions) const;
  std::uint64_t count_live(const std::vector<node_id>& ids) const;
  bool has_census_majority(const std::set<std::string>& regions) const;
  bool is_first_region() const;

  void add(control_effect effect) { effects_.push_back(std::move(effect)); }
  void log(log_event event, std::vector<log_field> fields);
  void send(link_id link, control_message message);

  settings options_;                             ///< Settings.
  node_id self_;                                 ///< This node.
  instant now_;                                  ///< Time of the current event.
  instant started_;                              ///< Start of the process.
  membership members_;                           ///< The members.
  replicated_config config_;                     ///< The configuration.
  role_plan plan_;                               ///< Duties and links.
  links links_;                                  ///< Control links.
  link_id next_link_ = 1;                        ///< Number of the next outgoing link.
  std::optional<link_id> parent_link_;           ///< Link to the parent, after its hello.
  bool had_parent_ = false;                      ///< There was a parent before.
  std::map<node_id, mono_ms> unreachable_until_; ///< Nodes not to try until then.
  std::map<node_id, mono_ms> missing_since_;     ///< Members whose link broke, and when.
  bool is_joined_ = false;                       ///< Other members are known, or there are none.
  std::size_t next_seed_index_ = 0;              ///< Seed to try next.
  mono_ms next_seed_at_ = 0;                     ///< When to try it.
  mono_ms role_since_ = 0;                       ///< Since when the role is what it is.
  mono_ms parentless_since_ = 0;                 ///< Since when a parent is wanted but missing.
  std::deque<config_entry> recent_entries_;      ///< The latest records.
  log_state log_;                                ///< Calls to the log service.
  snapshot_state snapshots_;                     ///< Writing snapshots.
  bool is_halted_ = false;                       ///< A record's format is too new.
  std::uint64_t applied_version_ = 0;            ///< Version that the traffic threads have.
  unix_ms in_force_since_ = 0;                   ///< When they got it.
  bool was_server_blocked_ = false;              ///< It blocks this node's server.
  std::size_t snapshots_left_in_tick_ =
    FULL_TRANSFERS_PER_TICK; ///< Snapshots that may be sent in this tick.
  std::map<publish_ticket, pending_publish> publishes_; ///< Publishes under way.
  std::optional<census> census_;        ///< The fleet as last written; none: not heard of yet.
  census pending_census_;               ///< The one that is being written.
  bool has_census_call_ = false;        ///< A call for the census is under way.
  mono_ms next_census_at_ = 0;          ///< When to look at it again.
  mono_ms census_differs_since_ = 0;    ///< Since when the fleet differs from it; 0: it doesn't.
  version_summary fleet_versions_;      ///< What the fleet has in force.
  version_summary sent_fleet_versions_; ///< As last sent down.
  bool is_partitioned_ = false;         ///< Some region can't be reached.
  unix_ms earliest_partition_start_ = INT64_MAX; ///< Surely before the latest cut began.
  unix_ms healed_at_ = 0;                        ///< When it ended.
  mono_ms lease_until_ = 0;                      ///< In touch until then.
  server_info announced_server_;                 ///< What the server said last.
  mono_ms server_lease_until_ = 0;               ///< The server's announcement holds until then.
  mono_ms last_event_at_ = 0;                    ///< Time of the latest event.
  mono_ms next_heartbeat_at_ = 0;                ///< When the next heartbeats are due.
  bool view_changed_ = true;                     ///< The traffic threads have an older view.
  std::vector<control_effect> effects_;          ///< Gathered by handle().
};

/**
 * Adds up summaries.
 * @param into The sum.
 * @param from What is added.
 */
void
merge_summary(version_summary& into, const version_summary& from);

/** @param summary A summary. @return The nodes in it. */
std::uint64_t
count_nodes(const version_summary& summary);

} // namespace shallotfield
