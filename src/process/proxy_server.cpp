// The traffic thread of a proxy: requests to the local backend server and their responses.
#include "platform/platform.h"
#include "proxy_traffic_base.h"

namespace shallotfield {

/** Time limit for connecting to the server, which runs on the same VM. */
static constexpr std::int64_t SERVER_CONNECT_TIMEOUT_MS = 500;

/** Idle time after which a connection is not reused, because servers close idle connections without
 * notice. */
static constexpr mono_ms IDLE_CONNECTION_MAX_MS = 1500;

/** The same for requests that may run at most once. It is shorter because such a request cannot be
 * retried if the server resets the connection. */
static constexpr mono_ms IDLE_CONNECTION_MAX_AT_MOST_ONCE_MS = 300;

/** Time from the deadline of a request until it is ended here if the proxy of the caller has not
 * cancelled it. Without it, the request could be ended here first, and the proxy of the caller
 * would then respond with status 502 instead of 504 and count a failure against the server. */
static constexpr std::int64_t DEADLINE_GRACE_MS = 150;

/** Interval at which the slot queue refuses waiting requests that can no longer start in time. */
static constexpr std::int64_t QUEUE_CHECK_INTERVAL_MS = 50;

static constexpr unsigned STATUS_MISDIRECTED = 421;
static constexpr unsigned STATUS_INTERNAL_ERROR = 500;
static constexpr unsigned STATUS_GATEWAY_TIMEOUT = 504;

slot_ticket
proxy_traffic::add_server_request(const request_origin& origin, call_open&& call)
{
  const mono_ms now = read_clocks().mono;
  const auto* local = std::get_if<local_origin>(&origin);
  const slot_ticket id = local != nullptr ? call.id : next_id_++;
  server_request& request = server_requests_[id];
  request.origin = origin;
  request.arrived_at = now;
  request.deadline = now + call.timeout_ms;
  request.request_id = platform::read_caller_fields(call.head).request_id;
  request.call = std::move(call);
  if (const auto* peer = std::get_if<peer_origin>(&origin)) {
    sessions_.at(peer->session).calls[peer->call] = id;
  }
  update_load_counters();
  // The sending proxy may have an outdated view of this node: after the view was last updated, the
  // address to which it sent the request may have been assigned to another service, or the server
  // may have been replaced.
  const bool is_intended_server =
    request.call.service == server_.service &&
    (request.call.instance.empty() || request.call.instance == server_.instance);
  if (!is_intended_server) {
    fail_server_request(id, failure_reason::no_server, outcome::not_run, 0);
    return id;
  }
  // The proxy of the caller may not know yet that servers crash on the request.
  check_suspect(id);
  if (!server_requests_.contains(id)) {
    return id;
  }
  if (outlasts_shutdown(proxy_, request.deadline, now)) {
    fail_server_request(id, failure_reason::draining, outcome::not_run, 0);
    return id;
  }
  if (refuse_if_server_is_closed(id)) {
    return id;
  }
  const load_report load = current_load();
  if (!rollout_gate_.try_admit({ load.running + load.waiting, server_.slots }, now)) {
    count(counter_id::rollout_refusals);
    fail_server_request(id, failure_reason::queue_full, outcome::not_run, 0);
    return id;
  }
  // The response to a download has to wait for those before it. If it would be late even if the
  // server started it now, it is refused at once.
  const bool is_bulk = local == nullptr && request.call.kind == work_class::bulk;
  const std::int64_t delivery_ms = is_bulk ? bulk_pacer_.backlog_ms() : 0;
  const bool is_too_late = delivery_ms > 0 && static_cast<double>(now + delivery_ms) +
                                                  slots_.expected_ms(request.call.work) >
                                                static_cast<double>(request.deadline);
  if (is_too_late) {
    count(counter_id::refused_at_server);
    fail_server_request(id, failure_reason::queue_full, outcome::not_run, delivery_ms);
    return id;
  }
  // Where callers have accounts, a request without one is a call of a server. The configuration may
  // be older than that of the proxy of the caller, so that an account may be unknown here.
  const bool has_accounts = table_ && table_->has_accounts();
  const slot_arrival arrival{ id,
                              request.call.work,
                              request.call.priority,
                              now + request.call.objective_ms - delivery_ms,
                              request.deadline - delivery_ms,
                              request.call.fleet_service_ms,
                              request.call.customer,
                              has_accounts ? table_->share_weight_of(request.call.customer) : 1,
                              has_accounts && request.call.customer.empty() };
  request.timeout = timers_.schedule(request.call.timeout_ms + DEADLINE_GRACE_MS,
                                     [this, id] { expire_server_request(id); });
  raise_slot_event(arrival);
  return id;
}

void
proxy_traffic::raise_slot_event(const slot_event& event)
{
  const bool had_waiting = slots_.has_waiting();
  for (const slot_effect& effect : slots_.handle(event, read_clocks().mono)) {
    std::visit(overloaded{
                 [&](const slot_start& item) { start_server_request(item.id); },
                 [&](const slot_refuse& item) {
                   log_slot_refusal(item);
                   count(counter_id::refused_at_server);
                   fail_server_request(item.id, item.reason, outcome::not_run, item.retry_after_ms);
                 },
               },
               effect);
  }
  // A check is scheduled when a first request has to wait, and after each check while any still
  // wait.
  if (slots_.has_waiting() && !had_waiting) {
    timers_.schedule(QUEUE_CHECK_INTERVAL_MS, [this] { raise_slot_event(slot_tick{}); });
  } else if (slots_.has_waiting() && std::holds_alternative<slot_tick>(event)) {
    timers_.schedule(QUEUE_CHECK_INTERVAL_MS, [this] { raise_slot_event(slot_tick{}); });
  }
}

server_stream_ptr
proxy_traffic::acquire_server_stream(bool is_idempotent)
{
  const mono_ms now = read_clocks().mono;
  while (!idle_streams_.empty()) {
    const idle_stream latest = std::move(idle_streams_.back());
    idle_streams_.pop_back();
    if (now - latest.since <=
        (is_idempotent ? IDLE_CONNECTION_MAX_MS : IDLE_CONNECTION_MAX_AT_MOST_ONCE_MS)) {
      return latest.stream;
    }
    latest.stream->abort();
  }
  return std::make_shared<server_stream>(
    context_, options_.server_address, SERVER_CONNECT_TIMEOUT_MS, response_memory_);
}

void
proxy_traffic::release_server_stream(server_stream_ptr stream)
{
  stream->on_idle_end = [this, key = stream.get()] {
    std::erase_if(idle_streams_,
                  [key](const idle_stream& item) { return item.stream.get() == key; });
  };
  // An idle connection has no request, so the callbacks that handle a response are removed.
  stream->is_mismatched = nullptr;
  stream->on_response = nullptr;
  stream->on_failed = nullptr;
  idle_streams_.push_back({ std::move(stream), read_clocks().mono });
}

void
proxy_traffic::start_server_request(slot_ticket id)
{
  const auto found = server_requests_.find(id);
  if (found == server_requests_.end()) {
    return;
  }
  server_request& request = found->second;
  const mono_ms now = read_clocks().mono;
  request.started_at = now;
  if (options_.learns_server_limit) {
    request.limited = server_limit_.record_start(slots_.report().running, now);
    apply_server_limit();
  }
  count(counter_id::admitted);
  rollout_gate_.record_sent();
  update_evidence();
  log_suspect(request);
  raise_crash_event(request_sent{ id });
  request_head head = request.call.head;
  platform::write_server_fields(head,
                                { std::max<std::int64_t>(request.deadline - now, 1),
                                  request.call.instance,
                                  request.call.caller_service,
                                  request.call.customer });
  request.stream = acquire_server_stream(request.call.is_idempotent);
  // The stream calls is_mismatched for each response, and discards those that belong to another
  // request.
  request.stream->is_mismatched = [request_id = request.request_id](const response_head& response) {
    return platform::classify_response(response, request_id) ==
           platform::response_verdict::mismatched;
  };
  request.stream->on_response = [this, id](server_response&& response, bool is_reusable) {
    handle_server_response(id, std::move(response), is_reusable);
  };
  request.stream->on_failed = [this, id](http_client_error why) { handle_server_failure(id, why); };
  request.stream->on_idle_end = nullptr;
  request.stream->send(head, request.call.body);
}

void
proxy_traffic::handle_server_response(slot_ticket id, server_response&& response, bool is_reusable)
{
  const auto found = server_requests_.find(id);
  if (found == server_requests_.end()) {
    return;
  }
  server_request& request = found->second;
  const platform::response_verdict verdict =
    platform::classify_response(response.head, request.request_id);
  const server_stream_ptr stream = std::move(request.stream);
  // A server may send a second copy of a response. One that names no request, such as a refusal,
  // could be taken for the response to the next request on the connection.
  const bool has_name = platform::names_request(response.head, request.request_id);
  if (is_reusable && has_name && verdict != platform::response_verdict::invalid) {
    release_server_stream(stream);
  } else {
    stream->abort();
  }
  const bool is_rejection = verdict == platform::response_verdict::not_run &&
                            response.head.status != STATUS_MISDIRECTED &&
                            read_clocks().mono < request.deadline;
  // The limit is updated first, so that a server that rejects everything gets no further request.
  if (verdict == platform::response_verdict::valid) {
    raise_limit_event(limit_completed{ request.limited });
  } else if (is_rejection) {
    raise_limit_event(limit_rejected{ request.limited });
  } else {
    raise_limit_event(limit_inconclusive{ request.limited });
  }
  raise_slot_event(slot_finished{ id, verdict == platform::response_verdict::valid });
  if (verdict == platform::response_verdict::invalid) {
    raise_crash_event(request_inconclusive{ id });
  } else if (verdict == platform::response_verdict::valid) {
    const bool has_succeeded = response.head.status < STATUS_INTERNAL_ERROR;
    raise_crash_event(
      request_survived{ identity_of(request), id, request.started_at, has_succeeded });
  }
  if (verdict == platform::response_verdict::valid ||
      verdict == platform::response_verdict::invalid) {
    // At its deadline a server gives up a request, whatever its version.
    rollout_gate_.record_answer(request.call.work,
                                verdict == platform::response_verdict::invalid ||
                                  (response.head.status >= STATUS_INTERNAL_ERROR &&
                                   response.head.status != STATUS_GATEWAY_TIMEOUT));
    update_evidence();
  }
  if (verdict == platform::response_verdict::not_run) {
    fail_server_request(id, failure_reason::shed, outcome::not_run, 0);
    return;
  }
  if (verdict != platform::response_verdict::valid) {
    fail_server_request(id, failure_reason::response_truncated, outcome::unknown, 0);
    return;
  }
  const mono_ms now = read_clocks().mono;
  memory_lease lease(budget_);
  if (!lease.try_resize(response.body.size(), now)) {
    count(counter_id::responses_without_memory);
    fail_server_request(id, failure_reason::response_truncated, outcome::unknown, 0);
    return;
  }
  const shared_body body(std::move(response.body), std::move(lease));
  const load_report report = current_load();
  const std::int64_t residence_ms = now - request.arrived_at;
  const std::int64_t service_time_ms = now - request.started_at;
  const bool is_bulk = request.call.kind == work_class::bulk;
  const request_origin origin = request.origin;
  std::visit(
    overloaded{
      [&](const local_origin& from) {
        end_server_request(id);
        raise(
          from.exchange,
          attempt_responded{
            from.attempt, std::move(response.head), body, report, residence_ms, service_time_ms });
      },
      [&](const peer_origin& from) {
        const call_full_response message{ from.call,    std::move(response.head), report, body,
                                          residence_ms, service_time_ms };
        if (is_bulk) {
          send_bulk_to_session(from.session, message);
        } else {
          send_to_session(from.session, message);
        }
        end_server_request(id);
      },
    },
    origin);
}

void
proxy_traffic::handle_server_failure(slot_ticket id, http_client_error why)
{
  const auto found = server_requests_.find(id);
  if (found == server_requests_.end()) {
    return;
  }
  found->second.stream.reset();
  raise_limit_event(limit_inconclusive{ found->second.limited });
  raise_slot_event(slot_finished{ id, false });
  if (why == http_client_error::cut || why == http_client_error::malformed) {
    rollout_gate_.record_answer(found->second.call.work, true);
    update_evidence();
  }
  if (why == http_client_error::never_sent) {
    raise_crash_event(connection_failed{});
  } else if (why == http_client_error::malformed) {
    raise_crash_event(request_inconclusive{ id });
  } else {
    raise_crash_event(request_lost{ identity_of(found->second), id, found->second.started_at });
  }
  switch (why) {
    case http_client_error::never_sent:
      if (on_server_unreachable) {
        on_server_unreachable();
      }
      fail_server_request(id, failure_reason::unreachable, outcome::not_run, 0);
      break;
    case http_client_error::no_response:
      fail_server_request(id, failure_reason::server_lost, outcome::unknown, 0);
      break;
    case http_client_error::cut:
    case http_client_error::malformed:
      fail_server_request(id, failure_reason::response_truncated, outcome::unknown, 0);
      break;
  }
}

void
proxy_traffic::fail_server_request(slot_ticket id,
                                   failure_reason reason,
                                   outcome result,
                                   std::int64_t retry_after_ms)
{
  const auto found = server_requests_.find(id);
  if (found == server_requests_.end()) {
    return;
  }
  if (result == outcome::not_run) {
    raise_crash_event(request_inconclusive{ id });
  }
  const load_report report = current_load();
  const std::int64_t residence_ms = read_clocks().mono - found->second.arrived_at;
  const request_origin origin = found->second.origin;
  std::visit(
    overloaded{
      [&](const local_origin& from) {
        end_server_request(id);
        raise(from.exchange,
              attempt_failed{ from.attempt, reason, result, retry_after_ms, report, residence_ms });
      },
      [&](const peer_origin& from) {
        send_to_session(
          from.session,
          call_failed{ from.call, reason, result, retry_after_ms, report, residence_ms });
        end_server_request(id);
      },
    },
    origin);
}

void
proxy_traffic::cancel_server_request(slot_ticket id)
{
  const auto found = server_requests_.find(id);
  if (found == server_requests_.end()) {
    return;
  }
  if (found->second.stream) {
    found->second.stream->abort();
    raise_limit_event(limit_inconclusive{ found->second.limited });
    raise_crash_event(
      request_abandoned{ identity_of(found->second), id, found->second.started_at });
  } else {
    raise_crash_event(request_inconclusive{ id });
  }
  end_server_request(id);
  raise_slot_event(slot_cancelled{ id });
}

void
proxy_traffic::expire_server_request(slot_ticket id)
{
  const auto found = server_requests_.find(id);
  if (found == server_requests_.end()) {
    return;
  }
  found->second.timeout.reset();
  const bool was_sent = found->second.stream != nullptr;
  if (was_sent) {
    found->second.stream->abort();
    raise_limit_event(limit_timed_out{ found->second.limited });
    raise_crash_event(
      request_abandoned{ identity_of(found->second), id, found->second.started_at });
  }
  fail_server_request(
    id, failure_reason::timed_out, was_sent ? outcome::unknown : outcome::not_run, 0);
  if (was_sent) {
    raise_slot_event(slot_timed_out{ id });
  } else {
    raise_slot_event(slot_cancelled{ id });
  }
}

void
proxy_traffic::end_server_request(slot_ticket id)
{
  const auto found = server_requests_.find(id);
  if (found == server_requests_.end()) {
    return;
  }
  if (found->second.timeout) {
    timers_.cancel(*found->second.timeout);
  }
  if (const auto* peer = std::get_if<peer_origin>(&found->second.origin)) {
    const auto session = sessions_.find(peer->session);
    if (session != sessions_.end()) {
      session->second.calls.erase(peer->call);
    }
  }
  server_requests_.erase(found);
  update_load_counters();
}

} // namespace shallotfield
