// An edge thread: callers and the links on which their requests are forwarded.
#include "edge_thread_base.h"

#include <boost/leaf/handle_errors.hpp>

namespace leaf = boost::leaf;

namespace shallotfield {

/** Time limit for a traffic link to open. */
static constexpr int LINK_CONNECT_TIMEOUT_MS = 1000;

edge_thread::edge_thread(const settings& options,
                         std::size_t index,
                         compiled_version_ptr version,
                         member_view_ptr view)
  : options_(options)
  , request_prefix_(options.node_id + "." + std::to_string(index) + "." +
                    std::to_string(read_clocks().unix) + ".")
  , version_(std::move(version))
{
  edge_.self = options.node_id;
  edge_.view = std::move(view);
  edge_.random.seed(static_cast<std::uint64_t>(read_clocks().unix) + index);
  edge_.window_bytes = options.stream_window_bytes;
  thread_.run_and_wait([this] { context_ = std::make_unique<QObject>(); });
}

edge_thread::~edge_thread()
{
  thread_.run_and_wait([this] {
    callers_.clear();
    links_.clear();
    context_.reset();
  });
}

void
edge_thread::accept(qintptr descriptor)
{
  thread_.post([this, descriptor] { accept_on_thread(descriptor); });
}

void
edge_thread::set_version(compiled_version_ptr version)
{
  thread_.post([this, version = std::move(version)] { version_ = version; });
}

void
edge_thread::set_members(member_view_ptr view)
{
  thread_.post([this, view = std::move(view)] {
    edge_.view = view;
    edge_.stats_table.remove_departed(*view);
  });
}

std::size_t
edge_thread::open_requests()
{
  std::size_t total = 0;
  thread_.run_and_wait([this, &total] {
    total = static_cast<std::size_t>(
      std::count_if(callers_.begin(), callers_.end(), [](const auto& item) {
        return item.second.call != nullptr || item.second.session->unsent_bytes() > 0;
      }));
  });
  return total;
}

void
edge_thread::start_draining()
{
  thread_.post([this] { is_draining_ = true; });
}

void
edge_thread::accept_on_thread(qintptr descriptor)
{
  const caller_id id = next_caller_++;
  caller& added = callers_[id];
  added.session = std::make_unique<http_session>(
    descriptor, static_cast<std::uint64_t>(options_.body_limit_bytes));
  added.session->on_request = [this, id](http_request&& request) {
    handle_request(id, std::move(request));
  };
  added.session->on_written = [this, id] { replenish_credit(id); };
  added.session->on_disconnected = [this, id] {
    const auto found = callers_.find(id);
    found->second.is_gone = true;
    raise(id, found->second.generation, call_abandoned{});
    remove_caller(id);
  };
}

void
edge_thread::remove_caller(caller_id id)
{
  // This may run inside a callback of the session, so it is deleted from the event loop.
  QMetaObject::invokeMethod(
    context_.get(), [this, id] { callers_.erase(id); }, Qt::QueuedConnection);
}

void
edge_thread::handle_request(caller_id id, http_request&& request)
{
  caller& owner = callers_.at(id);
  ++owner.generation;
  owner.attempts.clear();
  owner.pending_credit_bytes = 0;
  owner.call = std::make_unique<call_state>();
  owner.call->id = request_prefix_ + std::to_string(next_request_++);
  owner.call->head = std::move(request.head);
  owner.call->body = std::move(request.body);
  owner.call->version = version_;
  raise(id, owner.generation, call_started{ is_draining_ });
}

void
edge_thread::raise(caller_id id, std::uint64_t generation, const call_event& event)
{
  const auto found = callers_.find(id);
  if (found == callers_.end() || !found->second.call || found->second.generation != generation) {
    return;
  }
  const std::vector<call_effect> effects =
    handle_call_event(*found->second.call, event, edge_, read_clocks().mono);
  for (const call_effect& effect : effects) {
    perform(id, effect);
  }
}

void
edge_thread::perform(caller_id id, const call_effect& effect)
{
  caller& owner = callers_.at(id);
  std::visit(overloaded{
               [&](const open_attempt& item) { open(id, item); },
               [&](const cancel_attempt& item) { send_cancel(owner, item); },
               [&](const grant_credit& item) { send_credit(owner, item); },
               [&](const send_head& item) { owner.session->start_response(item.head); },
               [&](const send_data& item) {
                 owner.pending_credit_bytes += static_cast<std::int64_t>(item.bytes.size());
                 owner.session->send_body(item.bytes);
               },
               [&](const finish_response&) { owner.session->finish_response(); },
               [&](const refuse_caller& item) { send_failure_response(owner, item); },
               [&](const abort_connection&) { owner.session->abort(); },
               [&](const start_timer& item) {
                 const std::uint64_t generation = owner.generation;
                 QTimer::singleShot(
                   static_cast<int>(item.delay_ms),
                   context_.get(),
                   [this, id, generation, event = item.event] { raise(id, generation, event); });
               },
               [&](const log_line& item) { write_log(item.event, item.fields); },
               [&](const call_done&) { end_call(id); },
             },
             effect);
}

void
edge_thread::end_call(caller_id id)
{
  caller& owner = callers_.at(id);
  observe_request_seconds(static_cast<double>(read_clocks().mono - owner.call->started_at) / 1000);
  for (const auto& [name, call] : owner.attempts) {
    const auto link = links_.find(name);
    if (link != links_.end()) {
      link->second.calls.erase(call);
    }
  }
  owner.call.reset();
}

edge_thread::traffic_link&
edge_thread::get_or_open_link(const std::string& name, const member_record& node)
{
  traffic_link& link = links_[name];
  if (!link.socket) {
    link.socket = std::make_unique<framed_socket>(
      frame_limits{ TRAFFIC_HEAD_BYTES_MAX, CONTROL_FRAME_BYTES_MAX });
    link.socket->on_frame = [this, name](frame&& received) {
      handle_frame(name, std::move(received));
    };
    link.socket->on_end = [this, name](link_close_reason why) { handle_link_end(name, why); };
    link.socket->connect_to({ node.control.host, node.traffic_port }, LINK_CONNECT_TIMEOUT_MS);
  }
  return link;
}

void
edge_thread::open(caller_id id, const open_attempt& effect)
{
  caller& owner = callers_.at(id);
  const auto node = edge_.view->members.find(effect.node);
  const std::string name = effect.node + "/" + std::to_string(node->second.incarnation) + "/" +
                           std::string(enum_name(effect.message.kind));
  traffic_link& link = get_or_open_link(name, node->second);
  call_open message = effect.message;
  message.id = link.next_call++;
  link.calls[message.id] = { id, owner.generation, effect.attempt };
  owner.attempts.emplace_back(name, message.id);
  link.socket->send(encode_traffic(message));
}

void
edge_thread::send_cancel(caller& owner, const cancel_attempt& effect)
{
  const auto& [name, call] = owner.attempts.at(effect.attempt);
  const auto link = links_.find(name);
  if (link != links_.end() && link->second.calls.erase(call) > 0) {
    link->second.socket->send(encode_traffic(call_cancel{ call }));
  }
}

void
edge_thread::send_credit(caller& owner, const grant_credit& effect)
{
  const auto& [name, call] = owner.attempts.at(effect.attempt);
  const auto link = links_.find(name);
  if (link != links_.end()) {
    link->second.socket->send(encode_traffic(call_credit{ call, effect.bytes, {}, 0 }));
  }
}

void
edge_thread::replenish_credit(caller_id id)
{
  caller& owner = callers_.at(id);
  const std::int64_t written_bytes = owner.pending_credit_bytes - owner.session->unsent_bytes();
  // Credit is granted in steps of at least a quarter of the window, to keep the messages few.
  if (written_bytes < edge_.window_bytes / 4) {
    return;
  }
  owner.pending_credit_bytes -= written_bytes;
  raise(id, owner.generation, response_bytes_written{ written_bytes });
}

void
edge_thread::send_failure_response(caller& owner, const refuse_caller& effect)
{
  const failure_response& row = failure_response_of(effect.reason);
  static constexpr unsigned BAD_GATEWAY = 502;
  // The row of the failure reason gives a status that is valid only with the outcome of that row.
  // With any other outcome, for example because an earlier attempt may have run, the caller gets
  // 502. The status of a fault of the request itself stays, since it is true of this request.
  static constexpr unsigned SERVER_ERROR_MIN = 500;
  const bool keeps_status = effect.result == row.result || row.status < SERVER_ERROR_MIN;
  const unsigned status = keeps_status ? row.status : BAD_GATEWAY;
  std::vector<http_header> headers = {
    { std::string(OUTCOME_HEADER), std::string(enum_name(effect.result)) },
    { std::string(REASON_HEADER), std::string(enum_name(effect.reason)) },
  };
  if (row.retry_after_s > 0 && effect.result == outcome::not_run) {
    headers.push_back({ "Retry-After", std::to_string(row.retry_after_s) });
  }
  owner.session->respond(status, headers, "");
}

void
edge_thread::handle_frame(const std::string& name, frame&& received)
{
  traffic_link& link = links_.at(name);
  std::optional<frame_error> parse_error; // If it is set, the message is only a placeholder.
  const traffic_message message =
    leaf::try_handle_all([&] { return parse_traffic(std::move(received)); },
                         [&](const frame_error& error) {
                           parse_error = error;
                           return traffic_message(call_cancel{});
                         },
                         [&] {
                           parse_error = frame_error{ frame_fault::bad_message };
                           return traffic_message(call_cancel{});
                         });
  if (parse_error) {
    link.socket->refuse(*parse_error);
    return;
  }
  const call_id call = std::visit([](const auto& item) { return item.id; }, message);
  const auto found = link.calls.find(call);
  if (found == link.calls.end()) {
    return; // A late message of a call that was cancelled or has ended.
  }
  const response_target target = found->second;
  const auto raise_attempt_event = [&](const call_event& event) {
    raise(target.owner, target.generation, event);
  };
  std::visit(overloaded{
               [&](const call_response_head& item) {
                 raise_attempt_event(attempt_head{ target.attempt, item.head, item.load });
               },
               [&](const call_response_data& item) {
                 raise_attempt_event(attempt_data{ target.attempt, item.bytes });
               },
               [&](const call_response_end& item) {
                 link.calls.erase(call);
                 raise_attempt_event(attempt_end{ target.attempt, item.total_bytes, item.load });
               },
               [&](const call_failed& item) {
                 link.calls.erase(call);
                 raise_attempt_event(call_attempt_failed{
                   target.attempt, item.reason, item.result, item.load, true });
               },
               [](const auto&) {},
             },
             message);
}

void
edge_thread::handle_link_end(const std::string& name, link_close_reason why)
{
  const auto found = links_.find(name);
  // This runs inside a callback of the socket, so it is deleted from the event loop.
  std::shared_ptr<framed_socket> socket = std::move(found->second.socket);
  QMetaObject::invokeMethod(
    context_.get(), [socket] {}, Qt::QueuedConnection);
  const auto calls = std::move(found->second.calls);
  links_.erase(found);
  // Requests on a link that was never open have not reached the other node, so they have not run.
  const bool was_never_sent = why == link_close_reason::not_connected;
  for (const auto& [call, target] : calls) {
    raise(
      target.owner,
      target.generation,
      call_attempt_failed{ target.attempt,
                           was_never_sent ? failure_reason::unreachable : failure_reason::link_lost,
                           was_never_sent ? outcome::not_run : outcome::unknown,
                           {},
                           false });
  }
}

} // namespace shallotfield
