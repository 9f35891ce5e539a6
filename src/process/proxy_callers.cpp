// The traffic thread of a proxy: callers' connections and the processing of their requests.
#include "platform/platform.h"
#include "proxy_traffic_base.h"

#include <boost/asio/post.hpp>

namespace shallotfield {

/** Interval at which the control thread gets the counts of client accounts. */
static constexpr std::int64_t QUOTA_COUNT_INTERVAL_MS = 100;

/** Part of the memory of the process that one request may use until the first configuration sets a
 * limit, as a divisor. */
static constexpr std::size_t REQUEST_MEMORY_DIVISOR = 8;

/** Number of connections that are examined for one that may be closed. */
static constexpr std::size_t CALLERS_EXAMINED = 32;

/** Time without a reply after which the body of an upload is sent although it was not granted,
 * because the other proxy may not know offers. It covers several round trips between regions. */
static constexpr std::int64_t OFFER_REPLY_TIMEOUT_MS = 300;

caller_stream_limits
proxy_traffic::limits_of_requests() const
{
  caller_limits limits;
  if (table_) {
    limits = table_->limits();
  } else {
    // A request that the first configuration will allow must not be refused as too large before.
    limits.body_bytes_max =
      std::max(limits.body_bytes_max,
               static_cast<std::int64_t>(options_.memory_bytes / REQUEST_MEMORY_DIVISOR));
  }
  // A body that could never be held is refused as too large, since it would not help to try again.
  const std::uint64_t body_bytes_max = std::min<std::uint64_t>(
    static_cast<std::uint64_t>(limits.body_bytes_max), budget_->largest_lease_bytes());
  return { static_cast<std::uint32_t>(limits.head_bytes_max), body_bytes_max };
}

void
proxy_traffic::add_caller(boost::asio::ip::tcp::socket&& socket)
{
  if (!make_room_for_caller()) {
    return; // The socket is closed with its object.
  }
  const caller_id id = next_id_++;
  const caller_stream_ptr stream =
    std::make_shared<caller_stream>(context_, limits_of_requests(), budget_, refusals_);
  caller& added = callers_[id];
  added.stream = stream;
  added.place = caller_order_.insert(caller_order_.end(), id);
  stream->on_request = [this,
                        id](request_number number, http_request&& request, memory_lease&& lease) {
    handle_request(id, number, std::move(request), std::move(lease));
  };
  stream->on_disconnected = [this, id] { remove_caller(id); };
  stream->on_activity = [this, id] { reset_caller_timeout(id); };
  stream->accept(std::move(socket));
  reset_caller_timeout(id);
}

bool
proxy_traffic::make_room_for_caller()
{
  if (callers_.size() < callers_max_) {
    return true;
  }
  refusals_->report("callers",
                    { { "fault", "too_many_connections" }, { "open", callers_.size() } },
                    read_clocks().mono);
  auto next = caller_order_.begin();
  for (std::size_t i = 0; i < CALLERS_EXAMINED && callers_.size() >= callers_max_; ++i) {
    if (next == caller_order_.end()) {
      break;
    }
    const caller_id id = *next++;
    const caller_stream_ptr stream = callers_.at(id).stream;
    // A connection whose requests are being served is spared, even if its caller reads nothing.
    if (stream->open_requests() == 0) {
      count(counter_id::callers_closed);
      stream->abort();
      remove_caller(id);
    }
  }
  const bool has_room = callers_.size() < callers_max_;
  if (!has_room) {
    count(counter_id::callers_closed);
  }
  return has_room;
}

void
proxy_traffic::reset_caller_timeout(caller_id id)
{
  const auto found = callers_.find(id);
  if (found == callers_.end()) {
    return;
  }
  caller& item = found->second;
  caller_order_.splice(caller_order_.end(), caller_order_, item.place);
  const bool has_partial_request = item.stream->has_partial_request();
  if (item.timeout) {
    timers_.cancel(*item.timeout);
    item.timeout.reset();
  }
  const bool is_refused = item.stream->is_closing() && item.stream->open_requests() == 0;
  if (!has_partial_request && !item.stream->is_idle() && !is_refused) {
    return;
  }
  const caller_limits limits = table_ ? table_->limits() : caller_limits{};
  const std::int64_t delay =
    has_partial_request || is_refused ? limits.head_timeout_ms : limits.idle_timeout_ms;
  item.timeout = timers_.schedule(delay, [this, id, has_partial_request] {
    const auto entry = callers_.find(id);
    if (entry == callers_.end()) {
      return;
    }
    entry->second.timeout.reset();
    const caller_stream_ptr stream = entry->second.stream;
    const bool has_last_response = stream->is_closing() && stream->open_requests() == 0;
    if (has_last_response && stream->unsent_bytes() > 0) {
      reset_caller_timeout(id);
    } else if (has_last_response) {
      // The caller has got its last response and doesn't close the connection.
      stream->abort();
      remove_caller(id);
    } else if (has_partial_request) {
      stream->refuse_slow_request();
    } else {
      stream->close_when_idle();
    }
  });
}

void
proxy_traffic::remove_caller(caller_id id)
{
  const auto found = callers_.find(id);
  if (found == callers_.end()) {
    return;
  }
  caller gone = std::move(found->second);
  callers_.erase(found);
  caller_order_.erase(gone.place);
  if (gone.timeout) {
    timers_.cancel(*gone.timeout);
  }
  for (const auto& [number, exchange] : gone.exchanges) {
    raise(exchange, exchange_abandoned{});
    end_exchange(exchange);
  }
}

void
proxy_traffic::handle_request(caller_id id,
                              request_number number,
                              http_request&& request,
                              memory_lease&& lease)
{
  const exchange_id new_exchange_id = next_id_++;
  exchange& added = exchanges_[new_exchange_id];
  added.caller = id;
  added.number = number;
  // The caller's id for the request, and the time for which it waits for the response (`wait_ms`).
  const platform::caller_fields fields = platform::read_caller_fields(request.head);
  added.state.request_id = fields.request_id;
  added.state.wait_ms = fields.wait_ms;
  added.state.account_key = fields.account_key;
  added.state.head = std::move(request.head);
  added.state.body = shared_body(std::move(request.body), std::move(lease));
  added.state.table = table_;
  if (table_ && table_->has_accounts()) {
    platform::remove_account_fields(added.state.head);
  }
  caller& owner = callers_.at(id);
  owner.exchanges[number] = new_exchange_id;
  if (is_draining_) {
    owner.stream->close_when_idle();
  }
  update_load_counters();
  if (pauses_.was_paused(read_clocks().mono)) {
    // The caller may have left while this process was paused, which is noticed first.
    added.timeout = timers_.schedule(AFTER_PAUSE_DELAY_MS,
                                     [this, new_exchange_id] { start_exchange(new_exchange_id); });
    return;
  }
  start_exchange(new_exchange_id);
}

void
proxy_traffic::start_exchange(exchange_id id)
{
  raise(id, exchange_started{});
  const auto found = exchanges_.find(id);
  if (found != exchanges_.end()) {
    const std::int64_t left = found->second.state.deadline - read_clocks().mono;
    found->second.timeout = timers_.schedule(left, [this, id] { raise(id, exchange_expired{}); });
  }
}

void
proxy_traffic::raise(exchange_id id, const exchange_event& event)
{
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) {
    return;
  }
  const std::vector<exchange_effect> effects =
    handle_exchange_event(found->second.state, event, proxy_, read_clocks().mono);
  for (const exchange_effect& effect : effects) {
    perform(id, effect);
  }
  schedule_quota_counts();
}

void
proxy_traffic::schedule_quota_counts()
{
  if (is_count_scheduled_ || !proxy_.quotas.has_counts()) {
    return;
  }
  is_count_scheduled_ = true;
  timers_.schedule(QUOTA_COUNT_INTERVAL_MS, [this] {
    is_count_scheduled_ = false;
    on_quota_used(proxy_.quotas.take_counts());
  });
}

void
proxy_traffic::perform(exchange_id id, const exchange_effect& effect)
{
  std::visit(
    overloaded{
      [&](const send_attempt& item) { send(id, item); },
      [&](const cancel_exchange_attempt& item) { cancel(id, item); },
      [&](const send_response& item) { respond(id, item.head, item.body); },
      [&](const send_error_response& item) {
        const std::string& request_id = exchanges_.at(id).state.request_id;
        respond(id,
                { item.status, platform::error_response_headers(request_id, item.retry_after_ms) },
                "");
      },
      [&](const exchange_log& item) {
        if (log_rate_limiter_.try_acquire(item.is_routine, read_clocks().mono)) {
          write_log(item.event, item.fields);
        }
      },
    },
    effect);
}

void
proxy_traffic::respond(exchange_id id, const response_head& head, const shared_body& body)
{
  const exchange& done = exchanges_.at(id);
  const auto owner = callers_.find(done.caller);
  if (owner != callers_.end()) {
    owner->second.exchanges.erase(done.number);
    // Sending the response may close the connection, which removes its entry from callers_.
    const caller_stream_ptr stream = owner->second.stream;
    stream->respond(done.number, head, body);
  }
  observe_request_seconds(static_cast<double>(read_clocks().mono - done.state.started_at) / 1000);
  end_exchange(id);
}

void
proxy_traffic::end_exchange(exchange_id id)
{
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) {
    return;
  }
  timers_.cancel(found->second.timeout);
  exchanges_.erase(found);
  update_load_counters();
}

call_open
proxy_traffic::make_call(const exchange& from, const send_attempt& effect) const
{
  const exchange_state& state = from.state;
  call_open call;
  call.head = state.head;
  call.service = state.service;
  // `kind` of a call is its work class, while `kind` of a rule says how its requests may be
  // processed. Downloads are bulk work.
  call.kind =
    state.rule->kind == request_kind::download ? work_class::bulk : work_class::interactive;
  call.is_idempotent = is_idempotent(state.rule->kind);
  call.region = options_.region;
  call.timeout_ms = effect.timeout_ms;
  call.version = state.table->version();
  call.instance = effect.instance;
  call.caller_service = options_.service;
  // Service times are averaged per kind of work, which for a proxy is the rule.
  call.work = state.rule->name;
  call.customer = state.account == nullptr ? std::string() : state.account->name;
  call.priority = state.priority;
  call.objective_ms = state.first_asked_at + state.rule->objective_ms - read_clocks().mono;
  call.fleet_service_ms = effect.fleet_service_ms;
  call.body = state.body;
  return call;
}

void
proxy_traffic::send(exchange_id id, const send_attempt& effect)
{
  exchange& from = exchanges_.at(id);
  call_open call = make_call(from, effect);
  if (effect.is_retry) {
    count(counter_id::retries);
  }
  if (effect.node == options_.node_id) {
    // Posted to the event loop, so that an immediate rejection is handled only after this attempt
    // is recorded and the other effects of the current event have been performed.
    const slot_ticket ticket = next_id_++;
    from.attempt_targets.emplace_back(local_target{ ticket });
    call.id = ticket;
    boost::asio::post(context_,
                      [this, id, attempt = effect.attempt, call = std::move(call)]() mutable {
                        if (exchanges_.contains(id)) {
                          add_server_request(local_origin{ id, attempt }, std::move(call));
                        }
                      });
    return;
  }
  const std::string name = link_name_of(effect.node, from.state.rule->kind);
  peer_link& link = get_or_open_link(effect.node, from.state.rule->kind);
  call.id = link.next_call++;
  link.calls[call.id] = { id, effect.attempt };
  from.attempt_targets.emplace_back(peer_target{ name, call.id });
  if (from.state.rule->kind == request_kind::upload && !call.body.empty()) {
    offer_body(name, call.id, id, effect);
  } else {
    link.stream->send(call);
  }
  schedule_link_check(name);
}

void
proxy_traffic::offer_body(const std::string& link,
                          call_id call,
                          exchange_id id,
                          const send_attempt& effect)
{
  const exchange_state& state = exchanges_.at(id).state;
  const mono_ms now = read_clocks().mono;
  body_offer& offer = links_.at(link).offers[call];
  offer.attempt = effect;
  offer.offered_at = now;
  offer.fallback = timers_.schedule(OFFER_REPLY_TIMEOUT_MS,
                                    [this, link, call] { send_without_grant(link, call); });
  links_.at(link).stream->send(call_credit{ call,
                                            static_cast<std::int64_t>(state.body.size()),
                                            state.rule->name,
                                            body_objective_at(state) - now });
}

void
proxy_traffic::send_without_grant(const std::string& name, call_id call)
{
  const auto found = links_.find(name);
  if (found == links_.end()) {
    return;
  }
  peer_link& link = found->second;
  std::optional<body_offer> offer = take_offer(link, call);
  const auto target = link.calls.find(call);
  if (!offer || target == link.calls.end() || !exchanges_.contains(target->second.first)) {
    return;
  }
  // The call gets another id. A refusal of the offer may be under way, which promises that the
  // request does not run.
  link.stream->send(call_cancel{ call });
  const auto [exchange_id, attempt] = target->second;
  link.calls.erase(target);
  exchange& from = exchanges_.at(exchange_id);
  // A deadline that has passed is noticed by its timer, and the other proxy has to get a valid
  // time.
  offer->attempt.timeout_ms =
    std::max<std::int64_t>(offer->attempt.timeout_ms - (read_clocks().mono - offer->offered_at), 1);
  call_open open = make_call(from, offer->attempt);
  open.id = link.next_call++;
  link.calls[open.id] = { exchange_id, attempt };
  from.attempt_targets[attempt] = peer_target{ name, open.id };
  link.stream->send(open);
}

std::optional<proxy_traffic::body_offer>
proxy_traffic::take_offer(peer_link& link, call_id call)
{
  const auto found = link.offers.find(call);
  if (found == link.offers.end()) {
    return std::nullopt;
  }
  body_offer offer = found->second;
  if (offer.fallback) {
    timers_.cancel(*offer.fallback);
  }
  link.offers.erase(found);
  return offer;
}

void
proxy_traffic::handle_grant(const std::string& link, const call_credit& grant)
{
  const auto found = links_.find(link);
  if (found == links_.end()) {
    return;
  }
  const auto target = found->second.calls.find(grant.id);
  if (grant.bytes <= 0) {
    const auto offer = found->second.offers.find(grant.id);
    if (offer != found->second.offers.end() && offer->second.fallback) {
      timers_.cancel(*offer->second.fallback);
      offer->second.fallback.reset();
    }
    return;
  }
  std::optional<body_offer> offer = take_offer(found->second, grant.id);
  if (!offer || target == found->second.calls.end()) {
    return;
  }
  const auto from = exchanges_.find(target->second.first);
  if (from == exchanges_.end()) {
    return;
  }
  offer->attempt.timeout_ms =
    std::max<std::int64_t>(offer->attempt.timeout_ms - (read_clocks().mono - offer->offered_at), 1);
  call_open call = make_call(from->second, offer->attempt);
  call.id = grant.id;
  found->second.stream->send(call);
}

void
proxy_traffic::cancel(exchange_id id, const cancel_exchange_attempt& effect)
{
  const exchange& from = exchanges_.at(id);
  if (effect.attempt >= from.attempt_targets.size()) {
    return;
  }
  std::visit(overloaded{
               [&](const local_target& target) { cancel_server_request(target.ticket); },
               [&](const peer_target& target) {
                 const auto link = links_.find(target.link);
                 if (link != links_.end() && link->second.calls.erase(target.call) > 0) {
                   take_offer(link->second, target.call);
                   link->second.stream->send(call_cancel{ target.call });
                 }
               },
             },
             from.attempt_targets[effect.attempt]);
}

} // namespace shallotfield
