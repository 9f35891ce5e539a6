// Measures how long a configuration change takes until it is in force on all nodes, and how much
// traffic and load it causes. The distribution tree is compared with the baseline, in which every
// node polls the log. Both are simulated in memory with the network latencies of two deployments.
#include "fakes/fake_fleet.h"

#include <QCoreApplication>
#include <ctime>
#include <iostream>

using namespace shallotfield;

namespace {

/** Number of configuration changes in a run. */
constexpr int CHANGES = 40;

/** Duration of the measurement without changes. */
constexpr double IDLE_S = 20;

/** Interval at which each node polls the log in the baseline. */
constexpr mono_ms POLL_MS = 1000;

/** Bytes of the HTTP headers of a log read and of its response. */
constexpr std::uint64_t POLL_HEADER_BYTES = 180 + 130;

/**
 * A deployment of two regions with two availability zones each, and its one-way network latencies.
 * They are rounded up to whole ms, the resolution of the simulation.
 */
struct deployment
{
  std::string name;
  mono_ms between_zones;
  mono_ms between_regions;
};

/** Results of one run. */
struct measurements
{
  /** Time from the append of a change until it is in force on a node; one per change and node. */
  std::vector<mono_ms> times;
  /** Traffic per node without changes. For the tree this is the traffic between nodes only. */
  double idle_bytes_per_s = 0;
  /** Traffic without changes over the billed link between the regions, log reads included. */
  double idle_link_bytes_per_s = 0;
  double link_bytes_per_change = 0; ///< Additional traffic over the billed link per change.
  double reads_per_change = 0;      ///< Reads of the log per change.
  double cpu_us_per_s = 0;          ///< Processor time of the control state per node.
};

/** Returns a document of a usual size, with one number that depends on `change`. */
nlohmann::json
make_document(int change)
{
  nlohmann::json document;
  for (const std::string name : { "catalogue", "ordering", "templates" }) {
    document["services"][name] = { { "timeout_ms", 1000 } };
    document["routes"][name] = { { "path_prefix", "/" + name },
                                 { "targets", { { { "service", name } } } } };
  }
  document["services"]["catalogue"]["timeout_ms"] = 1000 + change;
  return document;
}

/**
 * Returns the size of the response body of a log read. The body holds the latest record in base64;
 * without a record it has 40 bytes.
 */
std::uint64_t
response_bytes(const fake_log::stream& from)
{
  return from.records.empty() ? 40 : 60 + from.records.back().size() * 4 / 3;
}

mono_ms
percentile(std::vector<mono_ms> values, std::size_t percent)
{
  std::sort(values.begin(), values.end());
  return values[(values.size() - 1) * percent / 100];
}

measurements
measure_tree(const deployment& setup, int nodes)
{
  fake_fleet fleet;
  add_two_regions(fleet, nodes / 4);
  fleet.delay = [&](const member_record& a, const member_record& b) {
    return a.region != b.region ? setup.between_regions : setup.between_zones;
  };
  fleet.log_delay = [&](const member_record& a) {
    return a.region == "west" ? setup.between_zones : setup.between_regions;
  };
  for (auto& [id, node] : fleet.nodes) {
    node.info = { "catalogue", 20, server_state::ready };
  }
  fleet.run(30'000);
  fleet.counts_bytes = true;
  measurements result;
  const auto cpu_start = std::clock();
  fleet.run(static_cast<mono_ms>(IDLE_S * 1000));
  result.cpu_us_per_s =
    1e6 * static_cast<double>(std::clock() - cpu_start) / CLOCKS_PER_SEC / nodes / IDLE_S;
  result.idle_bytes_per_s = static_cast<double>(fleet.bytes) / nodes / IDLE_S;
  // One hub reads the log across the region boundary. Each read of the idle log stays open for
  // log_wait_ms (10 s), so that there is one read per 10 s.
  const double log_idle_bytes_per_s = (POLL_HEADER_BYTES + 40) / 10.0;
  result.idle_link_bytes_per_s =
    static_cast<double>(fleet.cross_region_bytes) / IDLE_S + log_idle_bytes_per_s;
  fleet.step_ms = 1;
  const std::uint64_t reads_before = fleet.nonempty_reads;
  for (int change = 1; change <= CHANGES; ++change) {
    const std::uint64_t before = fleet.cross_region_bytes;
    const mono_ms start = fleet.now.mono;
    fleet.publish("west-b-0", "c" + std::to_string(change), make_document(change));
    std::set<node_id> done;
    while (done.size() < fleet.nodes.size()) {
      fleet.run(1);
      for (const auto& [id, node] : fleet.nodes) {
        if (node.version->number == static_cast<std::uint64_t>(change) && done.insert(id).second) {
          result.times.push_back(fleet.now.mono - fleet.appended_at);
        }
      }
    }
    // A change takes 2 s in all; the idle traffic of this time is subtracted.
    fleet.run(2000 - (fleet.now.mono - start));
    const double idle_bytes = (result.idle_link_bytes_per_s - log_idle_bytes_per_s) * 2;
    result.link_bytes_per_change +=
      (static_cast<double>(fleet.cross_region_bytes - before) - idle_bytes) / CHANGES;
    result.link_bytes_per_change +=
      static_cast<double>(POLL_HEADER_BYTES +
                          response_bytes(fleet.log.streams[log_service_stream::config])) /
      CHANGES;
  }
  // Reads that return no records wait at the log and cost it nothing, so they are not counted.
  result.reads_per_change = static_cast<double>(fleet.nonempty_reads - reads_before) / CHANGES;
  return result;
}

measurements
measure_polling(const deployment& setup, int nodes)
{
  random_source random(1);
  std::vector<mono_ms> phase;
  phase.reserve(static_cast<std::size_t>(nodes));
  for (int i = 0; i < nodes; ++i) {
    phase.push_back(static_cast<mono_ms>(random() % POLL_MS));
  }
  fake_log log;
  measurements result;
  const double polls_per_s = 1000.0 / POLL_MS;
  result.idle_bytes_per_s = static_cast<double>(POLL_HEADER_BYTES + 40) * polls_per_s;
  result.idle_link_bytes_per_s = result.idle_bytes_per_s * nodes / 2;
  compiled_version version;
  version.source = nlohmann::json::object();
  for (int change = 1; change <= CHANGES; ++change) {
    proposal next = make_proposal(version, make_document(change));
    next.publish_id = "c" + std::to_string(change);
    next.author = "test";
    log.append(log_service_stream::config, encode_proposal(next));
    version.source = make_document(change);
    const auto appended = static_cast<mono_ms>(random() % POLL_MS);
    for (int i = 0; i < nodes; ++i) {
      // As in add_two_regions(), half of the nodes are in the region of the log.
      const mono_ms latency = i % 4 < 2 ? setup.between_zones : setup.between_regions;
      const mono_ms wait =
        (phase[static_cast<std::size_t>(i)] - appended + latency + 2 * POLL_MS) % POLL_MS;
      result.times.push_back(wait + latency);
    }
    result.link_bytes_per_change +=
      static_cast<double>(response_bytes(log.streams[log_service_stream::config]) - 40) * nodes /
      2 / CHANGES;
  }
  result.reads_per_change = nodes;
  return result;
}

void
print(const std::string& measure,
      const deployment& setup,
      int nodes,
      double baseline,
      double tree,
      const std::string& unit)
{
  std::cout << "measure=" << measure << " case=" << setup.name << " nodes=" << nodes
            << " baseline=" << baseline << " chosen=" << tree
            << " ratio=" << (baseline == 0 ? 0 : tree / baseline) << " unit=" << unit << std::endl;
}

} // namespace

int
main(int argc, char** argv)
{
  const QCoreApplication application(argc, argv);
  for (const deployment& setup :
       { deployment{ "puzzlemend", 1, 8 }, deployment{ "laboratory", 1, 8 } }) {
    for (const int nodes : { 4, 16, 60 }) {
      const measurements polling = measure_polling(setup, nodes);
      const measurements tree = measure_tree(setup, nodes);
      const auto print_times = [&](const std::string& name, std::size_t percent) {
        print("convergence_" + name,
              setup,
              nodes,
              static_cast<double>(percentile(polling.times, percent)),
              static_cast<double>(percentile(tree.times, percent)),
              "ms");
      };
      print_times("median", 50);
      print_times("p99", 99);
      print_times("last", 100);
      print(
        "node_bytes_at_rest", setup, nodes, polling.idle_bytes_per_s, tree.idle_bytes_per_s, "B/s");
      print("link_bytes_at_rest",
            setup,
            nodes,
            polling.idle_link_bytes_per_s,
            tree.idle_link_bytes_per_s,
            "B/s");
      print("link_bytes_per_change",
            setup,
            nodes,
            polling.link_bytes_per_change,
            tree.link_bytes_per_change,
            "B");
      print("log_reads_per_change",
            setup,
            nodes,
            polling.reads_per_change,
            tree.reads_per_change,
            "reads");
      print("decision_cpu_at_rest", setup, nodes, 0, tree.cpu_us_per_s, "us/s");
    }
  }
  return 0;
}
