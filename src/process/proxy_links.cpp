// The traffic thread of a proxy: links to and from other proxies.
#include "proxy_traffic_base.h"

#include <boost/asio/post.hpp>

namespace shallotfield {

/** Time limit for connecting a link. It covers several round trips between regions. */
static constexpr std::int64_t LINK_CONNECT_TIMEOUT_MS = 600;

/** Time without any bytes on a link with open calls after which a ping is sent to check whether the
 * link still works. Also the interval of this check. */
static constexpr std::int64_t PING_IDLE_MS = 400;

/** Time without any bytes after a ping, after which a link is closed as broken. A peer that is only
 * slow responds within this time. */
static constexpr std::int64_t PONG_TIMEOUT_MS = 1500;

/** Time after which a call may be sent again for whose body there was no memory. */
static constexpr std::int64_t NO_MEMORY_RETRY_AFTER_MS = 1000;

/** Maximum size of a frame on a link. The largest request and the largest response fit into it. */
static constexpr std::size_t LINK_FRAME_BYTES_MAX = 80U << 20U;

std::string
proxy_traffic::link_name_of(const node_id& node, request_kind kind)
{
  // Large messages use a separate link, so that short ones do not have to wait for them.
  const bool is_large = kind == request_kind::download || kind == request_kind::upload;
  return node + (is_large ? "/bulk" : "/short");
}

proxy_traffic::peer_link&
proxy_traffic::get_or_open_link(const node_id& node, request_kind kind)
{
  const std::string name = link_name_of(node, kind);
  peer_link& link = links_[name];
  if (!link.stream) {
    link.node = node;
    link.stream = std::make_shared<peer_stream>(context_, LINK_FRAME_BYTES_MAX, budget_);
    link.stream->on_body_dropped = [this, name](traffic_message&& message) {
      fail_dropped_response(name, message);
    };
    link.stream->on_message = [this, name](traffic_message&& message) {
      handle_link_message(name, std::move(message));
    };
    link.stream->on_end = [this, name](stream_close_reason why) { handle_link_end(name, why); };
    const std::string& host = proxy_.view->at(node).host;
    link.stream->connect({ host, options_.peers_port }, LINK_CONNECT_TIMEOUT_MS);
  }
  return link;
}

void
proxy_traffic::schedule_link_check(const std::string& name)
{
  peer_link& link = links_.at(name);
  if (!link.is_check_scheduled) {
    link.is_check_scheduled = true;
    timers_.schedule(PING_IDLE_MS, [this, name] { check_link(name); });
  }
}

void
proxy_traffic::check_link(const std::string& name)
{
  const auto found = links_.find(name);
  if (found == links_.end()) {
    return;
  }
  peer_link& link = found->second;
  link.is_check_scheduled = false;
  if (link.calls.empty()) {
    link.ping_sent_at = 0;
    return;
  }
  const mono_ms now = read_clocks().mono;
  const mono_ms silence = now - link.stream->last_received_at();
  if (link.stream->last_received_at() >= link.ping_sent_at) {
    link.ping_sent_at = 0;
  }
  if (link.ping_sent_at != 0 && now - link.ping_sent_at > PONG_TIMEOUT_MS) {
    write_log(log_event::link_closed,
              { { "link", name },
                { "why", "silent" },
                { "silence_ms", silence },
                { "pinged_ms", now - link.ping_sent_at } });
    const peer_stream_ptr stream = link.stream;
    stream->abort();
    handle_link_end(name, stream_close_reason::broken);
    return;
  }
  if (link.stream->is_open() && silence >= PING_IDLE_MS && link.ping_sent_at == 0) {
    link.ping_sent_at = now;
    link.stream->send(link_ping{ 0 });
  }
  schedule_link_check(name);
}

void
proxy_traffic::handle_link_message(const std::string& name, traffic_message&& message)
{
  const auto found = links_.find(name);
  if (found == links_.end()) {
    return;
  }
  peer_link& link = found->second;
  std::visit(
    overloaded{
      [&](call_full_response& item) {
        const auto call = link.calls.find(item.id);
        if (call == link.calls.end()) {
          return; // The call was cancelled, and its response arrived late.
        }
        const auto [exchange, attempt] = call->second;
        take_offer(link, item.id);
        link.calls.erase(call);
        raise(exchange,
              attempt_responded{ attempt,
                                 std::move(item.head),
                                 std::move(item.body),
                                 item.load,
                                 item.residence_ms,
                                 item.service_time_ms });
      },
      [&](const call_failed& item) {
        const auto call = link.calls.find(item.id);
        if (call == link.calls.end()) {
          return;
        }
        const auto [exchange, attempt] = call->second;
        take_offer(link, item.id);
        link.calls.erase(call);
        raise(
          exchange,
          attempt_failed{
            attempt, item.reason, item.result, item.retry_after_ms, item.load, item.residence_ms });
      },
      [&](const call_credit& item) { handle_grant(name, item); },
      [](const auto&) {}, // A pong needs no handling: its bytes already show that the link works.
    },
    message);
}

void
proxy_traffic::fail_dropped_response(const std::string& name, const traffic_message& message)
{
  const auto* response = std::get_if<call_full_response>(&message);
  if (response != nullptr) {
    handle_link_message(name,
                        call_failed{ response->id,
                                     failure_reason::response_truncated,
                                     outcome::unknown,
                                     0,
                                     response->load,
                                     response->residence_ms });
  }
}

void
proxy_traffic::refuse_dropped_call(session_id id, const traffic_message& message)
{
  const auto* call = std::get_if<call_open>(&message);
  if (call != nullptr) {
    send_to_session(id,
                    call_failed{ call->id,
                                 failure_reason::queue_full,
                                 outcome::not_run,
                                 NO_MEMORY_RETRY_AFTER_MS,
                                 current_load(),
                                 0 });
  }
}

void
proxy_traffic::handle_link_end(const std::string& name, stream_close_reason why)
{
  const auto found = links_.find(name);
  if (found == links_.end()) {
    return;
  }
  const peer_link ended = std::move(found->second);
  links_.erase(found);
  const bool was_connected = why != stream_close_reason::not_connected;
  write_log(log_event::link_closed,
            { { "link", name }, { "why", enum_name(why) }, { "open_calls", ended.calls.size() } });
  for (const auto& [call, offer] : ended.offers) {
    if (offer.fallback) {
      timers_.cancel(*offer.fallback);
    }
  }
  for (const auto& [call, target] : ended.calls) {
    // A call whose body was only offered can't have run.
    const bool was_sent = was_connected && !ended.offers.contains(call);
    raise(target.first,
          attempt_failed{ target.second,
                          was_sent ? failure_reason::link_lost : failure_reason::unreachable,
                          was_sent ? outcome::unknown : outcome::not_run,
                          0,
                          std::nullopt,
                          0 });
  }
}

void
proxy_traffic::add_session(boost::asio::ip::tcp::socket&& socket)
{
  const session_id id = next_id_++;
  peer_session& session = sessions_[id];
  session.stream = std::make_shared<peer_stream>(context_, LINK_FRAME_BYTES_MAX, budget_);
  session.stream->on_body_dropped = [this, id](traffic_message&& message) {
    refuse_dropped_call(id, message);
  };
  session.stream->on_message = [this, id](traffic_message&& message) {
    handle_session_message(id, std::move(message));
  };
  session.stream->on_end = [this, id](stream_close_reason) { end_session(id); };
  session.stream->accept(std::move(socket));
}

void
proxy_traffic::handle_session_message(session_id id, traffic_message&& message)
{
  const auto found = sessions_.find(id);
  if (found == sessions_.end()) {
    return;
  }
  peer_session& session = found->second;
  std::visit(overloaded{
               [&](call_open& item) {
                 raise_intake_event(intake_arrived{ { id, item.id } });
                 // The call is queued only after all bytes that arrived with it have been read,
                 // because a cancellation of the call may be among them.
                 session.pending_calls.emplace(item.id, std::move(item));
                 if (session.pending_calls.size() > 1) {
                   return;
                 }
                 if (pauses_.was_paused(read_clocks().mono)) {
                   timers_.schedule(AFTER_PAUSE_DELAY_MS,
                                    [this, id] { enqueue_pending_calls(id); });
                 } else {
                   boost::asio::post(context_, [this, id] { enqueue_pending_calls(id); });
                 }
               },
               [&](const call_cancel& item) {
                 drop_held_response(id, item.id);
                 raise_intake_event(intake_withdrawn{ { id, item.id } });
                 const auto call = session.calls.find(item.id);
                 if (session.pending_calls.erase(item.id) == 0 && call != session.calls.end()) {
                   cancel_server_request(call->second);
                 }
               },
               [&](const call_credit& item) { handle_offer(id, item); },
               [&](const link_ping& item) { send_to_session(id, link_pong{ item.id }); },
               [](const auto&) {},
             },
             message);
}

void
proxy_traffic::enqueue_pending_calls(session_id id)
{
  const auto found = sessions_.find(id);
  if (found == sessions_.end()) {
    return;
  }
  std::map<call_id, call_open> calls;
  calls.swap(found->second.pending_calls);
  for (auto& [call, request] : calls) {
    add_server_request(peer_origin{ id, call }, std::move(request));
  }
}

void
proxy_traffic::end_session(session_id id)
{
  const auto found = sessions_.find(id);
  if (found == sessions_.end()) {
    return;
  }
  const auto calls = std::move(found->second.calls);
  sessions_.erase(found);
  bulk_pacer_.remove(id);
  raise_intake_event(intake_session_ended{ id });
  for (const auto& [call, ticket] : calls) {
    cancel_server_request(ticket);
  }
}

} // namespace shallotfield
