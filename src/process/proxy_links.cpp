// Links between proxies.
#include "proxy_traffic_base.h"

namespace shallotfield {

/** Time for a link to open; several round trips between regions. */
static constexpr std::int64_t LINK_CONNECT_TIMEOUT_MS = 600;

/** Silence on a link with open calls after which a ping asks whether it still works. */
static constexpr std::int64_t PING_AFTER_MS = 400;

/** Silence after which a link with open calls is given up: a peer that is slow but alive has
 * answered a ping by then. */
static constexpr std::int64_t LINK_SILENCE_MAX_MS = 1500;

/** Largest frame on a link; the largest request and the largest answer fit. */
static constexpr std::size_t LINK_FRAME_BYTES_MAX = 80U << 20U;

proxy_traffic::peer_link&
proxy_traffic::link_to(const node_id& node, request_kind kind)
{
  // Downloads have a link of their own, so that short answers don't wait behind them.
  const std::string name = node + (kind == request_kind::download ? "/bulk" : "/short");
  peer_link& link = links_[name];
  if (!link.stream) {
    link.node = node;
    link.stream = std::make_shared<peer_stream>(context_, LINK_FRAME_BYTES_MAX);
    link.stream->on_message = [this, name](traffic_message&& message) {
      take_link_message(name, std::move(message));
    };
    link.stream->on_end = [this, name](stream_end why) { end_link(name, why); };
    const std::string& host = proxy_.view->at(node).host;
    link.stream->connect({ host, options_.peers_port }, LINK_CONNECT_TIMEOUT_MS);
  }
  return link;
}

void
proxy_traffic::watch_link(const std::string& name)
{
  peer_link& link = links_.at(name);
  if (!link.is_watched) {
    link.is_watched = true;
    timers_.schedule(PING_AFTER_MS, [this, name] { check_link(name); });
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
  link.is_watched = false;
  if (link.calls.empty()) {
    link.is_pinged = false;
    return;
  }
  const mono_ms silence = read_clocks().mono - link.stream->heard_at();
  if (link.stream->is_open() && silence > LINK_SILENCE_MAX_MS && link.is_pinged) {
    write_log(log_event::link_closed,
              { { "link", name }, { "why", "silent" }, { "silence_ms", silence } });
    const peer_stream_ptr stream = link.stream;
    stream->abort();
    end_link(name, stream_end::broken);
    return;
  }
  if (link.stream->is_open() && silence >= PING_AFTER_MS) {
    link.is_pinged = true;
    link.stream->send(link_ping{ 0 });
  } else {
    link.is_pinged = false;
  }
  watch_link(name);
}

void
proxy_traffic::take_link_message(const std::string& name, traffic_message&& message)
{
  const auto found = links_.find(name);
  if (found == links_.end()) {
    return;
  }
  peer_link& link = found->second;
  std::visit(
    overloaded{
      [&](answer_whole& item) {
        const auto call = link.calls.find(item.id);
        if (call == link.calls.end()) {
          return; // A late answer to a call that was given up.
        }
        const auto [exchange, attempt] = call->second;
        link.calls.erase(call);
        raise(exchange,
              attempt_answered{ attempt, std::move(item.head), std::move(item.body), item.load });
      },
      [&](const call_refused& item) {
        const auto call = link.calls.find(item.id);
        if (call == link.calls.end()) {
          return;
        }
        const auto [exchange, attempt] = call->second;
        link.calls.erase(call);
        raise(exchange,
              attempt_failed{ attempt, item.reason, item.result, item.retry_after_ms, item.load });
      },
      [](const auto&) {}, // A pong has done its work by arriving.
    },
    message);
}

void
proxy_traffic::end_link(const std::string& name, stream_end why)
{
  const auto found = links_.find(name);
  if (found == links_.end()) {
    return;
  }
  const peer_link ended = std::move(found->second);
  links_.erase(found);
  const bool was_sent = why != stream_end::not_connected;
  write_log(log_event::link_closed,
            { { "link", name }, { "why", enum_name(why) }, { "open_calls", ended.calls.size() } });
  for (const auto& [call, target] : ended.calls) {
    raise(target.first,
          attempt_failed{ target.second,
                          was_sent ? refusal::link_lost : refusal::unreachable,
                          was_sent ? outcome::unknown : outcome::not_run,
                          0,
                          std::nullopt });
  }
}

void
proxy_traffic::add_session(boost::asio::ip::tcp::socket&& socket)
{
  const session_id id = next_id_++;
  peer_session& session = sessions_[id];
  session.stream = std::make_shared<peer_stream>(context_, LINK_FRAME_BYTES_MAX);
  session.stream->on_message = [this, id](traffic_message&& message) {
    take_session_message(id, std::move(message));
  };
  session.stream->on_end = [this, id](stream_end) { end_session(id); };
  session.stream->accept(std::move(socket));
}

void
proxy_traffic::take_session_message(session_id id, traffic_message&& message)
{
  const auto found = sessions_.find(id);
  if (found == sessions_.end()) {
    return;
  }
  peer_session& session = found->second;
  std::visit(overloaded{
               [&](call_open& item) {
                 const call_id call = item.id;
                 add_job(peer_origin{ id, call }, std::move(item));
               },
               [&](const call_cancel& item) {
                 const auto call = session.calls.find(item.id);
                 if (call != session.calls.end()) {
                   cancel_job(call->second);
                 }
               },
               [&](const link_ping& item) { session.stream->send(link_pong{ item.id }); },
               [](const auto&) {},
             },
             message);
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
  for (const auto& [call, ticket] : calls) {
    cancel_job(ticket);
  }
}

} // namespace shallotfield
