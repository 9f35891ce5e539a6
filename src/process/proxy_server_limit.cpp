// The traffic thread of a proxy: the learned concurrency limit of the local backend server.
#include "proxy_traffic_base.h"

#include <cmath>

namespace shallotfield {

static constexpr double PERMILLE = 1000;

std::uint32_t
proxy_traffic::usable_slots() const
{
  return options_.learns_server_limit ? server_limit_.limit(read_clocks().mono) : server_.slots;
}

void
proxy_traffic::raise_limit_event(const limit_event& event)
{
  if (!options_.learns_server_limit) {
    return;
  }
  const mono_ms now = read_clocks().mono;
  const limit_state former = server_limit_.state();
  server_limit_.handle(event, now);
  const limit_state state = server_limit_.state();
  const bool has_closed = former != limit_state::closed && state == limit_state::closed;
  if (has_closed) {
    count(counter_id::server_closings);
  }
  // A probe changes the state twice, so only the first and the last change are logged.
  const bool is_logged = has_closed ? former == limit_state::open : former != state;
  if (is_logged && log_rate_limiter_.try_acquire(false, now)) {
    write_log(log_event::server_limit,
              { { "instance", server_.instance },
                { "state", enum_name(state) },
                { "announced", server_.slots },
                { "limit", server_limit_.limit(now) },
                { "rejected_permille", std::llround(PERMILLE * server_limit_.rejection_rate()) },
                { "probe_in_ms", server_limit_.wait_ms(now) } });
  }
  apply_server_limit();
  if (former != state) {
    announce_server_limit();
  }
  if (has_closed) {
    // The other proxies send the probe once they know that one is due.
    timers_.schedule(server_limit_.wait_ms(now), [this] {
      apply_server_limit();
      announce_server_limit();
    });
  }
}

void
proxy_traffic::announce_server_limit()
{
  update_load_counters();
  if (on_server_limit_changed) {
    on_server_limit_changed();
  }
}

void
proxy_traffic::apply_server_limit()
{
  const bool takes_work =
    server_.state == server_state::ready || server_.state == server_state::cold;
  const std::uint32_t limit = usable_slots();
  const bool is_closed = is_server_closed();
  if (limit != applied_limit_) {
    applied_limit_ = limit;
    raise_slot_event(
      slot_server_changed{ is_closed ? server_.slots : limit, takes_work && !is_closed, false });
  }
}

bool
proxy_traffic::refuse_if_server_is_closed(slot_ticket id)
{
  const mono_ms now = read_clocks().mono;
  if (!options_.learns_server_limit || server_limit_.admits(now)) {
    apply_server_limit(); // The time of the next probe may have come.
    return false;
  }
  count(counter_id::refused_at_server);
  fail_server_request(id, failure_reason::queue_full, outcome::not_run, server_limit_.wait_ms(now));
  return true;
}

} // namespace shallotfield
