// Measures how long a change takes until it is in force everywhere and what it costs, for the
// chosen distribution and for the baseline in which every node polls the log. Both run on the same
// clock in memory, with the delays of the two deployments.
#include "fakes/fake_fleet.h"

#include <QCoreApplication>
#include <ctime>
#include <iostream>

using namespace shallotfield;

namespace {

constexpr int CHANGES = 40;
constexpr double IDLE_S = 20;
constexpr mono_ms POLL_MS = 1000;

/** Bytes of the head of a poll and of its answer; bodies are counted as they are. */
constexpr std::uint64_t POLL_HEADER_BYTES = 180 + 130;

/** One-way delays of a deployment, in ms (rounded up to the clock's resolution). */
struct deployment
{
  std::string name;
  mono_ms between_zones;
  mono_ms between_regions;
};

/** What one run gave. */
struct figures
{
  std::vector<mono_ms> times;       ///< From the append to each node, all changes.
  double idle_bytes_per_s = 0;      ///< Control bytes a second and node.
  double idle_link_bytes_per_s = 0; ///< Bytes a second across the paid link, the log's included.
  double link_bytes_per_change =
    0;                         ///< Bytes across the paid link for a change, beyond those at rest.
  double reads_per_change = 0; ///< Reads of the log for a change.
  double cpu_us = 0;           ///< Processor time of the decisions, in us a second and node.
};

/** A document of today's size, with one number that changes. */
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

/** Bytes of the answer to a read that brings a record. */
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

figures
measure_tree(const deployment& place, int nodes)
{
  fake_fleet fleet;
  add_two_regions(fleet, nodes / 4);
  fleet.delay = [&](const member_record& a, const member_record& b) {
    return a.region != b.region ? place.between_regions : place.between_zones;
  };
  fleet.log_delay = [&](const member_record& a) {
    return a.region == "west" ? place.between_zones : place.between_regions;
  };
  for (auto& [id, node] : fleet.nodes) {
    node.info = { "catalogue", 20, server_state::ready };
  }
  fleet.run(30'000);
  fleet.counts_bytes = true;
  figures result;
  const auto cpu = std::clock();
  fleet.run(static_cast<mono_ms>(IDLE_S * 1000));
  result.cpu_us = 1e6 * static_cast<double>(std::clock() - cpu) / CLOCKS_PER_SEC / nodes / IDLE_S;
  result.idle_bytes_per_s = static_cast<double>(fleet.bytes) / nodes / IDLE_S;
  // The hub of the other region holds one read open for log_wait_ms at a time.
  const double log_at_rest = (POLL_HEADER_BYTES + 40) / 10.0;
  result.idle_link_bytes_per_s = static_cast<double>(fleet.region_bytes) / IDLE_S + log_at_rest;
  fleet.step_ms = 1;
  const std::uint64_t reads_before = fleet.nonempty_reads;
  for (int change = 1; change <= CHANGES; ++change) {
    const std::uint64_t before = fleet.region_bytes;
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
    fleet.run(2000 - (fleet.now.mono - start));
    const double at_rest = (result.idle_link_bytes_per_s - log_at_rest) * 2;
    result.link_bytes_per_change +=
      (static_cast<double>(fleet.region_bytes - before) - at_rest) / CHANGES;
    result.link_bytes_per_change +=
      static_cast<double>(POLL_HEADER_BYTES +
                          response_bytes(fleet.log.streams[log_service_stream::config])) /
      CHANGES;
  }
  // Reads that find nothing are held open by the log; they are no work for it.
  result.reads_per_change = static_cast<double>(fleet.nonempty_reads - reads_before) / CHANGES;
  return result;
}

figures
measure_polling(const deployment& place, int nodes)
{
  random_source random(1);
  std::vector<mono_ms> phase;
  phase.reserve(static_cast<std::size_t>(nodes));
  for (int i = 0; i < nodes; ++i) {
    phase.push_back(static_cast<mono_ms>(random() % POLL_MS));
  }
  fake_log log;
  figures result;
  const double polls = 1000.0 / POLL_MS;
  result.idle_bytes_per_s = static_cast<double>(POLL_HEADER_BYTES + 40) * polls;
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
      const mono_ms way = i % 4 < 2 ? place.between_zones : place.between_regions;
      const mono_ms wait =
        (phase[static_cast<std::size_t>(i)] - appended + way + 2 * POLL_MS) % POLL_MS;
      result.times.push_back(wait + way);
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
      const deployment& place,
      int nodes,
      double baseline,
      double chosen,
      const std::string& unit)
{
  std::cout << "measure=" << measure << " case=" << place.name << " nodes=" << nodes
            << " baseline=" << baseline << " chosen=" << chosen
            << " ratio=" << (baseline == 0 ? 0 : chosen / baseline) << " unit=" << unit
            << std::endl;
}

} // namespace

int
main(int argc, char** argv)
{
  const QCoreApplication application(argc, argv);
  for (const deployment& place :
       { deployment{ "puzzlemend", 1, 8 }, deployment{ "laboratory", 1, 8 } }) {
    for (const int nodes : { 4, 16, 60 }) {
      const figures base = measure_polling(place, nodes);
      const figures chosen = measure_tree(place, nodes);
      const auto time = [&](const std::string& name, std::size_t percent) {
        print("convergence_" + name,
              place,
              nodes,
              static_cast<double>(percentile(base.times, percent)),
              static_cast<double>(percentile(chosen.times, percent)),
              "ms");
      };
      time("median", 50);
      time("p99", 99);
      time("last", 100);
      print(
        "node_bytes_at_rest", place, nodes, base.idle_bytes_per_s, chosen.idle_bytes_per_s, "B/s");
      print("link_bytes_at_rest",
            place,
            nodes,
            base.idle_link_bytes_per_s,
            chosen.idle_link_bytes_per_s,
            "B/s");
      print("link_bytes_per_change",
            place,
            nodes,
            base.link_bytes_per_change,
            chosen.link_bytes_per_change,
            "B");
      print("log_reads_per_change",
            place,
            nodes,
            base.reads_per_change,
            chosen.reads_per_change,
            "reads");
      print("decision_cpu_at_rest", place, nodes, 0, chosen.cpu_us, "us/s");
    }
  }
  return 0;
}
