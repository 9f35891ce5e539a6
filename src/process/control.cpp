// The control state of a node: ticks, publishing, the backend server of this node, and leaving the
// fleet.
#include "control_base.h"

#include "request/request.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace leaf = boost::leaf;

namespace shallotfield {

/**
 * Gap between two events above which the process is considered to have been paused; heartbeat_ms if
 * that is longer. Ticks arrive far more often.
 */
static constexpr mono_ms PAUSE_MIN_MS = 1000;

/** Delay before the append of a proposal is retried if it is unknown whether it took effect. */
static constexpr mono_ms PUBLISH_RETRY_MS = 300;

control::control(settings options, const member_record& own, instant now)
  : options_(std::move(options))
  , self_(own.id)
  , now_(now)
  , started_(now)
  , members_(own, now)
  , role_since_(now.mono)
  , in_force_since_(now.unix)
{
}

std::vector<control_effect>
control::handle(const control_event& event, instant now)
{
  now_ = now;
  detect_pause();
  std::visit([this](const auto& item) { on(item); }, event);
  emit_new_version();
  send_config_updates();
  return std::exchange(effects_, {});
}

void
control::emit_log_line(log_event event, std::vector<log_field> fields)
{
  add(write_log_line{ event, std::move(fields) });
}

void
control::send(link_id link, control_message message)
{
  const auto found = links_.find(link);
  const bool crosses = found != links_.end() && found->second.peer &&
                       found->second.peer->region != members_.own().region;
  add(send_control{ link, std::move(message), crosses });
}

void
control::on(const control_tick& /*event*/)
{
  snapshots_left_in_tick_ = FULL_TRANSFERS_PER_TICK;
  if (members_.own().server.state != server_state::none && now_.mono > server_lease_until_) {
    server_info info = members_.own().server;
    info.state = server_state::none;
    emit_log_line(
      log_event::server_announced,
      { { "service", info.service }, { "state", "none" }, { "reason", "lease_ended" } });
    propagate(members_.update_own(members_.own().state, info, now_), std::nullopt);
  }
  update_own_server();
  close_silent_links();
  expire_missing_members();
  std::erase_if(unreachable_until_, [this](const auto& item) { return item.second <= now_.mono; });
  replan();
  check_expected_links();
  maintain_census();
  update_lease();
  if (plan_.role == node_role::hub && is_joined_) {
    set_partitioned(!unreachable_regions().empty());
  }
  if (now_.mono >= next_heartbeat_at_) {
    next_heartbeat_at_ = now_.mono + options_.heartbeat_ms;
    members_.expire_tombstones(now_);
    update_fleet_versions();
    send_heartbeats();
  }
  send_member_updates();
  start_log_read();
  start_snapshot_write();
  advance_publishes();
}

void
control::detect_pause()
{
  const mono_ms limit = std::max<mono_ms>(PAUSE_MIN_MS, options_.heartbeat_ms);
  if (last_event_at_ != 0 && now_.mono - last_event_at_ > limit) {
    emit_log_line(log_event::pause_detected, { { "ms", now_.mono - last_event_at_ } });
    count(counter_id::pauses);
    // During the pause other nodes may have declared this node dead.
    lease_until_ = 0;
    add(apply_lease{ lease_until_ });
    for (auto& [id, link] : links_) {
      // Messages that arrived during the pause may still be unread, so no peer counts as silent.
      link.last_received_at = now_.mono;
    }
    for (auto& [id, since] : missing_since_) {
      since = now_.mono;
    }
    role_since_ = now_.mono;
    if (parent_link_) {
      subscribe_to(*parent_link_, true, false);
    }
  }
  last_event_at_ = now_.mono;
}

void
control::on(const server_announced& event)
{
  server_lease_until_ = now_.mono + options_.server_lease_ms;
  announced_server_ = event.info;
  update_own_server();
}

void
control::update_own_server()
{
  // An idempotency key that arrives right after the start may have been handled by an earlier
  // process of this node. The server is announced to the fleet, and so can become the home of keys
  // (the server that runs the requests with a key), only when such keys are no longer on their way.
  const bool may_be_home = now_.mono - started_.mono >= CLOCK_SKEW_MAX_MS + options_.heartbeat_ms;
  if (!may_be_home || now_.mono > server_lease_until_) {
    return;
  }
  const server_state before = members_.own().server.state;
  const std::optional<member_record> changed =
    members_.update_own(members_.own().state, announced_server_, now_);
  if (changed) {
    emit_log_line(log_event::server_announced,
                  { { "service", announced_server_.service },
                    { "state", enum_name(announced_server_.state) },
                    { "before", enum_name(before) },
                    { "slots", announced_server_.slots } });
    propagate(changed, std::nullopt);
    send_member_updates();
  }
}

void
control::on(const leave_requested& event)
{
  const member_state state = event.is_drained ? member_state::left : member_state::draining;
  emit_log_line(log_event::draining, { { "state", enum_name(state) } });
  propagate(members_.update_own(state, members_.own().server, now_), std::nullopt);
  send_member_updates();
  if (event.is_drained) {
    for (const auto& [id, link] : links_) {
      if (link.is_open) {
        send(id, goodbye_message{});
      }
    }
  }
}

void
control::on(const publish_requested& event)
{
  if (const proposal_verdict* earlier = config_.find(event.publish_id)) {
    send_publish_result effect{ event.publish,   publish_result::duplicate,
                                earlier->result, earlier->version,
                                earlier->error,  {} };
    add(std::move(effect));
    return;
  }
  const std::uint64_t current = config_.current()->number;
  const std::uint64_t base = event.base_version.value_or(current);
  if (base > current) {
    // This node doesn't have the version yet that the document is based on.
    add(send_publish_result{ event.publish, publish_result::unavailable, {}, current, {}, {} });
    return;
  }
  const std::optional<document_error> error = leaf::try_handle_all(
    [&]() -> leaf::result<std::optional<document_error>> {
      BOOST_LEAF_CHECK(parse_document(event.target));
      return std::optional<document_error>();
    },
    [](const document_error& found) { return std::optional(found); },
    [] {
      return std::optional(document_error{ "", document_fault::not_json });
    });
  pending_publish pending;
  pending.publish_id = event.publish_id;
  pending.deadline = now_.mono + options_.publish_timeout_ms;
  publishes_[event.publish] = pending;
  if (error) {
    const proposal_verdict decided{
      event.publish_id, 0, verdict::invalid, current, {}, 0, {}, error
    };
    finish_publish(event.publish, publish_result::invalid, &decided);
    return;
  }
  if (base < current) {
    finish_publish(event.publish, publish_result::conflict, nullptr);
    return;
  }
  proposal change = make_proposal(*config_.current(), event.target);
  change.publish_id = event.publish_id;
  change.author = event.author;
  change.written_at = now_.unix;
  publishes_[event.publish].bytes = encode_proposal(change);
  advance_publishes();
}

void
control::advance_publishes()
{
  // The tickets are copied, as finish_publish() erases from publishes_.
  std::vector<publish_ticket> tickets;
  for (const auto& [ticket, pending] : publishes_) {
    tickets.push_back(ticket);
  }
  for (const publish_ticket ticket : tickets) {
    pending_publish& pending = publishes_.at(ticket);
    if (const proposal_verdict* decided = config_.find(pending.publish_id)) {
      static constexpr std::array<publish_result, VERDICT_ROWS.size()> RESULTS = {
        publish_result::accepted,
        publish_result::duplicate,
        publish_result::conflict,
        publish_result::invalid,
      };
      finish_publish(ticket, RESULTS[static_cast<std::size_t>(decided->result)], decided);
      continue;
    }
    if (now_.mono >= pending.deadline) {
      finish_publish(ticket,
                     pending.may_be_written || pending.is_appending ? publish_result::unknown
                                                                    : publish_result::unavailable,
                     nullptr);
      continue;
    }
    if (!pending.is_appending && !pending.is_appended && now_.mono >= pending.next_try_at) {
      pending.is_appending = true;
      add(append_log{ log_purpose::publish, ticket, log_service_stream::config, pending.bytes });
    }
  }
}

void
control::on_proposal_appended(publish_ticket ticket, const log_service_result& result)
{
  const auto found = publishes_.find(ticket);
  if (found == publishes_.end()) {
    return;
  }
  pending_publish& pending = found->second;
  pending.is_appending = false;
  if (std::holds_alternative<log_service_appended>(result)) {
    pending.is_appended = true;
    pending.may_be_written = true;
    return;
  }
  const auto* fault = std::get_if<log_service_fault>(&result);
  const bool is_not_written = fault != nullptr && (*fault == log_service_fault::unreachable ||
                                                   *fault == log_service_fault::refused);
  pending.may_be_written = pending.may_be_written || !is_not_written;
  if (!pending.may_be_written) {
    finish_publish(ticket, publish_result::unavailable, nullptr);
    return;
  }
  pending.next_try_at = now_.mono + PUBLISH_RETRY_MS;
}

void
control::finish_publish(publish_ticket ticket,
                        publish_result result,
                        const proposal_verdict* decided)
{
  const std::string publish_id = publishes_.at(ticket).publish_id;
  publishes_.erase(ticket);
  send_publish_result effect{ ticket, result, {}, config_.current()->number, {}, {} };
  if (decided != nullptr) {
    // This is the verdict on the first proposal with the publish id, which may be the one of this
    // publish. It is reported as an earlier verdict only if the result is `duplicate`.
    effect.earlier_verdict = decided->result;
    effect.version = decided->version;
    effect.error = decided->error;
  }
  if (result == publish_result::conflict) {
    for (const proposal_verdict& item : config_.verdicts()) {
      if (item.result == verdict::accepted) {
        effect.since.push_back(item);
      }
    }
  }
  emit_log_line(log_event::publish,
                { { "publish_id", publish_id },
                  { "result", enum_name(result) },
                  { "version", effect.version } });
  add(std::move(effect));
}

} // namespace shallotfield
