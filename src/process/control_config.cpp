// The control state of a node: reading the log, applying its records, and passing them on to peers.
#include "control_base.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace leaf = boost::leaf;

namespace shallotfield {

/** Maximum number of records requested by one read of the log. */
static constexpr std::uint64_t READ_RECORDS_MAX = 200;

/**
 * Number of latest snapshots that are read; if the latest is damaged, the next older one is used.
 */
static constexpr std::uint64_t SNAPSHOT_CANDIDATES_MAX = 4;

/**
 * Delay before the next read after a first failure; it doubles up to log_retry_ms. Also the
 * interval between reads that find no records, if log_wait_ms is 0.
 */
static constexpr mono_ms LOG_BACKOFF_MIN_MS = 100;

/** Maximum total size of the recent records that are retained for peers. */
static constexpr std::size_t RECENT_ENTRIES_BYTES_MAX = 4U << 20U;

void
control::on(const log_call_completed& event)
{
  switch (event.purpose) {
    case log_purpose::follow:
      on_records_read(event.result);
      break;
    case log_purpose::find_snapshot:
      on_snapshot_found(event.result);
      break;
    case log_purpose::fetch_snapshot:
      on_snapshot_fetched(event.result);
      break;
    case log_purpose::write_snapshot:
      on_snapshot_written(event.result);
      break;
    case log_purpose::publish:
      on_proposal_appended(event.publish, event.result);
      break;
    case log_purpose::find_census:
    case log_purpose::fetch_census:
    case log_purpose::write_census:
      on_census(event.purpose, event.result);
      break;
  }
  advance_publishes();
  start_log_read();
}

void
control::on_log_success()
{
  if (!log_.is_reachable) {
    emit_log_line(log_event::log_reachable, { { "after_ms", now_.mono - log_.failing_since } });
  }
  log_.is_reachable = true;
  log_.backoff_ms = 0;
  log_.next_read_at = now_.mono;
}

void
control::on_log_failure(log_service_fault fault)
{
  count(counter_id::log_failures);
  if (log_.is_reachable) {
    log_.failing_since = now_.mono;
    emit_log_line(log_event::log_unreachable,
                  { { "fault", enum_name(fault) }, { "version", config_.current()->number } });
  }
  log_.is_reachable = false;
  log_.backoff_ms =
    std::clamp<mono_ms>(log_.backoff_ms * 2, LOG_BACKOFF_MIN_MS, options_.log_retry_ms);
  log_.next_read_at = now_.mono + log_.backoff_ms;
}

void
control::start_log_read()
{
  // A node that has had no parent for a while reads the log itself, as a hub does.
  const bool is_reader =
    is_joined_ &&
    (plan_.role == node_role::hub ||
     (parentless_since_ != 0 && now_.mono - parentless_since_ > options_.gone_after_ms));
  if (!is_reader || log_.is_reading || is_halted_ || now_.mono < log_.next_read_at) {
    return;
  }
  log_.is_reading = true;
  count(counter_id::log_reads);
  if (log_.has_gap) {
    add(read_log{ log_purpose::find_snapshot, log_service_stream::snapshots, 0, 1, 0 });
  } else {
    // After a failure the read must return at once, so that the end of an outage is noticed early.
    const std::int64_t wait_ms = log_.is_reachable ? options_.log_wait_ms : 0;
    add(read_log{ log_purpose::follow,
                  log_service_stream::config,
                  config_.offset() + 1,
                  READ_RECORDS_MAX,
                  wait_ms });
  }
}

void
control::on_records_read(const log_service_result& result)
{
  log_.is_reading = false;
  const auto* page = std::get_if<log_service_page>(&result);
  if (page == nullptr) {
    const auto* fault = std::get_if<log_service_fault>(&result);
    on_log_failure(fault != nullptr ? *fault : log_service_fault::malformed);
    return;
  }
  on_log_success();
  for (const log_service_record& record : page->records) {
    if (!apply_record(record.offset, record.bytes, std::nullopt, "log")) {
      break;
    }
  }
  const bool is_behind = page->next <= config_.offset();
  if (is_behind && !log_.is_behind) {
    emit_log_line(
      log_event::alarm,
      { { "reason", "log_behind" }, { "next", page->next }, { "offset", config_.offset() } });
  }
  log_.is_behind = is_behind;
  if (is_behind) {
    on_log_failure(log_service_fault::malformed);
  }
  if (page->first > config_.offset() + 1) {
    emit_log_line(log_event::log_gap, { { "first", page->first }, { "offset", config_.offset() } });
    log_.has_gap = true;
  }
  if (page->records.empty() && options_.log_wait_ms == 0) {
    log_.next_read_at = now_.mono + LOG_BACKOFF_MIN_MS;
  }
}

void
control::on_snapshot_found(const log_service_result& result)
{
  const auto* page = std::get_if<log_service_page>(&result);
  if (page == nullptr || page->next == page->first) {
    log_.is_reading = false;
    on_log_failure(log_service_fault::malformed);
    if (page != nullptr) {
      emit_log_line(log_event::alarm,
                    { { "reason", "no_snapshot" }, { "offset", config_.offset() } });
    }
    return;
  }
  const std::uint64_t from =
    std::max(page->first,
             page->next > SNAPSHOT_CANDIDATES_MAX ? page->next - SNAPSHOT_CANDIDATES_MAX
                                                  : std::uint64_t{ 0 });
  add(read_log{
    log_purpose::fetch_snapshot, log_service_stream::snapshots, from, SNAPSHOT_CANDIDATES_MAX, 0 });
}

void
control::on_snapshot_fetched(const log_service_result& result)
{
  log_.is_reading = false;
  const auto* page = std::get_if<log_service_page>(&result);
  if (page != nullptr) {
    for (auto record = page->records.rbegin(); record != page->records.rend(); ++record) {
      if (adopt_snapshot(record->bytes, "log")) {
        log_.has_gap = false;
        on_log_success();
        return;
      }
    }
    emit_log_line(log_event::alarm,
                  { { "reason", "no_usable_snapshot" }, { "offset", config_.offset() } });
  }
  // Meanwhile a peer may have sent the missing records. The next read shows whether the gap still
  // exists.
  log_.has_gap = false;
  on_log_failure(log_service_fault::malformed);
}

bool
control::is_first_region() const
{
  return std::none_of(
    members_.records().begin(), members_.records().end(), [this](const auto& item) {
      return !is_tombstone(item.second) && item.second.region < members_.own().region;
    });
}

void
control::start_snapshot_write()
{
  // The hub of the first region writes the snapshots. The hubs of the other regions write half as
  // often, in case the first one can't reach the log.
  const std::int64_t factor = is_first_region() ? 1 : 2;
  const std::int64_t interval_ms = options_.snapshot_interval_ms * factor;
  const bool is_writer = is_joined_ && plan_.role == node_role::hub;
  if (is_writer && !snapshots_.is_writer) {
    snapshots_.due_at = now_.mono + interval_ms / 2;
  }
  snapshots_.is_writer = is_writer;
  const bool is_due = now_.mono >= snapshots_.due_at ||
                      config_.offset() >= snapshots_.offset + static_cast<std::uint64_t>(
                                                                options_.snapshot_records * factor);
  if (!is_writer || !is_due || snapshots_.is_writing || !log_.is_reachable ||
      config_.offset() == 0) {
    return;
  }
  snapshots_.is_writing = true;
  snapshots_.offset = config_.offset();
  add(append_log{ log_purpose::write_snapshot,
                  0,
                  log_service_stream::snapshots,
                  encode_snapshot(config_.to_snapshot()) });
}

void
control::on_snapshot_written(const log_service_result& result)
{
  snapshots_.is_writing = false;
  if (std::holds_alternative<log_service_appended>(result)) {
    snapshots_.due_at = now_.mono + options_.snapshot_interval_ms * (is_first_region() ? 1 : 2);
    count(counter_id::snapshots_written);
    emit_log_line(log_event::snapshot_written,
                  { { "offset", snapshots_.offset }, { "version", config_.current()->number } });
  } else {
    count(counter_id::log_failures);
    snapshots_.offset = 0;
    snapshots_.due_at = now_.mono + options_.log_retry_ms;
  }
}

bool
control::apply_record(std::uint64_t offset,
                      const std::string& bytes,
                      const std::optional<std::string>& chain,
                      std::string_view source)
{
  const apply_result result = config_.apply(offset, bytes, chain);
  switch (result) {
    case apply_result::known:
      return true;
    case apply_result::decided:
    case apply_result::malformed: {
      const bool is_decided = result == apply_result::decided;
      const std::string_view name =
        is_decided ? enum_name(config_.verdicts().back().result) : enum_name(result);
      const std::string id = is_decided ? config_.verdicts().back().publish_id : "";
      // A malformed record gets no verdict; its line has `malformed` instead, and no publish id.
      emit_log_line(
        log_event::record_judged,
        { { "offset", offset }, { "verdict", name }, { "publish_id", id }, { "from", source } });
      if (!is_decided) {
        count(counter_id::records_malformed);
      }
      recent_entries_.push_back({ offset, bytes, config_.chain() });
      std::size_t total = 0;
      for (const config_entry& entry : recent_entries_) {
        total += entry.bytes.size();
      }
      while (recent_entries_.size() > RECENT_ENTRIES_MAX ||
             (total > RECENT_ENTRIES_BYTES_MAX && recent_entries_.size() > 1)) {
        total -= recent_entries_.front().bytes.size();
        recent_entries_.pop_front();
      }
      return true;
    }
    case apply_result::new_format:
      if (!is_halted_) {
        is_halted_ = true;
        emit_log_line(log_event::record_halted, { { "offset", offset } });
        emit_log_line(log_event::alarm, { { "reason", "new_format" }, { "offset", offset } });
      }
      return false;
    case apply_result::gap:
    case apply_result::corrupt:
      break;
  }
  emit_log_line(log_event::update_refused,
                { { "reason", enum_name(result) }, { "offset", offset }, { "from", source } });
  count(counter_id::updates_refused);
  return false;
}

bool
control::adopt_snapshot(const std::string& bytes, std::string_view source)
{
  using parsed = std::variant<snapshot, record_error>;
  const parsed outcome = leaf::try_handle_all(
    [&]() -> leaf::result<parsed> {
      BOOST_LEAF_AUTO(value, parse_snapshot(bytes));
      return parsed(std::move(value));
    },
    [](const record_error& error) { return parsed(error); },
    [] { return parsed(record_error{ record_fault::malformed }); });
  if (const auto* error = std::get_if<record_error>(&outcome)) {
    emit_log_line(log_event::snapshot_refused,
                  { { "reason", enum_name(error->fault) }, { "from", source } });
    count(counter_id::updates_refused);
    return false;
  }
  const auto& found = std::get<snapshot>(outcome);
  const adopt_result result = config_.adopt(found);
  if (result == adopt_result::adopted) {
    recent_entries_.clear();
    emit_log_line(log_event::snapshot_adopted,
                  { { "offset", found.offset }, { "version", found.version }, { "from", source } });
    return true;
  }
  emit_log_line(
    log_event::snapshot_refused,
    { { "reason", enum_name(result) }, { "offset", found.offset }, { "from", source } });
  if (result != adopt_result::older) {
    count(counter_id::updates_refused);
    emit_log_line(log_event::alarm, { { "reason", enum_name(result) }, { "from", source } });
  }
  return false;
}

void
control::emit_new_version()
{
  const compiled_version_ptr& current = config_.current();
  if (current->number == applied_version_) {
    return;
  }
  applied_version_ = current->number;
  in_force_since_ = now_.unix;
  count(counter_id::versions_applied);
  emit_log_line(log_event::version_in_force,
                { { "version", current->number },
                  { "digest", current->digest.substr(0, 16) },
                  { "offset", config_.offset() } });
  const auto& blocked = current->content.blocked_servers;
  const bool is_blocked = std::binary_search(blocked.begin(), blocked.end(), self_);
  if (was_server_blocked_ && !is_blocked) {
    // While the server was blocked, other servers ran requests with its idempotency keys.
    members_.reset_own_live_since(now_);
  }
  was_server_blocked_ = is_blocked;
  view_changed_ = true;
  add(apply_version{ current });
  advance_publishes();
}

void
control::subscribe_to(link_id id, bool follows, bool wants_snapshot)
{
  send(id, subscribe_message{ config_.offset(), wants_snapshot ? "" : config_.chain(), follows });
}

void
control::on_message(link_id link, const subscribe_message& message)
{
  peer_link& peer = links_.at(link);
  peer.is_subscribed = peer.is_subscribed || message.follows;
  peer.sent_offset = message.offset;
  if (message.offset > config_.offset()) {
    return; // The peer has more records. Its heartbeats will make this node request them.
  }
  // A peer at offset 0 has no history that could differ. An empty chain requests a snapshot.
  const bool has_same_history = config_.chain_at(message.offset) == message.chain ||
                                (message.offset == 0 && !message.chain.empty());
  const bool has_entries =
    message.offset == config_.offset() ||
    (!recent_entries_.empty() && recent_entries_.front().offset <= message.offset + 1);
  if (!has_same_history || !has_entries) {
    peer.needs_snapshot = true;
    return;
  }
  if (!message.follows && message.offset < config_.offset()) {
    entries_message entries;
    for (const config_entry& entry : recent_entries_) {
      if (entry.offset > message.offset) {
        entries.entries.push_back(entry);
      }
    }
    peer.sent_offset = config_.offset();
    send(link, std::move(entries));
  }
}

void
control::on_message(link_id link, const entries_message& message)
{
  const std::string source = links_.at(link).peer ? links_.at(link).peer->id : "?";
  for (const config_entry& entry : message.entries) {
    if (!apply_record(entry.offset, entry.bytes, entry.chain, source)) {
      if (!is_halted_) {
        // If the rejected record is the next one, its content doesn't match its chained digest.
        // Sending it again would not help, so a snapshot is requested.
        const bool is_next = entry.offset == config_.offset() + 1;
        subscribe_to(link, is_parent(link), is_next);
      }
      break;
    }
  }
  advance_publishes();
}

void
control::on_message(link_id link, const snapshot_message& message)
{
  const std::string source = links_.at(link).peer ? links_.at(link).peer->id : "?";
  adopt_snapshot(message.bytes, source);
  advance_publishes();
}

void
control::send_snapshot(link_id id, peer_link& link)
{
  link.needs_snapshot = false;
  link.sent_offset = config_.offset();
  send(id, snapshot_message{ encode_snapshot(config_.to_snapshot()) });
}

void
control::send_config_updates()
{
  for (auto& [id, link] : links_) {
    if (!link.peer || !link.is_open) {
      continue;
    }
    const bool is_behind = link.is_subscribed && link.sent_offset < config_.offset();
    if (is_behind && !link.needs_snapshot) {
      if (recent_entries_.empty() || recent_entries_.front().offset > link.sent_offset + 1) {
        link.needs_snapshot = true;
      } else {
        entries_message entries;
        for (const config_entry& entry : recent_entries_) {
          if (entry.offset > link.sent_offset) {
            entries.entries.push_back(entry);
          }
        }
        link.sent_offset = config_.offset();
        send(id, std::move(entries));
      }
    }
    if (link.needs_snapshot && snapshots_left_in_tick_ > 0) {
      --snapshots_left_in_tick_;
      send_snapshot(id, link);
    }
  }
}

} // namespace shallotfield
