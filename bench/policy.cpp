// Measures server selection, admission control and retries in a simulation with four servers in one
// zone. The baseline is round robin over all servers with a queue of unlimited length. Also
// measures what a proxy remembers of requests that crash servers, and what it tells other proxies.
#include "request/request.h"

#include <QCoreApplication>
#include <fstream>
#include <iostream>
#include <queue>

using namespace shallotfield;

namespace {

constexpr std::uint32_t SLOTS_PER_SERVER = 20;
constexpr int SERVERS = 4;

/** Mean service time of interactive requests, and service time of bulk requests. */
constexpr mono_ms SERVICE_MS = 20;
constexpr mono_ms BULK_SERVICE_MS = 2000;

/** Time by which an interactive request must be answered. */
constexpr mono_ms TIMEOUT_MS = 500;

/** Length of a run, and of its first part, in which no responses are counted. */
constexpr mono_ms DURATION_MS = 30'000;
constexpr mono_ms WARMUP_MS = 3000;

/** Number of interactive requests per second that all slots together can run. */
constexpr double CAPACITY_PER_S = SERVERS * SLOTS_PER_SERVER * 1000.0 / SERVICE_MS;

/** The load of one run. The rate of interactive requests alternates every second between `low` and
 * `high`. */
struct load_pattern
{
  double low = 0;          ///< Lower rate, as a fraction of CAPACITY_PER_S.
  double high = 0;         ///< Higher rate, as a fraction of CAPACITY_PER_S.
  double bulk_per_s = 0;   ///< Number of bulk requests per second.
  int slowdown_factor = 1; ///< Factor on the service times of the first server.
};

/** The results of one run. */
struct measurements
{
  double goodput = 0; ///< Rate of interactive responses in time, as a fraction of CAPACITY_PER_S.
  double p99_ms = 0;  ///< 99th percentile of the latency of interactive requests answered in time.
  double extra_attempts_percent = 0; ///< Number of attempts beyond the first, per 100 requests.
};

/** A request that is waiting or running. */
struct open_request
{
  mono_ms arrived_at = 0;                    ///< When the request arrived.
  work_class kind = work_class::interactive; ///< Class of the request.
  int attempts = 0;                          ///< Number of attempts so far.
  int server = 0;                            ///< Server of the latest attempt.
  mono_ms sent_at = 0;                       ///< When the latest attempt was sent.
  std::set<node_id> tried;                   ///< Nodes of all attempts.
};

/** Simulates four servers under load, with the policies or with the baseline. Time advances in
 * steps of 1 ms. */
class simulation
{
public:
  simulation(bool uses_policies, load_pattern pattern)
    : uses_policies_(uses_policies)
    , pattern_(pattern)
    , members_(make_node(0), { 0, 0 })
  {
    for (int i = 0; i < SERVERS; ++i) {
      members_.merge(make_node(i), { 0, 0 });
      // The policies use the default settings.
      const admission_limits limits =
        uses_policies ? admission_limits{ 64, 40 } : admission_limits{ 1 << 30, 100 };
      controllers_.emplace_back(limits);
      controllers_.back().handle(
        admission_server_changed{ { "s", SLOTS_PER_SERVER, server_state::ready } }, 0);
    }
    view_ = members_.build_view();
  }

  measurements run()
  {
    // Numbers of requests that are due; the fractions carry over to the next step.
    double due = 0;
    double bulk_due = 0;
    for (now_ = 1; now_ < DURATION_MS; ++now_) {
      finish_due_requests();
      const double load = (now_ / 1000) % 2 == 0 ? pattern_.low : pattern_.high;
      for (due += load * CAPACITY_PER_S / 1000; due >= 1; due -= 1) {
        start(work_class::interactive);
      }
      for (bulk_due += pattern_.bulk_per_s / 1000; bulk_due >= 1; bulk_due -= 1) {
        start(work_class::bulk);
      }
      if (uses_policies_) {
        for (int i = 0; i < SERVERS; ++i) {
          perform(i, controllers_[static_cast<std::size_t>(i)].handle(admission_tick{}, now_));
        }
      }
    }
    measurements result;
    std::sort(latencies_ms_.begin(), latencies_ms_.end());
    result.goodput =
      static_cast<double>(latencies_ms_.size()) * 1000 / (DURATION_MS - WARMUP_MS) / CAPACITY_PER_S;
    result.p99_ms = latencies_ms_.empty()
                      ? 0
                      : static_cast<double>(latencies_ms_[latencies_ms_.size() * 99 / 100]);
    result.extra_attempts_percent =
      100.0 * static_cast<double>(extra_attempts_) / static_cast<double>(next_ticket_);
    return result;
  }

private:
  static member_record make_node(int i)
  {
    member_record record;
    record.id = "n" + std::to_string(i);
    record.incarnation = static_cast<std::uint64_t>(i);
    record.state = member_state::alive;
    record.zone = "z";
    record.server = { "s", SLOTS_PER_SERVER, server_state::ready };
    return record;
  }

  void start(work_class kind)
  {
    const ticket id = next_ticket_++;
    open_[id] = { now_, kind, 0, 0, 0, {} };
    budget_.deposit(5);
    attempt(id);
  }

  void attempt(ticket id)
  {
    open_request& request = open_.at(id);
    ++request.attempts;
    if (uses_policies_) {
      const auto pick = pick_server(version_,
                                    *view_,
                                    stats_table_,
                                    "n0",
                                    { "s", request.kind, "", request.tried },
                                    now_,
                                    random_);
      if (!pick) {
        open_.erase(id);
        return;
      }
      request.server = pick->server->id[1] - '0';
    } else {
      request.server = next_server_++ % SERVERS;
    }
    const node_id node = "n" + std::to_string(request.server);
    request.tried.insert(node);
    request.sent_at = now_;
    stats_table_.record_sent(node);
    admission& controller = controllers_[static_cast<std::size_t>(request.server)];
    const mono_ms limit = request.kind == work_class::bulk ? 60'000 : TIMEOUT_MS;
    const mono_ms deadline = uses_policies_ ? request.arrived_at + limit : INT64_MAX / 2;
    perform(request.server,
            controller.handle(admission_arrival{ id, request.kind, "", deadline }, now_));
  }

  void perform(int server, const std::vector<admission_effect>& effects)
  {
    for (const admission_effect& effect : effects) {
      if (const auto* started = std::get_if<admission_start>(&effect)) {
        mono_ms service_ms =
          open_.at(started->id).kind == work_class::bulk
            ? BULK_SERVICE_MS
            : SERVICE_MS / 2 + static_cast<mono_ms>(random_() % (SERVICE_MS + 1));
        service_ms *= server == 0 ? pattern_.slowdown_factor : 1;
        completions_.push({ now_ + service_ms, started->id });
      } else {
        handle_refusal(server, std::get<admission_refuse>(effect));
      }
    }
  }

  void handle_refusal(int server, const admission_refuse& effect)
  {
    const node_id node = "n" + std::to_string(server);
    stats_table_.record_ended(node);
    stats_table_.record_load(
      node, controllers_[static_cast<std::size_t>(server)].report(now_), now_);
    const open_request& request = open_.at(effect.id);
    const retry_request latest{ effect.reason,
                                outcome::not_run,
                                true,
                                static_cast<std::size_t>(request.attempts),
                                request.arrived_at + TIMEOUT_MS - now_ };
    if (decide_retry(latest, budget_) == retry_verdict::allowed) {
      ++extra_attempts_;
      attempt(effect.id);
    } else {
      open_.erase(effect.id);
    }
  }

  void finish_due_requests()
  {
    while (!completions_.empty() && completions_.top().first <= now_) {
      const ticket id = completions_.top().second;
      completions_.pop();
      const open_request request = open_.at(id);
      open_.erase(id);
      admission& controller = controllers_[static_cast<std::size_t>(request.server)];
      const node_id node = "n" + std::to_string(request.server);
      stats_table_.record_ended(node);
      stats_table_.record_response(
        node, static_cast<double>(now_ - request.sent_at), controller.report(now_), now_);
      const mono_ms latency_ms = now_ - request.arrived_at;
      if (request.kind == work_class::interactive && latency_ms <= TIMEOUT_MS && now_ > WARMUP_MS) {
        latencies_ms_.push_back(latency_ms);
      }
      perform(request.server, controller.handle(admission_finish{ id }, now_));
    }
  }

  /** When a request will leave its slot. */
  using completion = std::pair<mono_ms, ticket>;
  bool uses_policies_;
  load_pattern pattern_;
  membership members_;
  member_view_ptr view_;
  compiled_version version_;
  server_stats_table stats_table_;
  retry_budget budget_;
  random_source random_{ 7 };
  std::vector<admission> controllers_;
  std::map<ticket, open_request> open_;
  std::priority_queue<completion, std::vector<completion>, std::greater<>> completions_;
  std::vector<mono_ms> latencies_ms_;
  ticket next_ticket_ = 0;
  int next_server_ = 0;
  std::uint64_t extra_attempts_ = 0;
  mono_ms now_ = 0;
};

void
print(const std::string& measure,
      const std::string& name,
      double baseline,
      double with_policies,
      const std::string& unit)
{
  std::cout << "measure=" << measure << " case=" << name << " baseline=" << baseline
            << " chosen=" << with_policies
            << " ratio=" << (baseline == 0 ? 0 : with_policies / baseline) << " unit=" << unit
            << std::endl;
}

void
compare(const std::string& name, const load_pattern& pattern)
{
  const measurements baseline_results = simulation(false, pattern).run();
  const measurements policy_results = simulation(true, pattern).run();
  print("goodput", name, baseline_results.goodput, policy_results.goodput, "of_capacity");
  print("lookup_p99", name, baseline_results.p99_ms, policy_results.p99_ms, "ms");
  print("extra_attempts",
        name,
        baseline_results.extra_attempts_percent,
        policy_results.extra_attempts_percent,
        "in_100");
}

/** Returns the resident memory of this process in KB. */
double
resident_kb()
{
  static constexpr double PAGE_KB = 4;
  std::ifstream status("/proc/self/statm");
  double total = 0;
  double resident = 0;
  status >> total >> resident;
  return resident * PAGE_KB;
}

/** Measures the records of crashes: those of one crash with all slots occupied in a datagram to
 * each proxy of a fleet, and a full table of them in memory. */
void
measure_crash_records()
{
  static constexpr std::uint64_t RECORDS_OF_A_CRASH = 2 * 18;
  static constexpr int REPETITIONS = 3;
  static constexpr std::uint64_t REQUESTS = 4096;
  const auto make_record = [](std::uint64_t i) {
    static constexpr std::uint64_t SPREAD = 0x9e3779b97f4a7c15U;
    return crash_record{ { i * SPREAD, (i + 1) * SPREAD }, (i + 2) * SPREAD, 0 };
  };
  std::vector<crash_record> records;
  for (std::uint64_t i = 1; i <= RECORDS_OF_A_CRASH; ++i) {
    records.push_back(make_record(i));
  }
  std::size_t bytes = 0;
  for (const std::string& datagram : encode_crash_records(records, 0)) {
    bytes += datagram.size();
  }
  bytes *= REPETITIONS;
  print("crash_bytes_received", "by_each_proxy", 0, static_cast<double>(bytes), "bytes");
  for (const std::size_t proxies : { 12U, 87U, 295U, 4000U }) {
    print("crash_bytes_sent",
          "proxies_" + std::to_string(proxies),
          0,
          static_cast<double>(bytes * (proxies - 1)),
          "bytes");
  }
  const double before_kb = resident_kb();
  crash_registry registry;
  for (std::uint64_t i = 1; i <= REQUESTS; ++i) {
    registry.add(make_record(i), 0);
  }
  const std::array<crash_view_ptr, 2> views = { registry.build_view(), registry.build_view() };
  print("crash_memory",
        std::to_string(views[0]->size()) + "_requests",
        0,
        resident_kb() - before_kb,
        "KB");
}

} // namespace

int
main(int argc, char** argv)
{
  const QCoreApplication application(argc, argv);
  measure_crash_records(); // First, since memory that others have freed would be used again.
  compare("steady_0.6", { 0.6, 0.6, 0, 1 });
  compare("swing_0.3_to_2", { 0.3, 2.0, 0, 1 });
  compare("overload_2", { 2.0, 2.0, 0, 1 });
  compare("straggler_1_of_4_at_0.5", { 0.5, 0.5, 0, 10 });
  compare("without_straggler_at_0.5", { 0.5, 0.5, 0, 1 });
  compare("bulk_at_0.4", { 0.4, 0.4, 15, 1 });
  compare("without_bulk_at_0.4", { 0.4, 0.4, 0, 1 });
  return 0;
}
