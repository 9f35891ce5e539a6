// State transitions of a node's local backend server.
#include "server_watch_base.h"

#include <utility>

namespace shallotfield {

/** Version of a server whose heartbeats name none. An empty version means that no heartbeat has
 * arrived yet. */
static constexpr std::string_view NO_VERSION = "-";

/** Maximum number of deregistrations that are stored. It covers the few replacements of a VM's
 * server that occur while heartbeats of a former instance may still arrive. */
static constexpr std::size_t DEREGISTRATIONS_MAX = 32;

bool
server_watch::has_deregistered(const server_heartbeat& from) const
{
  const auto found = deregistrations_.find(from.instance);
  return found != deregistrations_.end() &&
         (!from.instance_started_at || *from.instance_started_at < found->second);
}

heartbeat_effect
server_watch::apply_heartbeat(const server_heartbeat& from, mono_ms now)
{
  if (from.address != address_) {
    return heartbeat_effect::ignored;
  }
  const bool is_known = !current_status_.instance.empty();
  const bool is_same_id = from.instance == current_status_.instance;
  const bool is_older = instance_started_at_ && (!from.instance_started_at ||
                                                 *from.instance_started_at < *instance_started_at_);
  if (is_known && is_older) {
    return heartbeat_effect::ignored;
  }
  const bool is_same_process =
    is_known && is_same_id &&
    (!instance_started_at_ || from.instance_started_at == instance_started_at_);
  if (is_same_process && from.sequence <= sequence_ && sequence_ != 0) {
    return heartbeat_effect::ignored;
  }
  const bool is_unchecked = needs_confirmation_ || (is_probed_only_ && !is_same_id);
  const bool is_leaving = from.state == server_state::draining || has_deregistered(from);
  if (is_unchecked && !is_same_process && !is_leaving) {
    const bool is_late = unconfirmed_ && unconfirmed_->instance_started_at &&
                         from.instance_started_at < unconfirmed_->instance_started_at;
    if (!is_late) {
      unconfirmed_ = from;
      unconfirmed_at_ = now;
    }
    return heartbeat_effect::unconfirmed;
  }
  if (is_leaving && unconfirmed_ && unconfirmed_->instance == from.instance) {
    unconfirmed_.reset();
  }
  if (!is_same_process) {
    has_left_ = false;
    ++incarnation_;
  }
  is_probed_only_ = false;
  has_left_ = has_left_ || from.state == server_state::draining || has_deregistered(from);
  server_state state = has_left_ ? server_state::draining : server_state::ready;
  if (!has_left_ && from.cold_ms > 0) {
    state = server_state::cold;
  }
  const server_status next{ from.service,
                            from.instance,
                            from.slots,
                            state,
                            from.version.empty() ? std::string(NO_VERSION) : from.version };
  const bool has_changed = !is_same_process || next != current_status_;
  current_status_ = next;
  instance_started_at_ = from.instance_started_at;
  sequence_ = from.sequence;
  last_received_at_ = now;
  return has_changed ? heartbeat_effect::changed : heartbeat_effect::refreshed;
}

bool
server_watch::accept_unconfirmed(mono_ms now)
{
  if (!unconfirmed_) {
    return false;
  }
  const server_heartbeat from = *std::exchange(unconfirmed_, std::nullopt);
  needs_confirmation_ = false;
  is_probed_only_ = false;
  return apply_heartbeat(from, now) == heartbeat_effect::changed;
}

bool
server_watch::apply_deregistration(const std::string& instance,
                                   unix_ms at,
                                   std::optional<unix_ms> started_at)
{
  // The clock of this VM may have jumped, so the start that the server gives is the better limit.
  const unix_ms left_before = started_at ? *started_at + 1 : at;
  const auto [stored, is_new] = deregistrations_.try_emplace(instance, left_before);
  stored->second = std::max(stored->second, left_before);
  if (unconfirmed_ && has_deregistered(*unconfirmed_)) {
    unconfirmed_.reset();
  }
  if (deregistrations_.size() > DEREGISTRATIONS_MAX) {
    deregistrations_.erase(std::min_element(
      deregistrations_.begin(), deregistrations_.end(), [](const auto& one, const auto& other) {
        return one.second < other.second;
      }));
  }
  const bool is_of_former =
    started_at && instance_started_at_ && *started_at < *instance_started_at_;
  if (instance != current_status_.instance || has_left_ || is_of_former) {
    return false;
  }
  has_left_ = true;
  current_status_.state = server_state::draining;
  return true;
}

bool
server_watch::apply_probe_result(const std::string& instance,
                                 const service_id& service,
                                 std::uint32_t slots,
                                 mono_ms now)
{
  if (instance.empty()) {
    return false;
  }
  if (unconfirmed_ && unconfirmed_->instance == instance) {
    return accept_unconfirmed(now);
  }
  unconfirmed_.reset();
  if (!current_status_.instance.empty()) {
    return false;
  }
  needs_confirmation_ = false;
  is_probed_only_ = true;
  current_status_ = { service, instance, slots, server_state::ready, "" };
  ++incarnation_;
  last_received_at_ = now;
  return true;
}

bool
server_watch::mark_unreachable()
{
  if (current_status_.state == server_state::none ||
      current_status_.state == server_state::draining) {
    return false;
  }
  // The next heartbeat, of this or another incarnation, restores the state.
  current_status_.state = server_state::none;
  return true;
}

bool
server_watch::expire(mono_ms now)
{
  if (unconfirmed_ && now - unconfirmed_at_ > liveness_timeout_ms_) {
    unconfirmed_.reset();
  }
  const bool is_usable =
    current_status_.state == server_state::ready || current_status_.state == server_state::cold;
  if (!is_usable || now - last_received_at_ <= liveness_timeout_ms_) {
    return false;
  }
  current_status_.state = server_state::none;
  return true;
}

} // namespace shallotfield
