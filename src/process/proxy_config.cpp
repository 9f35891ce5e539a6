// Performs the effects of the config_follower: reads the configuration from the store, fetches it
// from peers and applies it. Also sends the configuration to peers that request it.
#include "proxy_node_base.h"

#include <boost/leaf/handle_errors.hpp>

namespace leaf = boost::leaf;

namespace shallotfield {

/** Timeout of a call to the store, in addition to the time that the store waits for a record. */
static constexpr std::int64_t STORE_TIMEOUT_MS = 500;

/** Time without any bytes from a peer that was asked for its configuration, after which another
 * peer is asked as well. It covers several round trips between regions and is about a third of
 * the time within which a version must be in force. */
static constexpr int FETCH_HEDGE_DELAY_MS = 600;

/** Further time without any bytes after which a fetch is aborted, and time limit for connecting. It
 * is long because round trips are slow on a saturated link, and restarting a transfer would add to
 * the load. */
static constexpr int FETCH_TIMEOUT_MS = 3000;

/** Number of beacons that a proxy broadcasts to all peers for a version that it read from the
 * store, one per tick. */
static constexpr int VERSION_BROADCAST_COUNT = 3;

/** Maximum sizes in bytes of the head and of the complete frame in a configuration transfer. */
static constexpr frame_limits CONFIG_FRAME_LIMITS = { 1024, CONFIG_BYTES_MAX };

void
proxy_node::raise_follow_event(const follow_event& event)
{
  for (const follow_effect& effect : follower_.handle(event, peers_, read_clocks().mono)) {
    perform(effect);
  }
}

void
proxy_node::perform(const follow_effect& effect)
{
  // In a proxy, the counters and log events whose names begin with `log_` refer to the store. The
  // topic `operators` is written by the operator and holds the configuration.
  std::visit(overloaded{
               [&](const read_newest_config&) {
                 count(counter_id::log_reads);
                 read_newest_page("", std::nullopt);
               },
               [&](const read_config_tail& item) {
                 count(counter_id::log_reads);
                 store_.read_tail(
                   platform::store_topic::operators,
                   item.from,
                   item.wait_ms,
                   STORE_TIMEOUT_MS,
                   [this](const platform::store_response& response) { handle_tail(response); });
               },
               [&](const fetch_config& item) { start_config_fetch(item); },
               [&](const apply_config& item) { apply(item); },
               [&](const report_store_reachability& item) {
                 write_log(item.is_reachable ? log_event::log_reachable
                                             : log_event::log_unreachable,
                           { { "call", "configuration" } });
                 // Peers select the readers by reachability of the store, so they have to learn
                 // this soon.
                 schedule_urgent_beacon(self_.id);
               },
             },
             effect);
}

/** Returns the newest configuration among records in store order, or no value if there is none. */
static std::optional<std::string>
latest_config(const std::vector<platform::keyed_record>& records)
{
  std::optional<std::string> text;
  for (const platform::keyed_record& record : records) {
    if (record.key == platform::CONFIGURATION_KEY && !record.value.empty()) {
      text = record.value;
    }
  }
  return text;
}

void
proxy_node::read_newest_page(const std::string& after, std::optional<std::uint64_t> end)
{
  store_.read_newest(platform::store_topic::operators,
                     after,
                     STORE_TIMEOUT_MS,
                     [this, after, end](const platform::store_response& response) {
                       handle_newest_page(response, after, end);
                     });
}

void
proxy_node::handle_newest_page(const platform::store_response& response,
                               const std::string& after,
                               std::optional<std::uint64_t> end)
{
  const auto* page = std::get_if<platform::newest_page>(&response);
  if (page == nullptr) {
    count(counter_id::log_failures);
    raise_follow_event(store_call_failed{});
    return;
  }
  report_rejected_records("configuration", page->rejected_records);
  // The pages are not a snapshot, so the records that follow are read from the end that the first
  // page gave.
  const std::uint64_t next = end.value_or(page->end);
  std::optional<std::string> text = latest_config(page->records);
  if (!text && page->has_more && page->last_key > after) {
    count(counter_id::log_reads);
    read_newest_page(page->last_key, next);
    return;
  }
  raise_follow_event(newest_config_read{ std::move(text), next });
  take_rollout_orders(page->records);
}

void
proxy_node::handle_tail(const platform::store_response& response)
{
  const auto* fault = std::get_if<platform::store_fault>(&response);
  if (const auto* tail = std::get_if<platform::topic_tail>(&response)) {
    report_rejected_records("configuration", tail->rejected_records);
    raise_follow_event(tail_read{ latest_config(tail->records), tail->next });
    take_rollout_orders(tail->records);
  } else if (std::holds_alternative<platform::tail_trimmed>(response)) {
    write_log(log_event::log_gap, { { "call", "configuration" } });
    raise_follow_event(offset_trimmed{});
  } else if (fault != nullptr && *fault == platform::store_fault::malformed) {
    refused_inputs_.report("configuration", { { "fault", "bad_tail" } }, read_clocks().mono);
    raise_follow_event(tail_unreadable{});
  } else {
    count(counter_id::log_failures);
    raise_follow_event(store_call_failed{});
  }
}

void
proxy_node::apply(const apply_config& effect)
{
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(document, platform::parse_configuration(effect.text));
      if (document.version <= follower_.version() && table_) {
        return {}; // Versions never decrease.
      }
      table_ = std::make_shared<const route_table>(std::move(document));
      configs_.add(table_->version(), effect.text);
      traffic_.set_route_table(table_);
      retake_rollout_orders();
      apply_quotas();
      count(counter_id::versions_applied);
      write_log(log_event::version_in_force,
                { { "version", table_->version() },
                  { "source", effect.is_from_store ? "store" : "peer" },
                  { "bytes", effect.text.size() } });
      raise_follow_event(version_applied{ table_->version() });
      schedule_urgent_beacon(self_.id);
      if (effect.is_from_store) {
        // A relay may have failed undetected and datagrams may be lost, so a version from the store
        // is announced to all peers directly and several times.
        broadcasts_remaining_ = VERSION_BROADCAST_COUNT;
      }
      return {};
    },
    [&](const platform::configuration_error& error) {
      count(counter_id::updates_refused);
      write_log(log_event::update_refused,
                { { "place", error.place },
                  { "field", error.field },
                  { "source", effect.is_from_store ? "store" : "peer" },
                  { "in_force", follower_.version() } });
    },
    [] {});
}

void
proxy_node::start_config_fetch(const fetch_config& effect)
{
  const std::uint64_t id = next_id_++;
  auto fetch = std::make_unique<pending_config_fetch>();
  fetch->node = effect.node;
  fetch->started_at = read_clocks().mono;
  fetch->socket = std::make_unique<framed_socket>(CONFIG_FRAME_LIMITS);
  fetch->socket->on_frame = [this, id](frame&& from) { handle_fetched_config(id, from); };
  fetch->socket->on_end = [this, id](link_close_reason) { finish_fetch(id, std::nullopt); };
  fetch->socket->on_bytes_received = [timeout = &fetch->timeout] { timeout->start(); };
  fetch->timeout.setSingleShot(true);
  QObject::connect(
    &fetch->timeout, &QTimer::timeout, &context_, [this, id] { handle_fetch_timeout(id); });
  fetch->timeout.start(FETCH_HEDGE_DELAY_MS);
  const node_beacon& peer = peers_.peers().at(effect.node).beacon;
  fetch->socket->connect_to({ peer.host, static_cast<std::uint16_t>(options_.peers_port + 1) },
                            FETCH_TIMEOUT_MS);
  fetch->socket->send(encode_config_transfer(config_request{ configs_.version() }));
  config_fetches_.emplace(id, std::move(fetch));
}

void
proxy_node::handle_fetched_config(std::uint64_t id, const frame& from)
{
  std::optional<std::string> text;
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(message, parse_config_transfer(from));
      if (const auto* packed = std::get_if<packed_config>(&message)) {
        BOOST_LEAF_ASSIGN(text, configs_.unpack(*packed));
        const auto fetch = config_fetches_.find(id);
        if (fetch != config_fetches_.end()) {
          write_log(log_event::version_fetched,
                    { { "version", packed->version },
                      { "base", packed->base },
                      { "node", fetch->second->node },
                      { "bytes", packed->bytes.size() },
                      { "ms", read_clocks().mono - fetch->second->started_at } });
        }
      }
      return {};
    },
    [](const frame_error& error) {
      write_log(log_event::input_refused,
                { { "edge", "configuration" }, { "fault", enum_name(error.fault) } });
    },
    [](const packing_error& error) {
      write_log(log_event::input_refused,
                { { "edge", "configuration" }, { "fault", enum_name(error.fault) } });
    },
    [] {});
  finish_fetch(id, std::move(text));
}

void
proxy_node::handle_fetch_timeout(std::uint64_t id)
{
  const auto found = config_fetches_.find(id);
  if (found == config_fetches_.end()) {
    return;
  }
  pending_config_fetch& fetch = *found->second;
  if (fetch.is_overdue) {
    finish_fetch(id, std::nullopt);
    return;
  }
  fetch.is_overdue = true;
  fetch.timeout.start(FETCH_TIMEOUT_MS);
  raise_follow_event(config_fetch_failed{ fetch.node });
}

void
proxy_node::finish_fetch(std::uint64_t id, std::optional<std::string> text)
{
  const auto found = config_fetches_.find(id);
  if (found == config_fetches_.end()) {
    return;
  }
  std::shared_ptr<pending_config_fetch> ended = std::move(found->second);
  config_fetches_.erase(found);
  ended->timeout.stop();
  ended->socket->on_frame = nullptr;
  ended->socket->on_bytes_received = nullptr;
  // This may run in a callback of the socket, so the socket is deleted later by the event loop.
  QMetaObject::invokeMethod(
    &context_, [ended] {}, Qt::QueuedConnection);
  if (text) {
    raise_follow_event(config_received{ std::move(*text) });
  } else if (!ended->is_overdue) {
    raise_follow_event(config_fetch_failed{ ended->node });
  }
}

void
proxy_node::accept_config_request(qintptr descriptor)
{
  const std::uint64_t id = next_id_++;
  auto link = std::make_unique<framed_socket>(CONFIG_FRAME_LIMITS);
  framed_socket* socket = link.get();
  socket->on_frame = [this, socket](frame&& from) {
    leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(message, parse_config_transfer(from));
        const auto* request = std::get_if<config_request>(&message);
        if (request != nullptr && table_) {
          socket->send(encode_config_transfer(configs_.pack(request->base)));
        }
        socket->close();
        return {};
      },
      [&](const frame_error& error) { socket->refuse(error); },
      [] {});
  };
  socket->on_end = [this, id](link_close_reason) {
    const auto found = config_connections_.find(id);
    if (found != config_connections_.end()) {
      std::shared_ptr<framed_socket> ended = std::move(found->second);
      config_connections_.erase(found);
      QMetaObject::invokeMethod(
        &context_, [ended] {}, Qt::QueuedConnection);
    }
  };
  config_connections_.emplace(id, std::move(link));
  socket->accept(descriptor);
}

} // namespace shallotfield
