// The control thread of a proxy: timer ticks, beacons and shutdown.
#include "proxy_node_base.h"

#include <QHostAddress>
#include <QNetworkDatagram>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <random>

namespace leaf = boost::leaf;

namespace shallotfield {

/** Interval at which timeouts are checked. */
static constexpr int TICK_INTERVAL_MS = 100;

/** If more time than this passes between two ticks, the process is taken to have been paused. */
static constexpr mono_ms PAUSE_THRESHOLD_MS = 1500;

/** Number of heartbeat intervals without a heartbeat after which the server counts as down. */
static constexpr std::int64_t DOWN_AFTER_MISSED_HEARTBEATS = 4;

/** Interval at which the number of dropped log lines is logged. */
static constexpr mono_ms DROPPED_LINES_REPORT_INTERVAL_MS = 10'000;

/** Time for which changes are collected before they are sent to peers together. */
static constexpr int URGENT_COALESCE_MS = 5;

/** Time from the start of the shutdown until peers are told to send no more requests. Requests that
 * arrive before this can still be answered before the process ends, so the peers are not told
 * sooner. */
static constexpr mono_ms LEAVE_ANNOUNCEMENT_DELAY_MS = 2000;

/** Time from the start of the shutdown until callers' connections are closed. By then two readiness
 * checks of the platform have failed, after which it sends no new requests. */
static constexpr mono_ms DRAIN_DELAY_MS = 3000;

/** Time from the start of the shutdown from which on requests that could outlast it are refused. It
 * is before the readiness checks have failed for certain, since the platform may have sent the
 * signal a moment before this process read it. */
static constexpr mono_ms REFUSAL_DELAY_MS = 2800;

/** Minimum duration of the shutdown, in which requests that arrive late are still answered. */
static constexpr mono_ms SHUTDOWN_MIN_MS = 3200;

/** Time before the end of the grace period at which the process ends even if requests are open. */
static constexpr mono_ms SHUTDOWN_MARGIN_MS = 500;

/** Time before the end of the process at which open requests are ended, so that their responses
 * still reach the callers. */
static constexpr mono_ms FINAL_RESPONSE_FLUSH_MS = 200;

/** Returns an identifier of this process that differs from those of the node's former processes and
 * is higher than theirs, unless the clock has jumped; never 0. */
static std::uint64_t
generate_boot_id()
{
  static constexpr unsigned RANDOM_BITS = 16;
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> draw(1, (1U << RANDOM_BITS) - 1);
  return (static_cast<std::uint64_t>(read_clocks().unix) << RANDOM_BITS) | draw(device);
}

/** Returns this node's beacon with the fields that the settings determine. */
static node_beacon
make_initial_beacon(const proxy_settings& options)
{
  node_beacon self;
  self.id = options.node_id;
  self.boot_id = generate_boot_id();
  self.region = options.region;
  self.zone = options.zone;
  self.host = options.host;
  self.processor_permille = options.processor_permille;
  return self;
}

proxy_node::proxy_node(proxy_settings options, const platform::fleet_bounds& bounds)
  : options_(std::move(options))
  , bounds_(bounds)
  , self_(make_initial_beacon(options_))
  , peers_(options_.node_id, options_.zone)
  , server_(options_.server_address, options_.server_heartbeat_ms * DOWN_AFTER_MISSED_HEARTBEATS)
  , follower_(self_, read_clocks().mono)
  , store_(options_.store_address)
  , traffic_(
      options_,
      { bounds.retry_budget_ratio, bounds.retry_budget_slack, bounds.retry_budget_window_ms },
      self_)
  , started_at_(read_clocks().mono)
  , last_tick_at_(started_at_)
  , rollouts_({ bounds.exposure_share, bounds.exposure_slack })
  , quotas_(options_.node_id,
            options_.zone,
            { bounds.quota_window_ms, bounds.quota_overage, bounds.quota_slack })
  , crash_reminder_random_(self_.boot_id)
  , no_live_peer_since_(started_at_)
{
  // When the whole fleet starts for the first time, no server can have left.
  if (!options_.is_first_start) {
    server_.require_confirmation();
  }
  traffic_.on_server_unreachable = [this] {
    QMetaObject::invokeMethod(
      &context_,
      [this] {
        if (server_.mark_unreachable()) {
          publish_server_status();
        }
      },
      Qt::QueuedConnection);
  };
  traffic_.on_server_limit_changed = [this] {
    QMetaObject::invokeMethod(
      &context_, [this] { schedule_urgent_beacon(self_.id); }, Qt::QueuedConnection);
  };
  traffic_.on_server_crashed = [this](const report_crash& report) {
    QMetaObject::invokeMethod(
      &context_, [this, report] { record_crash(report); }, Qt::QueuedConnection);
  };
  traffic_.on_crash_withdrawn = [this](const withdraw_crash& withdrawal) {
    QMetaObject::invokeMethod(
      &context_, [this, withdrawal] { withdraw(withdrawal); }, Qt::QueuedConnection);
  };
  traffic_.on_suspect_tried = [this](const report_trial& report) {
    QMetaObject::invokeMethod(
      &context_, [this, report] { record_trial(report); }, Qt::QueuedConnection);
  };
  traffic_.on_quota_used = [this](const std::vector<account_count>& counts) {
    QMetaObject::invokeMethod(
      &context_, [this, counts] { record_quota_use(counts); }, Qt::QueuedConnection);
  };
  traffic_.on_request_acquitted = [this](const request_digest& request) {
    QMetaObject::invokeMethod(
      &context_, [this, request] { record_acquittal(request); }, Qt::QueuedConnection);
  };
}

proxy_node::~proxy_node() = default;

/** Opens a listening port of the control thread. `setting` is the name that an error reports. */
static leaf::result<void>
open_port(listener& port, const endpoint& at, std::string_view setting)
{
  if (!port.listen(QHostAddress(QString::fromStdString(at.host)), at.port)) {
    return leaf::new_error(setting_error{ std::string(setting), setting_fault::bad_value });
  }
  return {};
}

leaf::result<void>
proxy_node::start()
{
  write_log(log_event::started,
            { { "node", options_.node_id },
              { "zone", options_.zone },
              { "region", options_.region },
              { "service", options_.service },
              { "boot", self_.boot_id } });
  const auto control_port = static_cast<std::uint16_t>(options_.peers_port + 1);
  BOOST_LEAF_CHECK(
    open_port(announcements_listener_, options_.announcements_address, "announcements_address"));
  BOOST_LEAF_CHECK(open_port(readiness_listener_, options_.readiness_address, "readiness_address"));
  BOOST_LEAF_CHECK(open_port(metrics_listener_, options_.metrics_address, "metrics_address"));
  BOOST_LEAF_CHECK(open_port(config_listener_, { options_.host, control_port }, "peers_port"));
  const QHostAddress host(QString::fromStdString(options_.host));
  if (!beacon_socket_.bind(host, control_port)) {
    return leaf::new_error(setting_error{ "peers_port", setting_fault::bad_value });
  }
  announcements_listener_.on_connection = [this](qintptr at) { accept_announcements(at); };
  readiness_listener_.on_connection = [this](qintptr at) { accept_readiness_probe(at); };
  metrics_listener_.on_connection = [this](qintptr at) { accept_metrics_scrape(at); };
  config_listener_.on_connection = [this](qintptr at) { accept_config_request(at); };
  QObject::connect(
    &beacon_socket_, &QUdpSocket::readyRead, &context_, [this] { receive_datagrams(); });
  BOOST_LEAF_CHECK(traffic_.start());
  QObject::connect(&tick_timer_, &QTimer::timeout, &context_, [this] { tick(); });
  tick_timer_.start(TICK_INTERVAL_MS);
  advance_discovery();
  return {};
}

void
proxy_node::tick()
{
  const mono_ms now = read_clocks().mono;
  detect_pause(now);
  if (server_.expire(now)) {
    traffic_.report_server_silent();
    publish_server_status();
  }
  if (peers_.expire(now)) {
    publish_peers();
  }
  if (now >= next_beacon_at_) {
    send_beacon_round();
  }
  if (broadcasts_remaining_ > 0) {
    --broadcasts_remaining_;
    broadcast_beacon();
  }
  send_crash_news();
  remind_of_crashes(now);
  review_trial(review_tick{ count_other_servers() }, now);
  write_due_suspects(now);
  advance_quotas(now);
  tick_rollouts(now);
  log_dropped_lines(now);
  advance_discovery();
  probe_server();
  raise_follow_event(reevaluation_due{});
  if (is_ready() != was_ready_) {
    was_ready_ = is_ready();
    // For a proxy, this event reports a change of its readiness.
    write_log(log_event::role_changed, { { "ready", was_ready_ ? "yes" : "no" } });
  }
  if (leaving_since_ != 0) {
    advance_shutdown(now);
  }
}

void
proxy_node::log_dropped_lines(mono_ms now)
{
  if (now < next_dropped_lines_report_at_) {
    return;
  }
  next_dropped_lines_report_at_ = now + DROPPED_LINES_REPORT_INTERVAL_MS;
  const auto [all, failures] = traffic_.lines_dropped();
  if (all != dropped_lines_reported_) {
    write_log(log_event::lines_dropped,
              { { "lines", all - dropped_lines_reported_ }, { "failures_since_start", failures } });
    dropped_lines_reported_ = all;
  }
}

void
proxy_node::detect_pause(mono_ms now)
{
  traffic_.record_control_tick(now);
  const mono_ms pause = now - last_tick_at_;
  last_tick_at_ = now;
  if (pause > PAUSE_THRESHOLD_MS) {
    // While it was paused, this process could not receive anything, so the absence of beacons and
    // heartbeats says nothing about the peers and the server.
    count(counter_id::pauses);
    write_log(log_event::pause_detected, { { "ms", pause } });
    peers_.restart_liveness_timeout(now);
    server_.restart_liveness_timeout(now);
    next_beacon_at_ = now;
  }
}

void
proxy_node::refresh_beacon()
{
  const load_report load = traffic_.load();
  ++self_.sequence;
  self_.server = status_of_server();
  if (options_.learns_server_limit) {
    self_.server.slots = std::min(self_.server.slots, load.slots);
  }
  self_.config_version = follower_.version();
  self_.is_store_reachable = follower_.is_store_reachable();
  self_.is_leaving = is_leave_announced_;
  self_.running = load.running;
  self_.waiting = load.waiting;
  self_.slowness_permille = load.slowness_permille;
  self_.bulk_wait_ms = load.bulk_wait_ms;
  self_.rollout = traffic_.evidence();
}

void
proxy_node::send_beacon_round()
{
  const mono_ms now = read_clocks().mono;
  next_beacon_at_ = now + peers_.beacon_interval_ms();
  refresh_beacon();
  send(plan_beacon_round(peers_, self_, ++beacon_round_, now));
  publish_peers();
}

void
proxy_node::schedule_urgent_beacon(const node_id& id)
{
  // The first change starts the timer; changes that follow until it fires are sent with it.
  if (urgent_nodes_.empty() && new_peers_.empty()) {
    QTimer::singleShot(URGENT_COALESCE_MS, &context_, [this] { send_urgent_beacons(); });
  }
  urgent_nodes_.insert(id);
}

void
proxy_node::send_urgent_beacons()
{
  refresh_beacon();
  std::vector<beacon_batch> plan = plan_urgent_beacons(peers_, self_, urgent_nodes_);
  if (!new_peers_.empty()) {
    plan.push_back({ { new_peers_.begin(), new_peers_.end() }, { self_.id } });
  }
  send(plan);
  if (!new_peers_.empty()) {
    // After the beacon, since a peer accepts crash records only from nodes that it knows.
    tell_new_peers_of_crashes();
    tell_new_peers_of_rollouts();
  }
  urgent_nodes_.clear();
  new_peers_.clear();
  if (is_peer_view_stale_) {
    publish_peers();
  }
}

void
proxy_node::broadcast_beacon()
{
  refresh_beacon();
  beacon_batch batch{ {}, { self_.id } };
  for (const auto& [id, peer] : peers_.peers()) {
    batch.targets.push_back(id);
  }
  send({ batch });
}

void
proxy_node::send(const std::vector<beacon_batch>& plan)
{
  for (const beacon_batch& batch : plan) {
    std::vector<const node_beacon*> batch_beacons;
    for (const node_id& id : batch.origins) {
      const auto found = peers_.peers().find(id);
      batch_beacons.push_back(found == peers_.peers().end() ? &self_ : &found->second.beacon);
    }
    const std::vector<std::string> datagrams = encode_beacons(batch_beacons);
    for (const node_id& target : batch.targets) {
      send_datagrams(datagrams, peers_.peers().at(target).beacon.host);
    }
  }
}

void
proxy_node::send_datagrams(const std::vector<std::string>& datagrams, const std::string& host)
{
  const QHostAddress address(QString::fromStdString(host));
  for (const std::string& bytes : datagrams) {
    beacon_socket_.writeDatagram(bytes.data(),
                                 static_cast<qint64>(bytes.size()),
                                 address,
                                 static_cast<std::uint16_t>(options_.peers_port + 1));
  }
}

void
proxy_node::receive_datagrams()
{
  bool has_changed = false;
  bool have_suspects_changed = false;
  while (beacon_socket_.hasPendingDatagrams()) {
    const QNetworkDatagram datagram = beacon_socket_.receiveDatagram(BEACON_DATAGRAM_BYTES_MAX + 1);
    const QByteArray data = datagram.data();
    const std::string_view bytes(data.data(), static_cast<std::size_t>(data.size()));
    if (has_crash_records(bytes)) {
      have_suspects_changed =
        receive_crash_records(bytes, datagram.senderAddress()) || have_suspects_changed;
    } else if (has_quota_message(bytes)) {
      receive_quota_message(bytes, datagram.senderAddress());
    } else if (has_rollout_news(bytes)) {
      receive_rollout_news(bytes, datagram.senderAddress());
    } else {
      has_changed = receive_beacons(bytes) || has_changed;
    }
  }
  if (have_suspects_changed) {
    publish_suspects();
  }
  // Most beacons only repeat what is known. The next tick covers what depends on the time.
  if (has_changed) {
    raise_follow_event(reevaluation_due{});
  }
}

bool
proxy_node::receive_beacons(std::string_view datagram)
{
  bool has_changed = false;
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(content, parse_beacons(datagram));
      report_rejected_records("beacons", content.rejected_beacons);
      for (const node_beacon& beacon : content.beacons) {
        has_changed = handle_beacon(beacon) || has_changed;
      }
      return {};
    },
    [&](const frame_error& error) {
      refused_inputs_.report(
        "beacons", { { "fault", enum_name(error.fault) } }, read_clocks().mono);
    },
    [&] { count(counter_id::inputs_refused); });
  return has_changed;
}

bool
proxy_node::handle_beacon(const node_beacon& beacon)
{
  const auto known = peers_.peers().find(beacon.id);
  const bool was_known = known != peers_.peers().end();
  const node_beacon before = was_known ? known->second.beacon : node_beacon{};
  const bool was_alive = was_known && known->second.is_alive && before.boot_id == beacon.boot_id;
  const std::uint64_t version_before =
    was_known && known->second.is_alive && before.zone == beacon.zone ? before.config_version : 0;
  if (peers_.apply_beacon(beacon, read_clocks().mono) != beacon_effect::changed) {
    return false;
  }
  std::uint64_t newest = std::max(follower_.version(), version_before);
  for (const auto& [id, peer] : peers_.peers()) {
    if (peer.is_alive && id != beacon.id && peer.beacon.zone == beacon.zone) {
      newest = std::max(newest, peer.beacon.config_version);
    }
  }
  // A version is urgent only if neither this proxy nor another live node in the zone of the node
  // that the beacon describes has it yet. Otherwise the regular rounds announce it.
  const bool is_first_with_version = beacon.config_version > newest;
  const bool has_server_changed =
    before.server != beacon.server || before.is_leaving != beacon.is_leaving || !was_alive;
  const bool is_urgent = has_server_changed || is_first_with_version ||
                         before.is_store_reachable != beacon.is_store_reachable ||
                         has_rollout_news(before, beacon);
  is_peer_view_stale_ = is_peer_view_stale_ || has_server_changed;
  const bool is_replaced = !before.server.instance.empty() &&
                           before.server.instance != beacon.server.instance &&
                           before.server.state != server_state::draining;
  if (is_replaced && beacon.server.service == options_.service) {
    review_trial(server_replaced{ beacon.id, false }, read_clocks().mono);
  }
  if (is_urgent) {
    schedule_urgent_beacon(beacon.id);
  }
  if (!was_alive) {
    new_peers_.insert(beacon.id);
  }
  const bool has_store_changed = before.is_store_reachable != beacon.is_store_reachable;
  if (!has_server_changed && !has_store_changed) {
    return true; // Each node logs its own versions.
  }
  write_log(log_event::member_changed,
            { { "node", beacon.id },
              { "host", beacon.host },
              { "service", beacon.server.service },
              { "instance", beacon.server.instance },
              { "server", enum_name(beacon.server.state) },
              { "version", beacon.config_version },
              { "store", beacon.is_store_reachable ? "yes" : "no" },
              { "leaving", beacon.is_leaving ? "yes" : "no" } });
  return true;
}

void
proxy_node::publish_peers()
{
  is_peer_view_stale_ = false;
  self_.server = status_of_server();
  self_.is_leaving = is_leave_announced_;
  const std::shared_ptr<peer_view> view = peers_.build_view();
  view->emplace(self_.id, self_);
  traffic_.set_peers(view);
}

bool
proxy_node::is_ready() const
{
  return table_ != nullptr && leaving_since_ == 0;
}

void
proxy_node::leave()
{
  const mono_ms now = read_clocks().mono;
  if (leaving_since_ != 0) {
    write_log(log_event::draining, { { "state", "cut" }, { "open", traffic_.open_requests() } });
    on_stopped();
    return;
  }
  leaving_since_ = now;
  traffic_.plan_shutdown(now + REFUSAL_DELAY_MS, shutdown_at());
  write_log(log_event::draining, { { "state", "begun" }, { "open", traffic_.open_requests() } });
}

mono_ms
proxy_node::shutdown_at() const
{
  return leaving_since_ + bounds_.grace_ms - SHUTDOWN_MARGIN_MS - FINAL_RESPONSE_FLUSH_MS;
}

void
proxy_node::advance_shutdown(mono_ms now)
{
  const mono_ms since = now - leaving_since_;
  if (since >= LEAVE_ANNOUNCEMENT_DELAY_MS && !is_leave_announced_) {
    is_leave_announced_ = true;
    publish_peers();
    schedule_urgent_beacon(self_.id);
  }
  if (since >= DRAIN_DELAY_MS && !is_draining_) {
    is_draining_ = true;
    traffic_.start_draining(shutdown_at());
  }
  if (now >= shutdown_at() && !are_requests_expired_) {
    are_requests_expired_ = true;
    traffic_.expire_requests();
  }
  const std::size_t open = traffic_.open_requests();
  const bool is_over = since >= bounds_.grace_ms - SHUTDOWN_MARGIN_MS;
  if (since >= SHUTDOWN_MIN_MS && open == 0 && !traffic_.is_finished()) {
    // The process ends at the next tick, unless a request arrives before the traffic thread stops
    // to take any.
    traffic_.finish_if_idle();
  }
  if (traffic_.is_finished() || is_over) {
    tick_timer_.stop();
    write_log(log_event::stopped, { { "node", options_.node_id }, { "cut", open } });
    on_stopped();
  }
}

} // namespace shallotfield
