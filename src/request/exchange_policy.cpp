// Implements the state machine of one request at its caller's proxy.
#include "exchange_handler.h"

#include <cmath>

namespace shallotfield {

/** Number of nodes that may reject a request before the caller is refused. Each rejection costs the
 * time of a round trip. */
static constexpr std::size_t REJECTED_ATTEMPTS_MAX = 3;

/** Retry-after time for callers if no node gave one. */
static constexpr std::int64_t RETRY_AFTER_DEFAULT_MS = 200;

/** Fraction by which a retry-after time is lengthened or shortened at random. */
static constexpr double RETRY_AFTER_JITTER = 0.25;

static constexpr unsigned STATUS_OK = 200;
static constexpr unsigned STATUS_REDIRECT = 300;
static constexpr unsigned STATUS_UNAUTHORIZED = 401;
static constexpr unsigned STATUS_NOT_FOUND = 404;
static constexpr unsigned STATUS_TOO_MANY = 429;
static constexpr unsigned STATUS_INTERNAL_ERROR = 500;
static constexpr unsigned STATUS_BAD_GATEWAY = 502;
static constexpr unsigned STATUS_UNAVAILABLE = 503;
static constexpr unsigned STATUS_GATEWAY_TIMEOUT = 504;

void
exchange_handler::operator()(const exchange_started& /*event*/)
{
  exchange_.started_at = now_;
  exchange_.first_asked_at = now_;
  if (!exchange_.table) {
    refuse(STATUS_UNAVAILABLE, failure_reason::stale, RETRY_AFTER_DEFAULT_MS);
    return;
  }
  const std::string* host = find_header(exchange_.head.headers, "Host");
  exchange_.rule = exchange_.table->find(host == nullptr ? "" : *host, exchange_.head.target);
  if (exchange_.rule == nullptr) {
    refuse(STATUS_NOT_FOUND, failure_reason::no_route, 0);
    return;
  }
  if (!identify_account()) {
    refuse(STATUS_UNAUTHORIZED, failure_reason::unknown_key, 0);
    return;
  }
  const std::int64_t wait =
    std::min(exchange_.rule->timeout_ms, exchange_.wait_ms.value_or(exchange_.rule->timeout_ms));
  exchange_.deadline = now_ + wait;
  find_first_try();
  if (outlasts_shutdown(proxy_, exchange_.deadline, now_)) {
    refuse(STATUS_UNAVAILABLE, failure_reason::draining, RETRY_AFTER_DEFAULT_MS);
    return;
  }
  if (!is_within_quota()) {
    return;
  }
  exchange_.service = choose_service();
  proxy_.retry_budgets[exchange_.service].record_request(now_);
  const suspect_decision decision = decide_on_suspect();
  if (const auto* rejected = std::get_if<suspect_rejected>(&decision)) {
    count(counter_id::suspects_rejected);
    refuse(STATUS_UNAVAILABLE, failure_reason::crashes_servers, rejected->retry_after_ms);
    return;
  }
  const auto* trial = std::get_if<suspect_trial_due>(&decision);
  exchange_.is_on_trial = trial != nullptr;
  const bool is_sent = trial != nullptr ? try_trial_server(*trial) : try_server();
  if (!is_sent) {
    fail_request(exchange_.found_full_server ? failure_reason::queue_full
                                             : failure_reason::no_server);
  }
}

bool
exchange_handler::identify_account()
{
  exchange_.priority = exchange_.rule->priority;
  if (!exchange_.table->has_accounts()) {
    return true;
  }
  if (!exchange_.account_key) {
    return exchange_.rule->allows_anonymous;
  }
  exchange_.account = exchange_.table->find_account(*exchange_.account_key);
  if (exchange_.account != nullptr) {
    exchange_.priority = exchange_.account->priority.value_or(exchange_.priority);
  }
  return exchange_.account != nullptr;
}

std::optional<caller_try>
exchange_handler::caller_try_of() const
{
  if (exchange_.account == nullptr || !exchange_.wait_ms) {
    return std::nullopt;
  }
  return caller_try{ exchange_.rule->name,
                     exchange_.account->name,
                     exchange_.started_at + *exchange_.wait_ms,
                     *exchange_.wait_ms };
}

void
exchange_handler::find_first_try()
{
  const std::optional<caller_try> request = caller_try_of();
  const std::optional<mono_ms> first =
    request ? proxy_.returning.take(*request) : std::optional<mono_ms>();
  if (first) {
    exchange_.first_asked_at = *first;
  }
}

bool
exchange_handler::is_within_quota()
{
  if (exchange_.account == nullptr) {
    return true;
  }
  const quota_decision decision = proxy_.quotas.decide(*exchange_.account, now_, proxy_.random);
  const auto* refused = std::get_if<quota_refused>(&decision);
  if (refused != nullptr) {
    count(counter_id::quota_refused);
    refuse(STATUS_TOO_MANY, failure_reason::over_quota, spread(refused->retry_after_ms));
    return false;
  }
  exchange_.counts_against_quota = true;
  return true;
}

void
exchange_handler::close(exchange_attempt_index attempt)
{
  exchange_attempt& ended = exchange_.attempts[attempt];
  ended.is_open = false;
  proxy_.tracker.record_ended(ended.node);
  if (!ended.other_region_name.empty()) {
    proxy_.congestion.record_ended(ended.other_region_name, ended.bytes);
  }
}

const std::optional<request_digests>&
exchange_handler::suspect_digests()
{
  if (!exchange_.digests && !proxy_.suspects->empty()) {
    const std::string* host = find_header(exchange_.head.headers, "Host");
    exchange_.digests = digest_request({ exchange_.head.method,
                                         host == nullptr ? "" : *host,
                                         exchange_.head.target,
                                         exchange_.body,
                                         proxy_.caller_service,
                                         exchange_.service });
  }
  return exchange_.digests;
}

suspect_decision
exchange_handler::decide_on_suspect()
{
  return suspect_digests() ? decide_suspect(*proxy_.suspects, *exchange_.digests, now_)
                           : suspect_decision{};
}

bool
exchange_handler::may_go_elsewhere()
{
  return !exchange_.is_on_trial && std::holds_alternative<suspect_may_run>(decide_on_suspect());
}

bool
exchange_handler::may_retry(outcome result)
{
  const bool is_safe = result == outcome::not_run || is_idempotent(exchange_.rule->kind);
  const bool is_suspect = result == outcome::unknown && suspect_digests() &&
                          !may_retry_suspect(*proxy_.suspects, *exchange_.digests);
  if (is_suspect || !may_go_elsewhere()) {
    return false;
  }
  const auto attempts_max = static_cast<std::size_t>(exchange_.rule->attempts_max);
  return is_safe && exchange_.delivered_attempts < attempts_max &&
         exchange_.deadline - now_ > REMAINING_TIME_MIN_MS &&
         proxy_.retry_budgets[exchange_.service].try_acquire(
           proxy_.limits, proxy_.view->size(), now_);
}

void
exchange_handler::operator()(const attempt_responded& event)
{
  if (!is_open(event.attempt)) {
    return;
  }
  close(event.attempt);
  record_transit(event.attempt, event.residence_ms);
  ++exchange_.delivered_attempts;
  const node_id& node = exchange_.attempts[event.attempt].node;
  const bool is_failure = event.head.status >= STATUS_INTERNAL_ERROR;
  proxy_.tracker.record_load(node, event.load, now_);
  // A gateway timeout does not count as a failure, because the server ran until the deadline.
  proxy_.tracker.record_result(
    node, is_failure && event.head.status != STATUS_GATEWAY_TIMEOUT, now_);
  if (is_failure && event.head.status != STATUS_GATEWAY_TIMEOUT) {
    exchange_.may_have_run = true;
    if (may_retry(outcome::unknown) && try_server()) {
      return;
    }
  }
  if (!is_failure) {
    record_bytes(event.body.size());
    record_service_time(event.service_time_ms);
  }
  count(counter_id::requests_answered);
  finish("answered", "server", event.head.status);
  effects_.emplace_back(send_response{ event.head, event.body });
}

void
exchange_handler::operator()(const attempt_failed& event)
{
  if (!is_open(event.attempt)) {
    return;
  }
  close(event.attempt);
  const node_id& node = exchange_.attempts[event.attempt].node;
  if (event.load) {
    record_transit(event.attempt, event.residence_ms);
    proxy_.tracker.record_load(node, *event.load, now_);
  }
  const bool is_node_lost = event.reason == failure_reason::link_lost ||
                            (event.reason == failure_reason::unreachable && !event.load);
  if (is_node_lost) {
    proxy_.tracker.record_unreachable(node, now_);
  }
  // A request that the server shed was delivered, although it did not run.
  const bool was_delivered =
    event.result == outcome::unknown || event.reason == failure_reason::shed;
  effects_.emplace_back(exchange_log{ log_event::retry,
                                      { { "request", exchange_.request_id },
                                        { "node", node },
                                        { "attempt", event.attempt },
                                        { "reason", enum_name(event.reason) },
                                        { "outcome", enum_name(event.result) },
                                        { "left_ms", exchange_.deadline - now_ } },
                                      false });
  if (!was_delivered) {
    exchange_.attempts[event.attempt].may_have_run = false;
    ++exchange_.rejected_attempts;
    record_retry_after(event.retry_after_ms);
    const bool is_closed = event.load && event.load->slots == 0;
    if (event.reason == failure_reason::queue_full && is_closed) {
      proxy_.tracker.record_closed(node, event.retry_after_ms, now_);
    } else if (event.reason == failure_reason::queue_full) {
      proxy_.tracker.record_full(node, exchange_.priority, event.retry_after_ms, now_);
    }
    const bool may_send_elsewhere =
      exchange_.rejected_attempts < REJECTED_ATTEMPTS_MAX &&
      event.reason != failure_reason::too_late && event.reason != failure_reason::crashes_servers &&
      may_go_elsewhere() && exchange_.deadline - now_ > REMAINING_TIME_MIN_MS;
    if (!may_send_elsewhere || !try_server()) {
      fail_request(event.reason);
    }
    return;
  }
  ++exchange_.delivered_attempts;
  proxy_.tracker.record_result(node, true, now_);
  if (event.result == outcome::unknown) {
    exchange_.may_have_run = true;
  } else {
    exchange_.attempts[event.attempt].may_have_run = false;
  }
  if (!may_retry(event.result) || !try_server()) {
    fail_request(event.reason);
  }
}

void
exchange_handler::fail_request(failure_reason reason)
{
  if (exchange_.may_have_run) {
    refuse(STATUS_BAD_GATEWAY, reason, 0);
    return;
  }
  // No attempt has run, so the caller may retry.
  const std::int64_t wait =
    exchange_.retry_after_ms > 0 ? exchange_.retry_after_ms : RETRY_AFTER_DEFAULT_MS;
  refuse(STATUS_UNAVAILABLE, reason, spread(wait));
}

std::int64_t
exchange_handler::spread(std::int64_t retry_after_ms)
{
  std::uniform_real_distribution<double> factor(1 - RETRY_AFTER_JITTER, 1 + RETRY_AFTER_JITTER);
  return std::llround(static_cast<double>(retry_after_ms) * factor(proxy_.random));
}

void
exchange_handler::record_retry_after(std::int64_t wait_ms)
{
  if (wait_ms > 0 && (exchange_.retry_after_ms == 0 || wait_ms < exchange_.retry_after_ms)) {
    exchange_.retry_after_ms = wait_ms;
  }
}

void
exchange_handler::record_transit(exchange_attempt_index attempt, std::int64_t residence_ms)
{
  const exchange_attempt& ended = exchange_.attempts[attempt];
  if (!ended.other_region_name.empty() && congestion_control::is_short(ended.bytes)) {
    proxy_.congestion.record_transit(
      ended.other_region_name, now_ - ended.sent_at - residence_ms, now_);
  }
}

void
exchange_handler::cancel_open_attempts()
{
  for (exchange_attempt_index i = 0; i < exchange_.attempts.size(); ++i) {
    if (exchange_.attempts[i].is_open) {
      effects_.emplace_back(cancel_exchange_attempt{ i });
      close(i);
    }
  }
}

void
exchange_handler::operator()(const exchange_expired& /*event*/)
{
  if (exchange_.is_done) {
    return;
  }
  cancel_open_attempts();
  refuse(STATUS_GATEWAY_TIMEOUT, failure_reason::timed_out, 0);
}

void
exchange_handler::operator()(const exchange_abandoned& /*event*/)
{
  if (exchange_.is_done) {
    return;
  }
  cancel_open_attempts();
  count(counter_id::requests_cancelled);
  finish("cancelled", "caller_left", 0);
}

void
exchange_handler::refuse(unsigned status, failure_reason reason, std::int64_t retry_after_ms)
{
  const bool is_not_run = status == STATUS_UNAVAILABLE || status == STATUS_NOT_FOUND ||
                          status == STATUS_UNAUTHORIZED || status == STATUS_TOO_MANY;
  count(is_not_run ? counter_id::requests_not_run : counter_id::requests_unknown);
  if (is_not_run && exchange_.counts_against_quota) {
    proxy_.quotas.give_back(*exchange_.account);
  }
  finish("refused", enum_name(reason), status);
  effects_.emplace_back(send_error_response{ status, reason, retry_after_ms });
}

void
exchange_handler::finish(std::string_view result, std::string_view reason, unsigned status)
{
  exchange_.is_done = true;
  const bool may_come_back = status == STATUS_TOO_MANY || status >= STATUS_INTERNAL_ERROR;
  if (const std::optional<caller_try> request = caller_try_of(); request && may_come_back) {
    proxy_.returning.record_failed(*request, exchange_.first_asked_at, now_);
  }
  std::vector<log_field> fields = { { "request", exchange_.request_id },
                                    { "result", result },
                                    { "status", status },
                                    { "reason", reason },
                                    { "ms", now_ - exchange_.started_at },
                                    { "attempts", exchange_.attempts.size() } };
  if (exchange_.first_asked_at < exchange_.started_at) {
    fields.push_back({ "returned_after_ms", exchange_.started_at - exchange_.first_asked_at });
  }
  if (exchange_.table) {
    fields.push_back({ "version", exchange_.table->version() });
  }
  if (exchange_.rule != nullptr) {
    fields.push_back({ "rule", exchange_.rule->name });
    fields.push_back({ "service", exchange_.service });
  }
  if (exchange_.account != nullptr) {
    fields.push_back({ "account", exchange_.account->name });
  }
  if (!exchange_.attempts.empty()) {
    fields.push_back({ "node", exchange_.attempts.back().node });
  }
  const bool is_routine = status >= STATUS_OK && status < STATUS_REDIRECT;
  if (exchange_.digests && !is_routine) {
    fields.push_back({ "digest", format_digest(exchange_.digests->exact) });
  }
  effects_.emplace_back(exchange_log{ log_event::request_done, std::move(fields), is_routine });
}

bool
outlasts_shutdown(const proxy_state& proxy, mono_ms deadline, mono_ms now)
{
  return proxy.shutdown && now >= proxy.shutdown->refuses_from &&
         deadline > proxy.shutdown->ends_at;
}

mono_ms
body_objective_at(const exchange_state& exchange)
{
  return exchange.started_at + exchange.rule->objective_ms;
}

void
set_peer_view(proxy_state& proxy, peer_view_ptr view, mono_ms now)
{
  proxy.view = std::move(view);
  if (proxy.rollouts->empty()) {
    proxy.servers = server_index(*proxy.view, proxy.self);
    proxy.target_servers = {};
    return;
  }
  const auto includes = [&](rollout_part part) {
    return [&proxy, part, now](const node_beacon& node) {
      return part_for_callers(find_rollout(*proxy.rollouts, node.server.service), node, now) ==
             part;
    };
  };
  proxy.servers = server_index(*proxy.view, proxy.self, includes(rollout_part::established));
  proxy.target_servers = server_index(*proxy.view, proxy.self, includes(rollout_part::target));
}

std::vector<exchange_effect>
handle_exchange_event(exchange_state& exchange,
                      const exchange_event& event,
                      proxy_state& proxy,
                      mono_ms now)
{
  exchange_handler handler(exchange, proxy, now);
  std::visit(handler, event);
  return handler.take_effects();
}

} // namespace shallotfield
