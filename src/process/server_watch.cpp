// State transitions of a node's local backend server.
#include "server_watch_base.h"

namespace shallotfield {

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
  if (!is_same_process) {
    has_left_ = false;
    ++incarnation_;
  }
  has_left_ = has_left_ || from.state == server_state::draining || has_deregistered(from);
  server_state state = has_left_ ? server_state::draining : server_state::ready;
  if (!has_left_ && from.cold_ms > 0) {
    state = server_state::cold;
  }
  const server_status next{ from.service, from.instance, from.slots, state };
  const bool has_changed = !is_same_process || next != current_status_;
  current_status_ = next;
  instance_started_at_ = from.instance_started_at;
  sequence_ = from.sequence;
  last_received_at_ = now;
  return has_changed ? heartbeat_effect::changed : heartbeat_effect::refreshed;
}

bool
server_watch::apply_deregistration(const std::string& instance, unix_ms at)
{
  deregistrations_.insert_or_assign(instance, at);
  if (deregistrations_.size() > DEREGISTRATIONS_MAX) {
    deregistrations_.erase(std::min_element(
      deregistrations_.begin(), deregistrations_.end(), [](const auto& one, const auto& other) {
        return one.second < other.second;
      }));
  }
  if (instance != current_status_.instance || has_left_) {
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
  if (!current_status_.instance.empty() || instance.empty()) {
    return false;
  }
  current_status_ = { service, instance, slots, server_state::ready };
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
  const bool is_usable =
    current_status_.state == server_state::ready || current_status_.state == server_state::cold;
  if (!is_usable || now - last_received_at_ <= liveness_timeout_ms_) {
    return false;
  }
  current_status_.state = server_state::none;
  return true;
}

} // namespace shallotfield
