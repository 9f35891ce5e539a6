// The server thread: idempotency keys. The home node of a key runs its request at most once and
// replays the response to repeated requests. A former home is a node that may have been the home
// before the eligible servers of the service changed.
#include "server_thread_base.h"

#include <boost/leaf/handle_errors.hpp>

namespace leaf = boost::leaf;

namespace shallotfield {

/** Time limit for connecting to a former home of a key, and for its reply. */
static constexpr int KEY_QUERY_TIMEOUT_MS = 500;

void
server_thread::deny_key(ticket id, failure_reason reason)
{
  write_log(log_event::key_decision,
            { { "key", calls_.at(id).request.key },
              { "verdict", "denied" },
              { "reason", enum_name(reason) } });
  fail_call(id, reason, failure_response_of(reason).result, 0);
}

void
server_thread::look_up_key(ticket id)
{
  server_call& call = calls_.at(id);
  const key_lookup found =
    keys_.handle_arrival(call.request.key, fingerprint(call.request), id, read_clocks().mono);
  std::visit(overloaded{
               [&](const key_new&) {
                 call.is_key_owner = true;
                 decide_key_permission(id);
               },
               [&](const key_replay& item) {
                 count(counter_id::key_repeats);
                 write_log(log_event::key_decision,
                           { { "key", call.request.key }, { "verdict", "replayed" } });
                 replay(id, item.response);
               },
               [&](const key_joined&) {
                 write_log(log_event::key_decision,
                           { { "key", call.request.key }, { "verdict", "joined" } });
               },
               [&](const key_denied& item) { deny_key(id, item.reason); },
             },
             found);
}

void
server_thread::decide_key_permission(ticket id)
{
  const server_call& call = calls_.at(id);
  const instant now = read_clocks();
  const key_permission permission = view_ && version_
                                      ? decide_key(*view_,
                                                   options_.node_id,
                                                   call.request.service,
                                                   call.request.key,
                                                   version_->content.blocked_servers,
                                                   lease_until_ > now.mono,
                                                   now.unix,
                                                   { options_.key_window_ms, options_.settle_ms })
                                      : key_permission(key_denied{ failure_reason::stale });
  std::visit(overloaded{
               [&](const key_allowed&) {
                 write_log(log_event::key_decision,
                           { { "key", call.request.key }, { "verdict", "allowed" } });
                 request_admission(id);
               },
               [&](const key_confirmation_needed& item) {
                 write_log(log_event::key_decision,
                           { { "key", call.request.key },
                             { "verdict", "consult" },
                             { "former", item.former.size() } });
                 query_former_homes(id, item.former);
               },
               [&](const key_denied& item) { deny_key(id, item.reason); },
             },
             permission);
}

void
server_thread::query_former_homes(ticket id, const std::vector<node_id>& former)
{
  const std::string key = calls_.at(id).request.key;
  calls_.at(id).open_queries = former.size();
  for (const node_id& node : former) {
    const member_record& record = view_->members.at(node);
    const std::uint64_t query_id = next_id_++;
    key_home_query& query = key_queries_[query_id];
    query.waiting_call = id;
    query.socket = std::make_unique<framed_socket>(
      frame_limits{ TRAFFIC_HEAD_BYTES_MAX, TRAFFIC_HEAD_BYTES_MAX });
    query.socket->on_frame = [this, query_id](frame&& received) {
      const key_claim claim = leaf::try_handle_all(
        [&]() -> leaf::result<key_claim> {
          BOOST_LEAF_AUTO(message, parse_traffic(std::move(received)));
          const auto* reply = std::get_if<key_reply>(&message);
          return reply != nullptr ? reply->claim : key_claim::seen;
        },
        [] { return key_claim::seen; });
      finish_key_query(query_id, claim);
    };
    query.socket->on_end = [this, query_id](link_close_reason) {
      finish_key_query(query_id, key_claim::seen);
    };
    query.socket->connect_to({ record.control.host, record.traffic_port }, KEY_QUERY_TIMEOUT_MS);
    query.socket->send(encode_traffic(key_query{ query_id, key }));
    QTimer::singleShot(KEY_QUERY_TIMEOUT_MS, timer_.get(), [this, query_id] {
      finish_key_query(query_id, key_claim::seen);
    });
  }
}

void
server_thread::finish_key_query(std::uint64_t query_id, key_claim claim)
{
  const auto found = key_queries_.find(query_id);
  if (found == key_queries_.end()) {
    return;
  }
  const ticket id = found->second.waiting_call;
  defer_delete(std::shared_ptr<framed_socket>(std::move(found->second.socket)));
  key_queries_.erase(found);
  const auto call = calls_.find(id);
  if (call == calls_.end()) {
    return;
  }
  if (claim == key_claim::seen) {
    // A missing reply counts as seen, since a node that does not reply may have run the key.
    fail_call(id, failure_reason::key_unresolved, outcome::unknown, 0);
    return;
  }
  if (--call->second.open_queries == 0) {
    request_admission(id);
  }
}

void
server_thread::handle_key_query(session_id id, const key_query& query)
{
  // An earlier process of this node may have run a key that is older than this process.
  const key_claim claim = can_rule_out_execution(query.key, started_)
                            ? keys_.query(query.key, read_clocks().mono)
                            : key_claim::seen;
  write_log(log_event::key_decision,
            { { "key", query.key }, { "verdict", "queried" }, { "claim", enum_name(claim) } });
  sessions_.at(id).socket->send(encode_traffic(key_reply{ query.id, claim }));
}

void
server_thread::record_key_outcome(ticket id, failure_reason reason, outcome result)
{
  server_call& call = calls_.at(id);
  if (!call.is_key_owner) {
    return;
  }
  call.is_key_owner = false;
  switch (result) {
    case outcome::answered: {
      const std::optional<cached_response> response = call.response_copy;
      finish_joined(keys_.record_completion(call.request.key, *response), response, reason, result);
      break;
    }
    case outcome::not_run:
      finish_joined(keys_.release(call.request.key), std::nullopt, reason, result);
      break;
    case outcome::unknown:
      // A request that never got a slot has not run here, so a later request with its key may run.
      finish_joined(call.is_admitted ? keys_.mark_unresolved(call.request.key)
                                     : keys_.release(call.request.key),
                    std::nullopt,
                    reason,
                    result);
      break;
  }
}

void
server_thread::finish_joined(const std::vector<ticket>& joined,
                             const std::optional<cached_response>& response,
                             failure_reason reason,
                             outcome result)
{
  for (const ticket id : joined) {
    if (!calls_.contains(id)) {
      continue;
    }
    if (!response) {
      fail_call(id, reason, result, 0);
    } else if (response->body.size() <= CACHED_RESPONSE_BYTES_MAX) {
      replay(id, *response);
    } else {
      // The copy of a response that exceeds the limit is incomplete.
      fail_call(id, failure_reason::key_unresolved, outcome::unknown, 0);
    }
  }
}

void
server_thread::replay(ticket id, const cached_response& response)
{
  const server_call& call = calls_.at(id);
  const load_report load = admission_.report(read_clocks().mono);
  send(call, call_response_head{ call.request.id, response.head, load });
  if (!response.body.empty()) {
    send(call, call_response_data{ call.request.id, response.body });
  }
  send(call, call_response_end{ call.request.id, response.body.size(), load });
  const auto session = sessions_.find(call.session);
  if (session != sessions_.end()) {
    session->second.calls.erase(call.request.id);
  }
  calls_.erase(id);
}

} // namespace shallotfield
