// The control state of a node: the log, the ledger and passing configuration on.
#include "control_base.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace leaf = boost::leaf;

namespace shallotfield {

/** Records asked for in one read of the log. */
static constexpr std::uint64_t READ_RECORDS = 200;

/** Snapshots read when one is needed; older ones stand in for a damaged one. */
static constexpr std::uint64_t SNAPSHOTS_READ = 4;

/** First pause after a failed call to the log. */
static constexpr mono_ms BACKOFF_MIN_MS = 100;

/** Bytes of recent records that are kept for peers. */
static constexpr std::size_t RECENT_BYTES_KEPT = 4U << 20U;

void
control::on(const log_answered& event)
{
  switch (event.purpose) {
    case log_purpose::follow:
      on_follow(event.answer);
      break;
    case log_purpose::find_snapshot:
      on_snapshot_found(event.answer);
      break;
    case log_purpose::fetch_snapshot:
      on_snapshot_fetched(event.answer);
      break;
    case log_purpose::write_snapshot:
      on_snapshot_written(event.answer);
      break;
    case log_purpose::publish:
      on_published(event.publish, event.answer);
      break;
    case log_purpose::find_census:
    case log_purpose::fetch_census:
    case log_purpose::write_census:
      on_census(event.purpose, event.answer);
      break;
  }
  check_publishes();
  read_on();
}

void
control::note_log_success()
{
  if (!log_.is_reachable) {
    log(log_event::log_reachable, { { "after_ms", now_.mono - log_.failing_since } });
  }
  log_.is_reachable = true;
  log_.backoff_ms = 0;
  log_.next_read_at = now_.mono;
}

void
control::note_log_failure(log_fault fault)
{
  count(counter_id::log_failures);
  if (log_.is_reachable) {
    log_.failing_since = now_.mono;
    log(log_event::log_unreachable,
        { { "fault", enum_name(fault) }, { "version", ledger_.current()->number } });
  }
  log_.is_reachable = false;
  log_.backoff_ms = std::clamp<mono_ms>(log_.backoff_ms * 2, BACKOFF_MIN_MS, options_.log_retry_ms);
  log_.next_read_at = now_.mono + log_.backoff_ms;
}

void
control::read_on()
{
  const bool has_duty =
    is_joined_ &&
    (plan_.role == node_role::hub ||
     (parentless_since_ != 0 && now_.mono - parentless_since_ > options_.gone_after_ms));
  if (!has_duty || log_.is_reading || is_halted_ || now_.mono < log_.next_read_at) {
    return;
  }
  log_.is_reading = true;
  count(counter_id::log_reads);
  if (log_.has_gap) {
    add(read_log{ log_purpose::find_snapshot, log_stream::snapshots, 0, 1, 0 });
  } else {
    // Right after a failure the call must not wait, so that the end of an outage is seen at once.
    const std::int64_t wait_ms = log_.is_reachable ? options_.log_wait_ms : 0;
    add(read_log{
      log_purpose::follow, log_stream::config, ledger_.offset() + 1, READ_RECORDS, wait_ms });
  }
}

void
control::on_follow(const log_answer& answer)
{
  log_.is_reading = false;
  const auto* page = std::get_if<log_page>(&answer);
  if (page == nullptr) {
    const auto* fault = std::get_if<log_fault>(&answer);
    note_log_failure(fault != nullptr ? *fault : log_fault::malformed);
    return;
  }
  note_log_success();
  for (const log_record& record : page->records) {
    if (!fold_record(record.offset, record.bytes, std::nullopt, "log")) {
      break;
    }
  }
  const bool is_behind = page->next <= ledger_.offset();
  if (is_behind && !log_.is_behind) {
    log(log_event::alarm,
        { { "reason", "log_behind" }, { "next", page->next }, { "offset", ledger_.offset() } });
  }
  log_.is_behind = is_behind;
  if (is_behind) {
    note_log_failure(log_fault::malformed);
  }
  if (page->first > ledger_.offset() + 1) {
    log(log_event::log_gap, { { "first", page->first }, { "offset", ledger_.offset() } });
    log_.has_gap = true;
  }
  if (page->records.empty() && options_.log_wait_ms == 0) {
    log_.next_read_at = now_.mono + BACKOFF_MIN_MS;
  }
}

void
control::on_snapshot_found(const log_answer& answer)
{
  const auto* page = std::get_if<log_page>(&answer);
  if (page == nullptr || page->next == page->first) {
    log_.is_reading = false;
    note_log_failure(log_fault::malformed);
    if (page != nullptr) {
      log(log_event::alarm, { { "reason", "no_snapshot" }, { "offset", ledger_.offset() } });
    }
    return;
  }
  const std::uint64_t from = std::max(
    page->first, page->next > SNAPSHOTS_READ ? page->next - SNAPSHOTS_READ : std::uint64_t{ 0 });
  add(read_log{ log_purpose::fetch_snapshot, log_stream::snapshots, from, SNAPSHOTS_READ, 0 });
}

void
control::on_snapshot_fetched(const log_answer& answer)
{
  log_.is_reading = false;
  const auto* page = std::get_if<log_page>(&answer);
  if (page != nullptr) {
    for (auto record = page->records.rbegin(); record != page->records.rend(); ++record) {
      if (adopt_snapshot(record->bytes, "log")) {
        log_.has_gap = false;
        note_log_success();
        return;
      }
    }
    log(log_event::alarm, { { "reason", "no_usable_snapshot" }, { "offset", ledger_.offset() } });
  }
  // A peer may have brought this node past the gap meanwhile; the next read tells.
  log_.has_gap = false;
  note_log_failure(log_fault::malformed);
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
control::write_snapshots()
{
  // The hubs of other regions write half as often, for when the first can't reach the log.
  const std::int64_t factor = is_first_region() ? 1 : 2;
  const std::int64_t interval_ms = options_.snapshot_interval_ms * factor;
  const bool is_duty = is_joined_ && plan_.role == node_role::hub;
  if (is_duty && !snapshots_.is_duty) {
    snapshots_.due_at = now_.mono + interval_ms / 2;
  }
  snapshots_.is_duty = is_duty;
  const bool is_due = now_.mono >= snapshots_.due_at ||
                      ledger_.offset() >= snapshots_.offset + static_cast<std::uint64_t>(
                                                                options_.snapshot_records * factor);
  if (!is_duty || !is_due || snapshots_.is_writing || !log_.is_reachable || ledger_.offset() == 0) {
    return;
  }
  snapshots_.is_writing = true;
  snapshots_.offset = ledger_.offset();
  add(append_log{ log_purpose::write_snapshot,
                  0,
                  log_stream::snapshots,
                  encode_snapshot(ledger_.to_snapshot()) });
}

void
control::on_snapshot_written(const log_answer& answer)
{
  snapshots_.is_writing = false;
  if (std::holds_alternative<log_appended>(answer)) {
    snapshots_.due_at = now_.mono + options_.snapshot_interval_ms * (is_first_region() ? 1 : 2);
    count(counter_id::snapshots_written);
    log(log_event::snapshot_written,
        { { "offset", snapshots_.offset }, { "version", ledger_.current()->number } });
  } else {
    count(counter_id::log_failures);
    snapshots_.offset = 0;
    snapshots_.due_at = now_.mono + options_.log_retry_ms;
  }
}

bool
control::fold_record(std::uint64_t offset,
                     const std::string& bytes,
                     const std::optional<std::string>& chain,
                     std::string_view source)
{
  const fold_result result = ledger_.fold(offset, bytes, chain);
  switch (result) {
    case fold_result::known:
      return true;
    case fold_result::judged:
    case fold_result::malformed: {
      const bool is_judged = result == fold_result::judged;
      const std::string_view name =
        is_judged ? enum_name(ledger_.judgements().back().result) : enum_name(result);
      const std::string id = is_judged ? ledger_.judgements().back().publish_id : "";
      log(log_event::record_judged,
          { { "offset", offset }, { "verdict", name }, { "publish_id", id }, { "from", source } });
      if (!is_judged) {
        count(counter_id::records_malformed);
      }
      recent_.push_back({ offset, bytes, ledger_.chain() });
      std::size_t total = 0;
      for (const config_entry& entry : recent_) {
        total += entry.bytes.size();
      }
      while (recent_.size() > RECENT_ENTRIES_KEPT ||
             (total > RECENT_BYTES_KEPT && recent_.size() > 1)) {
        total -= recent_.front().bytes.size();
        recent_.pop_front();
      }
      return true;
    }
    case fold_result::new_format:
      if (!is_halted_) {
        is_halted_ = true;
        log(log_event::record_halted, { { "offset", offset } });
        log(log_event::alarm, { { "reason", "new_format" }, { "offset", offset } });
      }
      return false;
    case fold_result::gap:
    case fold_result::corrupt:
      break;
  }
  log(log_event::update_refused,
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
    log(log_event::snapshot_refused, { { "reason", enum_name(error->fault) }, { "from", source } });
    count(counter_id::updates_refused);
    return false;
  }
  const auto& found = std::get<snapshot>(outcome);
  const adopt_result result = ledger_.adopt(found);
  if (result == adopt_result::adopted) {
    recent_.clear();
    log(log_event::snapshot_adopted,
        { { "offset", found.offset }, { "version", found.version }, { "from", source } });
    return true;
  }
  log(log_event::snapshot_refused,
      { { "reason", enum_name(result) }, { "offset", found.offset }, { "from", source } });
  if (result != adopt_result::older) {
    count(counter_id::updates_refused);
    log(log_event::alarm, { { "reason", enum_name(result) }, { "from", source } });
  }
  return false;
}

void
control::note_new_config()
{
  const compiled_version_ptr& current = ledger_.current();
  if (current->number == applied_version_) {
    return;
  }
  applied_version_ = current->number;
  in_force_since_ = now_.unix;
  count(counter_id::versions_applied);
  log(log_event::version_in_force,
      { { "version", current->number },
        { "digest", current->digest.substr(0, 16) },
        { "offset", ledger_.offset() } });
  const auto& blocked = current->content.blocked_servers;
  const bool is_blocked = std::binary_search(blocked.begin(), blocked.end(), self_);
  if (was_blocked_ && !is_blocked) {
    members_.note_own_return(now_); // Others ran its keys meanwhile.
  }
  was_blocked_ = is_blocked;
  view_changed_ = true;
  add(apply_version{ current });
  check_publishes();
}

void
control::subscribe_to(link_id id, bool follows, bool wants_whole)
{
  send(id, subscribe_message{ ledger_.offset(), wants_whole ? "" : ledger_.chain(), follows });
}

void
control::on_message(link_id link, const subscribe_message& message)
{
  peer_link& peer = links_.at(link);
  peer.is_subscribed = peer.is_subscribed || message.follows;
  peer.sent_offset = message.offset;
  if (message.offset > ledger_.offset()) {
    return; // The peer is ahead; this node pulls from it after its heartbeats.
  }
  const bool has_same_past = ledger_.chain_at(message.offset) == message.chain ||
                             (message.offset == 0 && !message.chain.empty());
  const bool has_entries = message.offset == ledger_.offset() ||
                           (!recent_.empty() && recent_.front().offset <= message.offset + 1);
  if (!has_same_past || !has_entries) {
    peer.needs_whole = true;
    return;
  }
  if (!message.follows && message.offset < ledger_.offset()) {
    entries_message entries;
    for (const config_entry& entry : recent_) {
      if (entry.offset > message.offset) {
        entries.entries.push_back(entry);
      }
    }
    peer.sent_offset = ledger_.offset();
    send(link, std::move(entries));
  }
}

void
control::on_message(link_id link, const entries_message& message)
{
  const std::string source = links_.at(link).peer ? links_.at(link).peer->id : "?";
  for (const config_entry& entry : message.entries) {
    if (!fold_record(entry.offset, entry.bytes, entry.chain, source)) {
      if (!is_halted_) {
        const bool is_next = entry.offset == ledger_.offset() + 1; // Then its content is wrong.
        subscribe_to(link, is_parent(link), is_next);
      }
      break;
    }
  }
  check_publishes();
}

void
control::on_message(link_id link, const whole_message& message)
{
  const std::string source = links_.at(link).peer ? links_.at(link).peer->id : "?";
  adopt_snapshot(message.bytes, source);
  check_publishes();
}

void
control::send_whole(link_id id, peer_link& link)
{
  link.needs_whole = false;
  link.sent_offset = ledger_.offset();
  send(id, whole_message{ encode_snapshot(ledger_.to_snapshot()) });
}

void
control::send_config()
{
  for (auto& [id, link] : links_) {
    if (!link.peer || !link.is_open) {
      continue;
    }
    const bool is_behind = link.is_subscribed && link.sent_offset < ledger_.offset();
    if (is_behind && !link.needs_whole) {
      if (recent_.empty() || recent_.front().offset > link.sent_offset + 1) {
        link.needs_whole = true;
      } else {
        entries_message entries;
        for (const config_entry& entry : recent_) {
          if (entry.offset > link.sent_offset) {
            entries.entries.push_back(entry);
          }
        }
        link.sent_offset = ledger_.offset();
        send(id, std::move(entries));
      }
    }
    if (link.needs_whole && wholes_left_ > 0) {
      --wholes_left_;
      send_whole(id, link);
    }
  }
}

} // namespace shallotfield
