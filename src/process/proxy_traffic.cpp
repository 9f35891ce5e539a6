// The traffic thread of a proxy: ports, updates from the control thread, and shutdown.
#include "proxy_traffic_base.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/leaf/error.hpp>
#include <sys/resource.h>

namespace asio = boost::asio;
namespace leaf = boost::leaf;
using asio::ip::tcp;

namespace shallotfield {

/** Delay before the next attempt to accept a connection after one failed, for example because the
 * process has no free file descriptors. */
static constexpr std::int64_t ACCEPT_RETRY_DELAY_MS = 50;

/** Interval at which responses that were not sent completely are counted during the shutdown. */
static constexpr std::int64_t UNSENT_CHECK_INTERVAL_MS = 50;

/** Part of the memory of the process that incomplete responses of the server may use, as a divisor.
 * The limit may be exceeded up to twofold. */
static constexpr std::size_t RESPONSE_MEMORY_DIVISOR = 8;

/** Part of the memory of the process that requests and complete responses may use. The rest is for
 * incomplete responses of the server (up to a quarter) and for the process itself. */
static constexpr std::size_t BUDGET_NUMERATOR = 7;
static constexpr std::size_t BUDGET_DENOMINATOR = 16;

/** Part of the descriptors that callers' connections may use; the rest is for links to other
 * proxies and connections to the server. */
static constexpr std::size_t CALLERS_NUMERATOR = 2;
static constexpr std::size_t CALLERS_DENOMINATOR = 3;

/** Descriptors that the process needs besides, such as listening ports and files. */
static constexpr std::size_t OWN_DESCRIPTORS = 32;

/** Memory that a connection without a request occupies; limits their number where the descriptors
 * are not limited. */
static constexpr std::size_t IDLE_CONNECTION_BYTES = 16U << 10U;

/** Returns the maximum number of callers' connections. */
static std::size_t
max_callers(std::size_t memory_bytes)
{
  const std::size_t by_memory = memory_bytes / IDLE_CONNECTION_BYTES;
  rlimit descriptors{};
  if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0) {
    return by_memory;
  }
  const std::size_t share = descriptors.rlim_cur / CALLERS_DENOMINATOR * CALLERS_NUMERATOR;
  const std::size_t by_descriptors = share > 2 * OWN_DESCRIPTORS ? share - OWN_DESCRIPTORS : share;
  return std::max<std::size_t>(std::min(by_memory, by_descriptors), 1);
}

proxy_traffic::proxy_traffic(const proxy_settings& options,
                             retry_limits limits,
                             const node_beacon& self)
  : options_(options)
  , work_(asio::make_work_guard(context_))
  , callers_acceptor_(context_)
  , peers_acceptor_(context_)
  , timers_(context_)
  , budget_(
      std::make_shared<memory_budget>(options.memory_bytes / BUDGET_DENOMINATOR * BUDGET_NUMERATOR))
  , refusals_(std::make_shared<refused_input_log>())
  , callers_max_(max_callers(options.memory_bytes))
  , response_memory_(
      std::make_shared<response_memory>(options.memory_bytes / RESPONSE_MEMORY_DIVISOR))
  , bulk_pacer_(options.link_bytes_per_ms)
  , upload_intake_(options.link_bytes_per_ms)
  , rollout_gate_(self.id)
  , crash_detector_(random_source(self.boot_id))
{
  proxy_.self = self;
  proxy_.caller_service = options.service;
  proxy_.uses_spill = options.spills_by_share;
  proxy_.prices = options.prices;
  set_peer_view(proxy_, std::make_shared<peer_view>(peer_view{ { self.id, self } }));
  proxy_.limits = limits;
  proxy_.random.seed(self.boot_id);
}

proxy_traffic::~proxy_traffic()
{
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

/** Opens a listening port. `setting` is the name that log lines and errors report. */
static leaf::result<void>
open_port(tcp::acceptor& port, const endpoint& at, std::string_view setting)
{
  boost::system::error_code error;
  const tcp::endpoint address(asio::ip::make_address(at.host), at.port);
  port.open(address.protocol(), error);
  if (!error) {
    port.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    port.bind(address, error);
  }
  if (!error) {
    port.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return leaf::new_error(setting_error{ std::string(setting), setting_fault::bad_value });
  }
  write_log(log_event::listening,
            { { "port", setting }, { "address", at.host }, { "number", at.port } });
  return {};
}

leaf::result<void>
proxy_traffic::start()
{
  BOOST_LEAF_CHECK(open_port(callers_acceptor_, options_.callers_address, "callers_address"));
  BOOST_LEAF_CHECK(
    open_port(peers_acceptor_, { options_.host, options_.peers_port }, "peers_port"));
  accept_callers();
  accept_peers();
  thread_ = std::thread([this] { run(); });
  return {};
}

void
proxy_traffic::run()
{
  for (;;) {
    try {
      context_.run();
      return;
    } catch (const std::exception& error) {
      // Only the event that was being handled is lost; the timeouts of its request still apply.
      count(counter_id::unexpected_errors);
      write_log(log_event::alarm, { { "what", "traffic" }, { "error", error.what() } });
    }
  }
}

void
proxy_traffic::post(std::function<void()> work)
{
  asio::post(context_, std::move(work));
}

void
proxy_traffic::accept_callers()
{
  callers_acceptor_.async_accept(
    [this](const boost::system::error_code& error, tcp::socket socket) {
      if (error == asio::error::operation_aborted) {
        return;
      }
      if (error) {
        write_log(log_event::alarm, { { "what", "accept" }, { "error", error.message() } });
        timers_.schedule(ACCEPT_RETRY_DELAY_MS, [this] { accept_callers(); });
        return;
      }
      add_caller(std::move(socket));
      accept_callers();
    });
}

void
proxy_traffic::accept_peers()
{
  peers_acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (error) {
      write_log(log_event::alarm, { { "what", "accept" }, { "error", error.message() } });
      timers_.schedule(ACCEPT_RETRY_DELAY_MS, [this] { accept_peers(); });
      return;
    }
    add_session(std::move(socket));
    accept_peers();
  });
}

void
proxy_traffic::set_route_table(route_table_ptr table)
{
  post([this, table = std::move(table)] {
    table_ = table;
    for (const auto& [id, item] : callers_) {
      item.stream->set_limits(limits_of_requests());
    }
  });
}

void
proxy_traffic::set_peers(peer_view_ptr view)
{
  post([this, view = std::move(view)] {
    const mono_ms now = read_clocks().mono;
    set_peer_view(proxy_, view, now);
    proxy_.tracker.remove_departed(*view);
    for (const auto& [id, node] : *view) {
      if (id != options_.node_id) {
        proxy_.tracker.record_beacon(node, now);
      }
    }
    std::erase_if(links_, [&view](auto& item) {
      const bool is_unused = item.second.calls.empty() && !view->contains(item.second.node);
      if (is_unused) {
        item.second.stream->abort();
      }
      return is_unused;
    });
  });
}

void
proxy_traffic::set_quota_limits(quota_limits_ptr limits)
{
  post([this, limits = std::move(limits)] { proxy_.quotas.set_limits(limits); });
}

void
proxy_traffic::set_suspects(crash_view_ptr suspects)
{
  post([this, suspects = std::move(suspects)] {
    proxy_.suspects = suspects;
    // Refusing a request removes its entry from server_requests_, so the ids are copied first.
    std::vector<slot_ticket> waiting;
    for (const auto& [id, request] : server_requests_) {
      if (!request.stream) {
        waiting.push_back(id);
      }
    }
    for (const slot_ticket id : waiting) {
      check_suspect(id);
    }
  });
}

void
proxy_traffic::set_rollouts(rollout_view_ptr rollouts)
{
  post([this, rollouts = std::move(rollouts)] {
    const mono_ms now = read_clocks().mono;
    proxy_.rollouts = rollouts;
    rollout_gate_.set_rollouts(rollouts, now);
    set_peer_view(proxy_, proxy_.view, now);
    update_evidence();
  });
}

void
proxy_traffic::update_evidence()
{
  const rollout_evidence& evidence = rollout_gate_.evidence();
  if (evidence_order_ != evidence.order) {
    evidence_order_ = 0;
  }
  evidence_step_ = static_cast<std::uint32_t>(evidence.step);
  evidence_taken_ = evidence.taken;
  evidence_answered_ = evidence.answered;
  evidence_failed_ = evidence.failed;
  for (std::size_t i = 0; i < REPORTED_RULES; ++i) {
    evidence_rules_[i] = pack_rule_evidence(evidence.rules[i]);
  }
  evidence_order_ = evidence.order;
}

rollout_evidence
proxy_traffic::evidence() const
{
  const std::uint64_t order = evidence_order_;
  rollout_evidence evidence{ order,
                             static_cast<rollout_step>(evidence_step_.load()),
                             evidence_taken_,
                             evidence_answered_,
                             evidence_failed_,
                             {} };
  for (std::size_t i = 0; i < REPORTED_RULES; ++i) {
    evidence.rules[i] = unpack_rule_evidence(evidence_rules_[i]);
  }
  return evidence_order_ == order ? evidence : rollout_evidence{};
}

void
proxy_traffic::report_server_silent()
{
  post([this] { raise_crash_event(server_silent{}); });
}

void
proxy_traffic::set_server(const server_status& status, std::uint64_t incarnation)
{
  post([this, status, incarnation] {
    const bool is_new = incarnation != server_incarnation_;
    const auto takes_work_in = [](server_state state) {
      return state == server_state::ready || state == server_state::cold;
    };
    if (is_new) {
      for (const idle_stream& item : idle_streams_) {
        item.stream->abort();
      }
      idle_streams_.clear();
      end_requests_of_former_server();
    }
    const bool takes_work = takes_work_in(status.state);
    if (takes_work && (is_new || !takes_work_in(server_.state))) {
      raise_crash_event(server_started{ is_new });
    } else if (status.state == server_state::draining) {
      raise_crash_event(server_leaving{});
    }
    server_ = status;
    server_incarnation_ = incarnation;
    rollout_gate_.set_server(status, read_clocks().mono);
    update_evidence();
    server_limit_.handle(limit_server_changed{ status.slots, is_new }, read_clocks().mono);
    const bool is_closed = is_server_closed();
    applied_limit_ = usable_slots();
    raise_slot_event(slot_server_changed{
      is_closed ? status.slots : applied_limit_, takes_work && !is_closed, is_new });
    update_load_counters();
  });
}

void
proxy_traffic::plan_shutdown(mono_ms refuses_from, mono_ms shutdown_at)
{
  post([this, refuses_from, shutdown_at] {
    proxy_.shutdown = planned_shutdown{ refuses_from, shutdown_at };
  });
}

void
proxy_traffic::finish_if_idle()
{
  post([this] {
    update_load_counters();
    const bool has_pending = std::any_of(sessions_.begin(), sessions_.end(), [](const auto& item) {
      return !item.second.pending_calls.empty();
    });
    if (open_requests_ == 0 && !has_pending) {
      proxy_.shutdown = planned_shutdown{};
      is_finished_ = true;
    }
  });
}

void
proxy_traffic::start_draining(mono_ms shutdown_at)
{
  // Until the traffic thread has counted them, there may be open requests.
  ++open_requests_;
  post([this, shutdown_at] { drain(shutdown_at); });
}

void
proxy_traffic::drain(mono_ms shutdown_at)
{
  is_draining_ = true;
  proxy_.shutdown = planned_shutdown{ read_clocks().mono, shutdown_at };
  // Closing a connection may remove its entry from callers_, so the connections are copied first.
  std::vector<caller_stream_ptr> streams;
  streams.reserve(callers_.size());
  for (const auto& [id, item] : callers_) {
    streams.push_back(item.stream);
  }
  for (const caller_stream_ptr& stream : streams) {
    stream->close_when_idle();
  }
  watch_unsent_responses();
}

std::size_t
proxy_traffic::count_unsent_responses() const
{
  const auto is_unsent_to_caller = [](const auto& item) {
    return item.second.stream->unsent_bytes() > 0;
  };
  const auto is_unsent_to_peer = [](const auto& item) {
    return item.second.stream->unsent_bytes() > 0 || !item.second.held_frames.empty();
  };
  return static_cast<std::size_t>(
    std::count_if(callers_.begin(), callers_.end(), is_unsent_to_caller) +
    std::count_if(sessions_.begin(), sessions_.end(), is_unsent_to_peer));
}

void
proxy_traffic::watch_unsent_responses()
{
  update_load_counters();
  timers_.schedule(UNSENT_CHECK_INTERVAL_MS, [this] { watch_unsent_responses(); });
}

void
proxy_traffic::expire_requests()
{
  post([this] {
    // Ending a request removes its entry from exchanges_, so the ids are copied first.
    std::vector<exchange_id> open;
    open.reserve(exchanges_.size());
    for (const auto& [id, item] : exchanges_) {
      open.push_back(id);
    }
    for (const exchange_id id : open) {
      raise(id, exchange_expired{});
    }
  });
}

void
proxy_traffic::update_load_counters()
{
  open_requests_ =
    exchanges_.size() + server_requests_.size() + (is_draining_ ? count_unsent_responses() : 0);
  const load_report report = current_load();
  bulk_wait_ms_ = report.bulk_wait_ms;
  running_ = report.running;
  waiting_ = report.waiting;
  usable_slots_ = usable_slots();
  slowness_permille_ = report.slowness_permille;
  lines_dropped_ = log_rate_limiter_.routine_dropped() + log_rate_limiter_.failures_dropped();
  failure_lines_dropped_ = log_rate_limiter_.failures_dropped();
}

load_report
proxy_traffic::load() const
{
  return { running_.load(),
           waiting_.load(),
           usable_slots_.load(),
           slowness_permille_.load(),
           bulk_wait_ms_.load() };
}

} // namespace shallotfield
