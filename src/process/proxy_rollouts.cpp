// The control thread of a proxy: performs the effects of the rollout_controller, and passes on what
// nodes tell each other about roll-outs.
#include "proxy_node_base.h"

#include <QHostAddress>
#include <boost/leaf/handle_errors.hpp>

namespace leaf = boost::leaf;

namespace shallotfield {

/** Number of orders that are kept until a configuration names their service. */
static constexpr std::size_t UNKNOWN_SERVICE_ORDERS_MAX = 64;

/** Timeout of a call about the state of a roll-out. */
static constexpr std::int64_t STATUS_TIMEOUT_MS = 800;

/** Time from an early beacon to the next. */
static constexpr mono_ms EVIDENCE_INTERVAL_MS = 300;

void
proxy_node::raise_rollout_event(const rollout_event& event)
{
  for (const rollout_effect& effect : rollouts_.handle(event, read_clocks().mono)) {
    perform(effect);
  }
}

void
proxy_node::perform(const rollout_effect& effect)
{
  std::visit(overloaded{
               [&](const publish_rollouts&) {
                 // Before the roll-outs, so that a server which was cleared after an earlier one
                 // gets nothing once a later one is rolled back.
                 if (update_standing(read_clocks())) {
                   publish_server_status();
                 }
                 traffic_.set_rollouts(std::make_shared<const rollout_view>(rollouts_.view()));
               },
               [&](const announce_rollouts& item) {
                 rollout_news_remaining_ = std::max(rollout_news_remaining_, item.repetitions - 1);
                 send_rollout_news();
               },
               [&](const read_rollout_status& item) { read_status(item); },
               [&](const write_rollout_status& item) { write_status(item); },
               [&](const log_rollout& item) {
                 count(counter_id::rollout_steps);
                 write_log(log_event::rollout, item.fields);
               },
             },
             effect);
}

void
proxy_node::take_rollout_orders(const std::vector<platform::keyed_record>& records)
{
  for (const platform::keyed_record& record : records) {
    if (!platform::is_rollout_order(record)) {
      continue;
    }
    leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(order, platform::parse_rollout_order(record));
        if (table_ && table_->find_service(order.service) == nullptr) {
          // A configuration that is still to come may have the service.
          if (unknown_service_orders_.size() < UNKNOWN_SERVICE_ORDERS_MAX) {
            unknown_service_orders_.push_back(record);
          }
          return leaf::new_error(rollout_fault::unknown_service);
        }
        raise_rollout_event(rollout_order_read{ std::move(order) });
        return {};
      },
      [&](rollout_fault fault) {
        count(counter_id::rollouts_refused);
        write_log(log_event::rollout_refused,
                  { { "key", record.key }, { "fault", enum_name(fault) } });
      },
      [] { count(counter_id::rollouts_refused); });
  }
}

void
proxy_node::retake_rollout_orders()
{
  if (!unknown_service_orders_.empty()) {
    take_rollout_orders(std::exchange(unknown_service_orders_, {}));
  }
}

void
proxy_node::tick_rollouts(mono_ms now)
{
  if (rollout_news_remaining_ > 0) {
    --rollout_news_remaining_;
    send_rollout_news();
  }
  if (rollouts_.view().empty()) {
    return;
  }
  if (update_standing(read_clocks())) {
    publish_server_status();
  }
  hasten_evidence(now);
  rollout_tick tick;
  tick.is_decider = follower_.is_first_reader() && leaving_since_ == 0;
  if (tick.is_decider) {
    refresh_beacon();
    tick.unix_ms = read_clocks().unix;
    tick.servers.push_back(self_);
    for (const auto& [id, peer] : peers_.peers()) {
      if (peer.is_alive) {
        tick.servers.push_back(peer.beacon);
      }
    }
  }
  raise_rollout_event(tick);
}

server_status
proxy_node::status_of_server() const
{
  server_status status = server_.current_status();
  status.standing = standing_;
  return status;
}

bool
proxy_node::update_standing(const instant& now)
{
  const server_status& server = server_.current_status();
  const auto found = rollouts_.view().find(server.service);
  const std::optional<unix_ms> born = server_.instance_started_at();
  const server_standing standing = rollout_standing_.update(
    server,
    server_.incarnation(),
    born ? std::optional<mono_ms>(now.mono - (now.unix - *born)) : std::nullopt,
    found == rollouts_.view().end() ? nullptr : &found->second,
    now.mono);
  if (standing == standing_) {
    return false;
  }
  standing_ = standing;
  write_log(log_event::rollout_standing,
            { { "instance", server.instance },
              { "service", server.service },
              { "version", server.version },
              { "standing", enum_name(standing) } });
  return true;
}

void
proxy_node::hasten_evidence(mono_ms now)
{
  const auto found = rollouts_.view().find(server_.current_status().service);
  if (now < next_evidence_at_ || found == rollouts_.view().end() ||
      found->second.state != rollout_state::running) {
    return;
  }
  const rollout_evidence evidence = traffic_.evidence();
  const bool is_target = server_.current_status().version == found->second.order.target_version;
  const bool is_awaited = is_target || evidence.step != evidence_sent_.step ||
                          evidence.order != evidence_sent_.order ||
                          found->second.step == rollout_step::full;
  if (is_awaited && evidence != evidence_sent_) {
    evidence_sent_ = evidence;
    next_evidence_at_ = now + EVIDENCE_INTERVAL_MS;
    schedule_urgent_beacon(self_.id);
  }
}

void
proxy_node::send_rollout_news()
{
  const std::vector<std::string> datagrams =
    encode_rollout_news(rollouts_.view(), read_clocks().mono);
  for (const auto& [id, peer] : peers_.peers()) {
    send_datagrams(datagrams, peer.beacon.host);
  }
}

void
proxy_node::tell_new_peers_of_rollouts()
{
  if (rollouts_.view().empty()) {
    return;
  }
  const std::vector<std::string> datagrams =
    encode_rollout_news(rollouts_.view(), read_clocks().mono);
  for (const node_id& id : new_peers_) {
    const auto found = peers_.peers().find(id);
    if (found != peers_.peers().end() && found->second.beacon.zone == self_.zone) {
      send_datagrams(datagrams, found->second.beacon.host);
    }
  }
}

void
proxy_node::receive_rollout_news(std::string_view datagram, const QHostAddress& sender)
{
  const mono_ms now = read_clocks().mono;
  const std::string host = sender.toString().toStdString();
  const bool is_known_sender =
    std::any_of(peers_.peers().begin(), peers_.peers().end(), [&host](const auto& item) {
      return item.second.beacon.host == host;
    });
  if (!is_known_sender) {
    refused_inputs_.report("rollouts", { { "fault", "unknown_sender" } }, now);
    return;
  }
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(news, parse_rollout_news(datagram, now));
      report_rejected_records("rollouts", news.rejected_records);
      for (rollout_record& record : news.records) {
        raise_rollout_event(rollout_news_received{ std::move(record) });
      }
      return {};
    },
    [&](const frame_error& error) {
      refused_inputs_.report("rollouts", { { "fault", enum_name(error.fault) } }, now);
    },
    [&] { count(counter_id::inputs_refused); });
}

void
proxy_node::read_status(const read_rollout_status& effect)
{
  store_.read_newest(
    platform::store_topic::states,
    "",
    STATUS_TIMEOUT_MS,
    [this, service = effect.service](const platform::store_response& response) {
      const auto* page = std::get_if<platform::newest_page>(&response);
      if (page == nullptr) {
        raise_rollout_event(rollout_status_failed{ service });
        return;
      }
      raise_rollout_event(rollout_status_read{
        service, platform::find_rollout_status(page->records, service), page->end });
    });
}

void
proxy_node::write_status(const write_rollout_status& effect)
{
  store_.append(
    platform::store_topic::states,
    platform::encode_rollout_status(effect.service, effect.status),
    STATUS_TIMEOUT_MS,
    [this, effect](const platform::store_response& response) {
      const bool is_done = std::holds_alternative<platform::record_appended>(response);
      const auto* fault = std::get_if<platform::store_fault>(&response);
      write_log(log_event::rollout_stored,
                { { "service", effect.service },
                  { "state", enum_name(effect.status.state) },
                  { "order", effect.status.order },
                  { "result",
                    is_done            ? std::string_view("ok")
                    : fault != nullptr ? enum_name(*fault)
                                       : std::string_view("outrun") } });
      if (is_done) {
        raise_rollout_event(
          rollout_status_written{ effect.service, effect.status.order, effect.status.state });
      } else {
        raise_rollout_event(rollout_status_failed{ effect.service });
      }
    },
    effect.at);
}

} // namespace shallotfield
