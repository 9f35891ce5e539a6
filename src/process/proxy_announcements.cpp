// The HTTP ports of the control thread: announcements of the local backend server, readiness checks
// of the platform, and metrics. Also the health check of a server that has not announced itself, or
// that first did so after a restart of this process.
#include "proxy_node_base.h"

namespace shallotfield {

/** Maximum size of a request body. Of the requests to these ports, only announcements have one. */
static constexpr std::uint64_t ANNOUNCEMENT_BYTES_MAX = 64U << 10U;

/** Time after the start of the process in which the first announcement may arrive before the server
 * is probed by a health check. */
static constexpr mono_ms PROBE_DELAY_MS = 250;

/** Time from one health check to the next, until a check succeeds or a heartbeat arrives. */
static constexpr mono_ms PROBE_INTERVAL_MS = 1000;

/** The same while a heartbeat waits for a health check. */
static constexpr mono_ms CONFIRMATION_INTERVAL_MS = 250;

/** Maximum duration of a health check. */
static constexpr int PROBE_TIMEOUT_MS = 500;

/** Number of slots to assume after a successful health check until the server announces its own. */
static constexpr std::uint32_t PROBE_DEFAULT_SLOTS = 6;

static constexpr unsigned STATUS_OK = 200;
static constexpr unsigned STATUS_BAD_REQUEST = 400;
static constexpr unsigned STATUS_NOT_FOUND = 404;
static constexpr unsigned STATUS_UNAVAILABLE = 503;

http_session&
proxy_node::add_http_session(qintptr descriptor)
{
  const std::uint64_t id = next_id_++;
  auto owned = std::make_unique<http_session>(descriptor, ANNOUNCEMENT_BYTES_MAX);
  http_session& session = *owned;
  session.on_disconnected = [this, id] {
    const auto found = sessions_.find(id);
    if (found != sessions_.end()) {
      // This callback runs inside the session, so the session is deleted later by the event loop.
      std::shared_ptr<http_session> ended = std::move(found->second);
      sessions_.erase(found);
      QMetaObject::invokeMethod(
        &context_, [ended] {}, Qt::QueuedConnection);
    }
  };
  sessions_.emplace(id, std::move(owned));
  return session;
}

void
proxy_node::accept_announcements(qintptr descriptor)
{
  http_session& session = add_http_session(descriptor);
  session.on_request = [this, &session](http_request&& request) {
    handle_announcement(session, request);
  };
}

void
proxy_node::accept_readiness_probe(qintptr descriptor)
{
  http_session& session = add_http_session(descriptor);
  session.on_request = [this, &session](http_request&& request) {
    if (!platform::is_readiness_request(request.head)) {
      session.respond(STATUS_NOT_FOUND, {}, "");
      return;
    }
    session.respond(is_ready() ? STATUS_OK : STATUS_UNAVAILABLE, {}, "");
  };
}

void
proxy_node::accept_metrics_scrape(qintptr descriptor)
{
  http_session& session = add_http_session(descriptor);
  session.on_request = [&session](http_request&& request) {
    const bool is_known = request.head.method == "GET" && request.head.target == "/metrics";
    if (!is_known) {
      session.respond(STATUS_NOT_FOUND, {}, "");
      return;
    }
    session.respond(STATUS_OK, { { "Content-Type", "text/plain; version=0.0.4" } }, metrics_text());
  };
}

void
proxy_node::handle_announcement(http_session& session, const http_request& request)
{
  const mono_ms now = read_clocks().mono;
  const std::vector<http_header> json = { { "Content-Type", "application/json" } };
  std::visit(
    overloaded{
      [&](const server_heartbeat& item) {
        const bool is_known_service = !table_ || table_->find_service(item.service) != nullptr;
        const heartbeat_effect effect =
          is_known_service ? server_.apply_heartbeat(item, now) : heartbeat_effect::ignored;
        session.respond(STATUS_OK, json, platform::ACKNOWLEDGEMENT);
        if (effect != heartbeat_effect::refreshed) {
          write_log(log_event::server_announced,
                    { { "instance", item.instance },
                      { "service", item.service },
                      { "state", enum_name(item.state) },
                      { "slots", item.slots },
                      { "version", item.version },
                      { "sequence", item.sequence },
                      { "born", item.instance_started_at.value_or(0) },
                      { "effect", enum_name(effect) } });
        }
        if (effect == heartbeat_effect::changed) {
          publish_server_status();
        } else if (effect == heartbeat_effect::unconfirmed) {
          // A new incarnation doesn't wait because a former one was checked a moment ago.
          if (item.instance != checked_instance_ || item.instance_started_at != checked_start_) {
            next_probe_at_ = now;
          }
          probe_server();
        }
      },
      [&](const platform::server_deregistration& item) {
        session.respond(STATUS_OK, json, platform::ACKNOWLEDGEMENT);
        const bool has_changed =
          server_.apply_deregistration(item.instance, read_clocks().unix, item.instance_started_at);
        write_log(log_event::server_announced,
                  { { "instance", item.instance },
                    { "state", "gone" },
                    { "effect", has_changed ? "changed" : "ignored" } });
        if (has_changed) {
          publish_server_status();
        }
      },
      [&](platform::announcement_fault fault) {
        refused_inputs_.report("announcements", { { "fault", enum_name(fault) } }, now);
        const bool is_unknown = fault == platform::announcement_fault::unknown_call;
        session.respond(is_unknown ? STATUS_NOT_FOUND : STATUS_BAD_REQUEST, json, "{}");
      },
    },
    platform::parse_announcement(request.head, request.body));
}

void
proxy_node::handle_health_check(const response_head& head)
{
  const mono_ms now = read_clocks().mono;
  const bool is_healthy = head.status == STATUS_OK;
  const std::string instance = platform::read_instance(head);
  // A server without a free slot says nothing about its health, so it is asked again.
  if (!is_healthy && !platform::is_not_executed(head)) {
    if (server_.unconfirmed()) {
      write_log(log_event::server_announced,
                { { "instance", server_.unconfirmed()->instance },
                  { "status", head.status },
                  { "effect", "not_confirmed" } });
    }
    server_.reject_unconfirmed();
    return;
  }
  if (is_healthy &&
      server_.apply_probe_result(instance, options_.service, PROBE_DEFAULT_SLOTS, now)) {
    write_log(log_event::server_announced,
              { { "instance", instance },
                { "state", enum_name(server_.current_status().state) },
                { "effect", "probed" } });
    publish_server_status();
  }
}

void
proxy_node::publish_server_status()
{
  update_standing(read_clocks());
  traffic_.set_server(status_of_server(), server_.incarnation());
  if (server_.incarnation() != published_incarnation_) {
    published_incarnation_ = server_.incarnation();
    review_trial(server_replaced{ self_.id, true }, read_clocks().mono);
  }
  publish_peers();
  schedule_urgent_beacon(self_.id);
}

void
proxy_node::probe_server()
{
  const mono_ms now = read_clocks().mono;
  const bool is_unconfirmed = server_.unconfirmed().has_value();
  const bool is_unknown =
    server_.current_status().instance.empty() && now - started_at_ >= PROBE_DELAY_MS;
  const bool is_due = table_ && !probe_ && (is_unconfirmed || is_unknown) && now >= next_probe_at_;
  if (options_.is_first_start || !is_due) {
    return;
  }
  const service_rule* service =
    table_->find_service(is_unconfirmed ? server_.unconfirmed()->service : options_.service);
  if (service == nullptr || service->health_path.empty()) {
    if (server_.accept_unconfirmed(now)) {
      publish_server_status();
    }
    return;
  }
  if (is_unconfirmed) {
    checked_instance_ = server_.unconfirmed()->instance;
    checked_start_ = server_.unconfirmed()->instance_started_at;
  }
  next_probe_at_ = now + (is_unconfirmed ? CONFIRMATION_INTERVAL_MS : PROBE_INTERVAL_MS);
  probe_ = std::make_unique<http_client>(options_.server_address, PROBE_TIMEOUT_MS);
  const auto end_probe = [this] {
    std::shared_ptr<http_client> ended = std::move(probe_);
    if (ended) {
      ended->abort();
      QMetaObject::invokeMethod(
        &context_, [ended] {}, Qt::QueuedConnection);
    }
  };
  probe_->on_piece = [this, end_probe](response_piece&& piece) {
    if (!piece.head) {
      return;
    }
    const response_head head = *piece.head;
    end_probe();
    handle_health_check(head);
  };
  probe_->on_failed = [this, end_probe](http_client_error why) {
    end_probe();
    if (why == http_client_error::never_sent) {
      server_.reject_unconfirmed();
    }
  };
  QTimer::singleShot(PROBE_TIMEOUT_MS, &context_, end_probe);
  probe_->send({ "GET", service->health_path, { { "Host", options_.server_address.host } } }, "");
}

} // namespace shallotfield
