// The control thread: feeds events to the control state and performs its effects.
#include "control_thread_base.h"

#include <QHostAddress>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace leaf = boost::leaf;

namespace shallotfield {

/** Time limit for a control link to open. */
static constexpr int LINK_CONNECT_TIMEOUT_MS = 2000;

/** Bounds of the interval between control ticks. */
static constexpr std::int64_t TICK_INTERVAL_MIN_MS = 10;
static constexpr std::int64_t TICK_INTERVAL_MAX_MS = 100;

/** Control ticks in one heartbeat interval, unless the bounds above apply. */
static constexpr std::int64_t TICKS_PER_HEARTBEAT = 10;

/** Interval at which a leaving node checks whether its requests have finished. */
static constexpr int DRAIN_CHECK_INTERVAL_MS = 100;

/** Shortest time between the start of leaving and the end of the process: callers and peers learn
 * meanwhile that the node is leaving, before its ports close. */
static constexpr mono_ms LEAVE_GRACE_PERIOD_MS = 1000;

control_thread::control_thread(settings options)
  : options_(std::move(options))
{
}

control_thread::~control_thread()
{
  // Aborted calls to the log service still run their callbacks, which must not raise events.
  is_stopping_ = true;
  tick_timer_.stop();
  drain_check_timer_.stop();
  link_sockets_.clear();
}

leaf::result<std::uint16_t>
control_thread::open_port(listener& port, std::int64_t number, std::string_view key)
{
  const QHostAddress host(QString::fromStdString(options_.host));
  if (!port.listen(host, static_cast<quint16>(number))) {
    return leaf::new_error(setting_error{ std::string(key), setting_fault::bad_value });
  }
  return port.serverPort();
}

/** Logs that a port is open. Scripts read the port number from this line. */
static void
log_listening_port(std::string_view edge, const std::string& host, std::uint16_t port)
{
  write_log(log_event::listening, { { "edge", edge }, { "host", host }, { "port", port } });
}

leaf::result<void>
control_thread::start()
{
  const instant now = read_clocks();
  server_ = std::make_unique<server_thread>(options_);
  if (server_->port() == 0) {
    return leaf::new_error(setting_error{ "traffic_port", setting_fault::bad_value });
  }
  BOOST_LEAF_AUTO(control_port, open_port(control_port_, options_.control_port, "control_port"));
  BOOST_LEAF_AUTO(callers_port, open_port(callers_port_, options_.callers_port, "callers_port"));
  member_record own;
  own.id = options_.node_id;
  own.incarnation = static_cast<std::uint64_t>(now.unix);
  own.state = member_state::alive;
  own.region = options_.region;
  own.zone = options_.zone;
  own.control = { options_.host, control_port };
  own.traffic_port = server_->port();
  state_ = std::make_unique<control>(options_, own, now);
  operator_api_ = std::make_unique<operator_api>(options_, *state_);
  operator_api_->on_publish = [this](publish_requested&& event) { raise(event); };
  operator_api_->on_server_announced = [this](const announcement& item) {
    server_address_ = item.address;
    server_->set_server(item.address, item.info);
    raise(server_announced{ item.info });
  };
  operator_api_->on_drain = [this] { leave(); };
  const std::uint16_t operators = operator_api_->listen();
  if (operators == 0) {
    return leaf::new_error(setting_error{ "operators_port", setting_fault::bad_value });
  }
  log_ = std::make_unique<log_service_client>(options_.log_url, options_.log_timeout_ms);
  const member_view_ptr view = state_->members().build_view();
  server_->set_version(state_->config().current());
  server_->set_members(view);
  for (std::int64_t i = 0; i < options_.edge_threads; ++i) {
    edge_threads_.push_back(std::make_unique<edge_thread>(
      options_, static_cast<std::size_t>(i), state_->config().current(), view));
  }
  callers_port_.on_connection = [this](qintptr descriptor) {
    edge_threads_[next_edge_++ % edge_threads_.size()]->accept(descriptor);
  };
  control_port_.on_connection = [this](qintptr descriptor) { accept(descriptor); };
  log_listening_port("control", options_.host, control_port);
  log_listening_port("traffic", options_.host, server_->port());
  log_listening_port("operators", options_.host, operators);
  log_listening_port("callers", options_.host, callers_port);
  QObject::connect(&tick_timer_, &QTimer::timeout, &tick_timer_, [this] { raise(control_tick{}); });
  tick_timer_.start(static_cast<int>(std::clamp(
    options_.heartbeat_ms / TICKS_PER_HEARTBEAT, TICK_INTERVAL_MIN_MS, TICK_INTERVAL_MAX_MS)));
  QObject::connect(
    &drain_check_timer_, &QTimer::timeout, &drain_check_timer_, [this] { check_drained(); });
  write_log(
    log_event::started,
    { { "node", options_.node_id }, { "zone", options_.zone }, { "region", options_.region } });
  raise(control_tick{});
  return {};
}

void
control_thread::raise(const control_event& event)
{
  if (is_stopping_) {
    return;
  }
  for (const control_effect& effect : state_->handle(event, read_clocks())) {
    perform(effect);
  }
}

void
control_thread::perform(const control_effect& effect)
{
  std::visit(overloaded{
               [&](const open_link& item) { open(item); },
               [&](const close_link& item) { close_link_socket(item.link); },
               [&](const send_control& item) { send(item); },
               [&](const read_log& item) { read(item); },
               [&](const append_log& item) { append(item); },
               [&](const send_publish_result& item) { operator_api_->store_publish_result(item); },
               [&](const apply_version& item) {
                 server_->set_version(item.version);
                 for (const auto& edge : edge_threads_) {
                   edge->set_version(item.version);
                 }
               },
               [&](const apply_members& item) {
                 server_->set_members(item.view);
                 for (const auto& edge : edge_threads_) {
                   edge->set_members(item.view);
                 }
                 // When the announcement of the local server expires, the control state changes
                 // only this node's member record, so the server thread is told here.
                 server_->set_server(server_address_, state_->members().own().server);
               },
               [&](const apply_lease& item) { server_->set_lease(item.until); },
               [&](const write_log_line& item) { write_log(item.event, item.fields); },
             },
             effect);
}

void
control_thread::set_link_callbacks(link_id id, framed_socket& socket)
{
  socket.on_frame = [this, id](frame&& received) { handle_frame(id, std::move(received)); };
  socket.on_end = [this, id](link_close_reason why) {
    close_link_socket(id);
    raise(link_ended{ id, why });
  };
}

void
control_thread::open(const open_link& effect)
{
  auto socket = std::make_unique<framed_socket>(
    frame_limits{ CONTROL_FRAME_BYTES_MAX, CONTROL_FRAME_BYTES_MAX });
  set_link_callbacks(effect.link, *socket);
  socket->on_open = [this, id = effect.link] { raise(link_opened{ id, true }); };
  socket->connect_to(effect.to, LINK_CONNECT_TIMEOUT_MS);
  link_sockets_[effect.link] = std::move(socket);
}

void
control_thread::accept(qintptr descriptor)
{
  const link_id id = next_accepted_link_;
  next_accepted_link_ += 2;
  auto socket = std::make_unique<framed_socket>(
    frame_limits{ CONTROL_FRAME_BYTES_MAX, CONTROL_FRAME_BYTES_MAX });
  set_link_callbacks(id, *socket);
  socket->accept(descriptor);
  link_sockets_[id] = std::move(socket);
  raise(link_opened{ id, false });
}

void
control_thread::close_link_socket(link_id id)
{
  const auto found = link_sockets_.find(id);
  if (found == link_sockets_.end()) {
    return;
  }
  std::shared_ptr<framed_socket> socket = std::move(found->second);
  link_sockets_.erase(found);
  socket->close();
  // The timer's function owns the socket until it fires: the last bytes still have to be sent, and
  // this code may run inside a callback of the socket. A link that is still connecting
  // sends them when it opens, which takes LINK_CONNECT_TIMEOUT_MS at most.
  QTimer::singleShot(LINK_CONNECT_TIMEOUT_MS, &tick_timer_, [socket] {});
}

void
control_thread::handle_frame(link_id id, frame&& received)
{
  const auto socket = link_sockets_.find(id);
  if (socket == link_sockets_.end()) {
    return;
  }
  count(counter_id::control_bytes_read, received.head.size() + received.payload.size());
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(message, parse_control(received));
      raise(message_arrived{ id, std::move(message) });
      return {};
    },
    [&](const frame_error& error) { socket->second->refuse(error); },
    [&] { socket->second->refuse({ frame_fault::bad_message }); });
}

void
control_thread::send(const send_control& effect)
{
  const auto socket = link_sockets_.find(effect.link);
  if (socket != link_sockets_.end()) {
    const std::string bytes = encode_control(effect.message);
    count(counter_id::control_bytes_sent, bytes.size());
    if (effect.crosses_region) {
      count(counter_id::region_bytes_sent, bytes.size());
    }
    socket->second->send(bytes);
  }
}

void
control_thread::read(const read_log& effect)
{
  log_->read(effect.stream,
             effect.from,
             effect.limit,
             effect.wait_ms,
             [this, purpose = effect.purpose](log_service_result call_result) {
               raise(log_call_completed{ purpose, 0, std::move(call_result) });
             });
}

void
control_thread::append(const append_log& effect)
{
  log_->append(
    effect.stream,
    effect.bytes,
    [this, purpose = effect.purpose, publish = effect.publish](log_service_result call_result) {
      raise(log_call_completed{ purpose, publish, std::move(call_result) });
    });
}

void
control_thread::leave()
{
  if (leaving_since_ != 0) {
    std::size_t open_count = server_->open_requests();
    for (const auto& edge : edge_threads_) {
      open_count += edge->open_requests();
    }
    write_log(log_event::draining, { { "state", "cut" }, { "open", open_count } });
    on_stopped();
    return;
  }
  leaving_since_ = read_clocks().mono;
  raise(leave_requested{ /*is_drained=*/false });
  server_->start_draining();
  for (const auto& edge : edge_threads_) {
    edge->start_draining();
  }
  drain_check_timer_.start(DRAIN_CHECK_INTERVAL_MS);
}

void
control_thread::check_drained()
{
  const mono_ms elapsed_ms = read_clocks().mono - leaving_since_;
  if (elapsed_ms < LEAVE_GRACE_PERIOD_MS) {
    return;
  }
  std::size_t open_count = server_->open_requests();
  for (const auto& edge : edge_threads_) {
    open_count += edge->open_requests();
  }
  const bool has_timed_out =
    options_.drain_timeout_ms > 0 && elapsed_ms > options_.drain_timeout_ms;
  if (open_count > 0 && !has_timed_out) {
    return;
  }
  drain_check_timer_.stop();
  raise(leave_requested{ /*is_drained=*/true });
  write_log(log_event::stopped, { { "node", options_.node_id }, { "cut", open_count } });
  // Leaves time for the goodbye messages to be sent.
  QTimer::singleShot(DRAIN_CHECK_INTERVAL_MS, &tick_timer_, [this] { on_stopped(); });
}

} // namespace shallotfield
