// Implements the state machine of one request at its caller's edge.
#include "call_policy.h"
#include "key_policy.h"

#include <charconv>

namespace shallotfield {

/** Longest timeout that a caller may request. */
static constexpr std::int64_t TIMEOUT_MAX_MS = 3'600'000;

namespace {

/** Handles one event of a request and collects the effects. */
class call_handler
{
public:
  call_handler(call_state& call, edge_state& edge, mono_ms now)
    : call_(call)
    , edge_(edge)
    , now_(now)
  {
  }

  void operator()(const call_started& event);
  void operator()(const attempt_head& event);
  void operator()(const attempt_data& event);
  void operator()(const attempt_end& event);
  void operator()(const call_attempt_failed& event);
  void operator()(const deadline_passed& event);
  void operator()(const hedge_delay_elapsed& event);
  void operator()(const call_abandoned& event);
  void operator()(const response_bytes_written& event);

  /** Returns the collected effects, in the order in which to perform them. */
  std::vector<call_effect> take_effects() { return std::move(effects_); }

private:
  /** Picks a server that was not tried yet and sends the request to it. Returns false if no server
   * can be picked. */
  bool try_server();
  /** Marks an attempt as closed and removes it from the in-flight count of its server. */
  void close_attempt(call_attempt& attempt);
  /** Returns whether an attempt is open. */
  bool is_open(attempt_index attempt) const;
  /** Cancels all open attempts except the given one, if any. */
  void cancel_others(std::optional<attempt_index> kept);
  /** Returns whether any attempt is open. */
  bool has_open_attempt() const;
  /** Records a failure of a server, and logs it if the server is ejected. */
  void record_failure(const node_id& node);
  /** Ends the request with an error response. */
  void refuse(failure_reason reason, outcome result);
  /** Ends a request whose response has already begun, by aborting the caller's connection. */
  void abort_response(failure_reason reason);
  /** Logs the outcome and marks the request as done. */
  void finish(std::string_view result, std::string_view reason);
  /** Adds an effect. */
  void add(call_effect effect) { effects_.push_back(std::move(effect)); }
  /** Adds a log line that begins with the id of the request. */
  void log(log_event event, std::vector<log_field> fields);
  /** Returns the time until the deadline. */
  mono_ms time_left() const { return call_.deadline - now_; }

  call_state& call_;                 ///< The request.
  edge_state& edge_;                 ///< State shared with the other requests of the thread.
  mono_ms now_;                      ///< Current time.
  std::vector<call_effect> effects_; ///< The effects so far.
};

/** Reads the timeout that a caller requests, in ms. Returns nothing if the header is absent or not
 * a number from 1 to TIMEOUT_MAX_MS; the timeout of the service applies then. */
std::optional<std::int64_t>
requested_timeout_ms(const request_head& head)
{
  const std::string* text = find_header(head.headers, TIMEOUT_HEADER);
  if (text == nullptr) {
    return std::nullopt;
  }
  std::int64_t value = 0;
  const auto [end, fault] = std::from_chars(text->data(), text->data() + text->size(), value);
  const bool is_valid = fault == std::errc{} && end == text->data() + text->size();
  if (!is_valid || value < 1 || value > TIMEOUT_MAX_MS) {
    return std::nullopt;
  }
  return value;
}

void
call_handler::log(log_event event, std::vector<log_field> fields)
{
  fields.insert(fields.begin(), { "request", call_.id });
  add(log_line{ event, std::move(fields) });
}

void
call_handler::operator()(const call_started& event)
{
  call_.started_at = now_;
  if (const std::string* customer = find_header(call_.head.headers, CUSTOMER_HEADER)) {
    call_.customer = *customer;
  }
  if (event.is_draining) {
    refuse(failure_reason::draining, outcome::not_run);
    return;
  }
  call_.route = decide_route(*call_.version, call_.head, edge_.random);
  if (!call_.route) {
    log(log_event::route, { { "version", call_.version->number }, { "reason", "no_route" } });
    refuse(failure_reason::no_route, outcome::not_run);
    return;
  }
  log(log_event::route,
      { { "version", call_.version->number },
        { "route", call_.route->route },
        { "service", call_.route->service },
        { "idempotent", call_.route->is_idempotent ? "yes" : "no" } });
  const std::string* key = find_header(call_.head.headers, KEY_HEADER);
  // The key of an idempotent request is ignored, because the request may run more than once.
  if (key != nullptr && !call_.route->is_idempotent) {
    // No home can have run a malformed key, so it doesn't count as one.
    if (!key_created_at(*key)) {
      refuse(failure_reason::key_malformed, outcome::not_run);
      return;
    }
    call_.key = *key;
  }
  const std::int64_t timeout =
    requested_timeout_ms(call_.head).value_or(call_.route->spec.timeout_ms);
  call_.deadline = now_ + timeout;
  edge_.budgets[call_.route->service].deposit(call_.route->spec.retry_percent);
  add(start_timer{ timeout, deadline_passed{} });
  if (call_.route->is_idempotent && call_.route->spec.hedge_after_ms > 0) {
    add(start_timer{ call_.route->spec.hedge_after_ms, hedge_delay_elapsed{} });
  }
  if (!try_server()) {
    refuse(failure_reason::no_server, outcome::not_run);
  }
}

bool
call_handler::try_server()
{
  pick_request request{ call_.route->service, call_.route->spec.kind, call_.key, {} };
  for (const call_attempt& attempt : call_.attempts) {
    request.excluded.insert(attempt.node);
  }
  const std::optional<pick_decision> pick = pick_server(
    *call_.version, *edge_.view, edge_.stats_table, edge_.self, request, now_, edge_.random);
  if (!pick) {
    return false;
  }
  const attempt_index attempt = call_.attempts.size();
  const server_stats& stats = edge_.stats_table.stats(pick->server->id);
  log(log_event::pick,
      { { "attempt", attempt },
        { "service", call_.route->service },
        { "server", pick->server->id },
        { "reason", enum_name(pick->reason) },
        { "in_flight", stats.in_flight },
        { "reported", stats.load.running + stats.load.waiting } });
  call_.attempts.push_back({ pick->server->id, now_, true });
  edge_.stats_table.record_sent(pick->server->id);
  call_open message;
  message.head = call_.head;
  message.service = call_.route->service;
  message.kind = call_.route->spec.kind;
  message.is_idempotent = call_.route->is_idempotent;
  message.key = call_.key;
  message.customer = call_.customer;
  message.region = edge_.view->members.at(edge_.self).region;
  message.timeout_ms = time_left();
  message.version = call_.version->number;
  message.window_bytes = edge_.window_bytes;
  message.body = call_.body;
  add(open_attempt{ attempt, pick->server->id, std::move(message) });
  return true;
}

void
call_handler::close_attempt(call_attempt& attempt)
{
  if (attempt.is_open) {
    attempt.is_open = false;
    edge_.stats_table.record_ended(attempt.node);
  }
}

bool
call_handler::is_open(attempt_index attempt) const
{
  return !call_.is_done && attempt < call_.attempts.size() && call_.attempts[attempt].is_open;
}

bool
call_handler::has_open_attempt() const
{
  return std::any_of(call_.attempts.begin(), call_.attempts.end(), [](const call_attempt& item) {
    return item.is_open;
  });
}

void
call_handler::cancel_others(std::optional<attempt_index> kept)
{
  for (attempt_index i = 0; i < call_.attempts.size(); ++i) {
    if (call_.attempts[i].is_open && (!kept || i != *kept)) {
      add(cancel_attempt{ i });
      close_attempt(call_.attempts[i]);
    }
  }
}

void
call_handler::operator()(const attempt_head& event)
{
  if (!is_open(event.attempt) || call_.winner) {
    return; // The caller gets the response of another attempt, or no longer wants one.
  }
  const call_attempt& attempt = call_.attempts[event.attempt];
  edge_.stats_table.record_response(
    attempt.node, static_cast<double>(now_ - attempt.sent_at), event.load, now_);
  call_.winner = event.attempt;
  cancel_others(event.attempt);
  response_head head = event.head;
  std::erase_if(head.headers,
                [](const http_header& header) { return header.name == OUTCOME_HEADER; });
  head.headers.push_back(
    { std::string(OUTCOME_HEADER), std::string(enum_name(outcome::answered)) });
  add(send_head{ std::move(head) });
}

void
call_handler::operator()(const attempt_data& event)
{
  if (is_open(event.attempt) && call_.winner == event.attempt) {
    call_.received_bytes += event.bytes.size();
    add(send_data{ event.bytes });
  }
}

void
call_handler::operator()(const attempt_end& event)
{
  if (!is_open(event.attempt) || call_.winner != event.attempt) {
    return;
  }
  call_attempt& attempt = call_.attempts[event.attempt];
  edge_.stats_table.record_load(attempt.node, event.load, now_);
  close_attempt(attempt);
  if (event.total_bytes != call_.received_bytes) {
    abort_response(failure_reason::response_truncated);
    return;
  }
  add(finish_response{});
  finish(enum_name(outcome::answered), "complete");
}

void
call_handler::record_failure(const node_id& node)
{
  if (edge_.stats_table.record_failure(node, now_)) {
    log(log_event::ejection, { { "server", node }, { "reason", "failures" } });
  }
}

void
call_handler::operator()(const call_attempt_failed& event)
{
  if (!is_open(event.attempt)) {
    return;
  }
  call_attempt& attempt = call_.attempts[event.attempt];
  close_attempt(attempt);
  if (event.has_load) {
    edge_.stats_table.record_load(attempt.node, event.load, now_);
  }
  // Only these reasons count against the server. Most others are refusals by a healthy one.
  const bool is_failure = event.reason == failure_reason::unreachable ||
                          event.reason == failure_reason::link_lost ||
                          event.reason == failure_reason::server_lost;
  if (is_failure) {
    record_failure(attempt.node);
  }
  call_.may_have_run = call_.may_have_run || event.result != outcome::not_run;
  if (call_.winner == event.attempt) {
    abort_response(event.reason);
    return;
  }
  if (has_open_attempt()) {
    return; // Another attempt is open and may still be answered.
  }
  const retry_verdict verdict = decide_retry(
    { event.reason, event.result, call_.route->is_idempotent, call_.attempts.size(), time_left() },
    edge_.budgets[call_.route->service]);
  log(log_event::retry,
      { { "attempt", event.attempt },
        { "server", attempt.node },
        { "refusal", enum_name(event.reason) },
        { "verdict", enum_name(verdict) } });
  if (verdict == retry_verdict::allowed) {
    count(counter_id::retries);
    if (try_server()) {
      return;
    }
  }
  refuse(event.reason, call_.may_have_run ? outcome::unknown : outcome::not_run);
}

void
call_handler::operator()(const deadline_passed& /*event*/)
{
  if (call_.is_done) {
    return;
  }
  if (call_.winner) {
    cancel_others(std::nullopt);
    abort_response(failure_reason::timed_out);
    return;
  }
  const bool was_sent = has_open_attempt() || call_.may_have_run;
  for (const call_attempt& attempt : call_.attempts) {
    if (attempt.is_open) {
      record_failure(attempt.node);
    }
  }
  cancel_others(std::nullopt);
  refuse(failure_reason::timed_out, was_sent ? outcome::unknown : outcome::not_run);
}

void
call_handler::operator()(const hedge_delay_elapsed& /*event*/)
{
  const bool is_useful = !call_.is_done && !call_.winner && !call_.is_hedge_considered &&
                         call_.attempts.size() < ATTEMPTS_MAX && time_left() > 0;
  if (!is_useful) {
    return;
  }
  call_.is_hedge_considered = true;
  const bool has_budget = edge_.budgets[call_.route->service].try_withdraw();
  log(log_event::hedge, { { "verdict", has_budget ? "sent" : "budget_spent" } });
  if (has_budget && try_server()) {
    count(counter_id::hedges);
  }
}

void
call_handler::operator()(const call_abandoned& /*event*/)
{
  if (call_.is_done) {
    return;
  }
  cancel_others(std::nullopt);
  count(counter_id::requests_cancelled);
  finish("cancelled", enum_name(failure_reason::cancelled));
}

void
call_handler::operator()(const response_bytes_written& event)
{
  if (call_.winner && is_open(*call_.winner)) {
    add(grant_credit{ *call_.winner, event.bytes });
  }
}

void
call_handler::refuse(failure_reason reason, outcome result)
{
  // A refusal that does not come from the home of the key tells nothing about earlier requests with
  // it, and callers may use a new key after "not run".
  // Before routing, it is not known whether the key would be ignored.
  const bool has_key =
    call_.route ? !call_.key.empty() : find_header(call_.head.headers, KEY_HEADER) != nullptr;
  const bool may_have_run_before = has_key && !failure_response_of(reason).rules_out_key;
  if (may_have_run_before) {
    result = outcome::unknown;
  }
  count(result == outcome::not_run ? counter_id::requests_not_run : counter_id::requests_unknown);
  add(refuse_caller{ reason, result });
  finish(enum_name(result), enum_name(reason));
}

void
call_handler::abort_response(failure_reason reason)
{
  count(counter_id::requests_unknown);
  add(abort_connection{});
  finish(enum_name(outcome::unknown), enum_name(reason));
}

void
call_handler::finish(std::string_view result, std::string_view reason)
{
  call_.is_done = true;
  if (result == enum_name(outcome::answered)) {
    count(counter_id::requests_answered);
  }
  const std::string server = call_.winner ? call_.attempts[*call_.winner].node : std::string("-");
  log(log_event::request_done,
      { { "outcome", result },
        { "reason", reason },
        { "server", server },
        { "attempts", call_.attempts.size() },
        { "bytes", call_.received_bytes },
        { "ms", now_ - call_.started_at } });
  add(call_done{});
}

} // namespace

std::vector<call_effect>
handle_call_event(call_state& call, const call_event& event, edge_state& edge, mono_ms now)
{
  call_handler handler(call, edge, now);
  std::visit(handler, event);
  return handler.take_effects();
}

} // namespace shallotfield
