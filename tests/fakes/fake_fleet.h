// A fleet of control states with an in-memory network, an in-memory log service and a simulated
// clock. The model is kept simple: messages on a link arrive in order, as with TCP, and faults
// begin and end only when a test says so.
#pragma once
#include "process/node.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace shallotfield {

/** In-memory log service. */
struct fake_log
{
  /** A stream of records. */
  struct stream
  {
    std::uint64_t first = 1;         ///< Offset of the oldest record that is held.
    std::deque<std::string> records; ///< Records from that offset on.
  };

  std::map<log_service_stream, stream> streams; ///< The streams.
  bool is_down = false;                         ///< All calls are refused.
  bool loses_responses = false; ///< Appends take effect, but their responses are lost.

  /** Removes the oldest records of a stream, so that at most `kept` are left. */
  void retain(log_service_stream name, std::size_t kept)
  {
    stream& target = streams[name];
    while (target.records.size() > kept) {
      target.records.pop_front();
      ++target.first;
    }
  }

  log_service_page read(const read_log& call)
  {
    const stream& from = streams[call.stream];
    log_service_page page{ from.first, from.first + from.records.size(), {} };
    for (std::uint64_t at = std::max(call.from, from.first);
         at < page.next && page.records.size() < call.limit;
         ++at) {
      page.records.push_back({ at, from.records[at - from.first] });
    }
    return page;
  }

  /** Appends a record to a stream. Returns its offset. */
  std::uint64_t append(log_service_stream name, const std::string& bytes)
  {
    stream& to = streams[name];
    to.records.push_back(bytes);
    return to.first + to.records.size() - 1;
  }
};

/** A simulated node. */
struct fake_node
{
  settings options;                            ///< Settings.
  member_record record;                        ///< Member record at its start.
  std::unique_ptr<control> state;              ///< Control state; none while the node is down.
  bool is_frozen = false;                      ///< The process is paused and handles no events.
  std::multimap<mono_ms, control_event> inbox; ///< Events by the time at which they arrive.
  mono_ms next_tick = 0;                       ///< Time of the next tick.
  server_info info; ///< Backend server, announced with each tick unless its state is none.
  compiled_version_ptr version;                     ///< Version last handed to the traffic threads.
  member_view_ptr view;                             ///< Members last handed to them.
  mono_ms lease_until = 0;                          ///< End of the lease last handed to them.
  std::vector<send_publish_result> publish_results; ///< Publish results sent to operators.
  std::vector<std::string> logged_lines;            ///< Log lines.
  std::uint64_t highest_version = 0;                ///< Highest version in force since its start.
  /** Links by their number at this node: the peer, and the number of the same link at the peer. */
  std::map<link_id, std::pair<node_id, link_id>> peers;
};

/** A simulated fleet. */
class fake_fleet
{
public:
  fake_log log;                                ///< Log service.
  instant now{ 1'000'000, 1'700'000'000'000 }; ///< Simulated time.
  std::map<node_id, fake_node> nodes;          ///< Nodes by id.
  /** Pairs of zones that can't reach each other; a pair of a zone and "log" cuts off the log. */
  std::set<std::pair<std::string, std::string>> partitions;
  mono_ms appended_at = 0;          ///< Time of the latest append of a proposal.
  std::uint64_t messages = 0;       ///< Number of messages sent.
  std::uint64_t reads = 0;          ///< Number of reads from the log.
  std::uint64_t nonempty_reads = 0; ///< Number of reads that returned records.
  std::uint64_t snapshots_sent = 0; ///< Number of snapshots sent between nodes.
  /** Number of log records that the nodes of a region were sent by nodes of other regions. */
  std::map<std::string, std::uint64_t> cross_region_records;
  mono_ms step_ms = 10;                 ///< Resolution of the simulated time.
  bool counts_bytes = false;            ///< Whether messages are encoded to count their bytes.
  std::uint64_t bytes = 0;              ///< Bytes of all messages sent.
  std::uint64_t cross_region_bytes = 0; ///< Bytes of the messages between regions.

  /** One-way latency between two nodes; 5 ms if unset. */
  std::function<mono_ms(const member_record&, const member_record&)> delay;

  /** One-way latency between a node and the log; if unset, a call takes 5 ms in all. */
  std::function<mono_ms(const member_record&)> log_delay;

  /** Adds a node with at most three seeds and starts it. */
  void add(const node_id& id, const std::string& region, const std::string& zone)
  {
    fake_node& node = nodes[id];
    node.options = *parse_settings(nlohmann::json{
      { "node_id", id },
      { "region", region },
      { "zone", zone },
      { "host", "127.0.0.1" },
      { "log_url", "http://127.0.0.1:1" },
      { "operators_token", "t" } }.dump());
    node.record.id = id;
    node.record.state = member_state::alive;
    node.record.region = region;
    node.record.zone = zone;
    node.record.control = { "127.0.0.1", static_cast<std::uint16_t>(1000 + nodes.size()) };
    for (const auto& [other, item] : nodes) {
      if (seeds_.size() < 3) {
        seeds_.push_back(item.record.control);
        break;
      }
    }
    node.options.seeds = seeds_;
    start(id);
  }

  /** Starts or restarts a node with an empty state. */
  void start(const node_id& id)
  {
    fake_node& node = nodes.at(id);
    node.record.incarnation = static_cast<std::uint64_t>(now.unix);
    node.state = std::make_unique<control>(node.options, node.record, now);
    node.version = node.state->config().current();
    node.view = node.state->members().build_view();
    node.lease_until = 0;
    node.is_frozen = false;
    node.inbox.clear();
    node.next_tick = now.mono;
    node.highest_version = 0;
  }

  /** Stops a node abruptly. Peers that can reach it see their connections close. */
  void kill(const node_id& id)
  {
    fake_node& node = nodes.at(id);
    node.state.reset();
    for (const auto& [link, peer] : node.peers) {
      if (!is_partitioned(id, peer.first)) {
        schedule(peer.first, 1, link_ended{ peer.second, link_close_reason::closed });
      }
      nodes.at(peer.first).peers.erase(peer.second);
    }
    node.peers.clear();
  }

  /** Publishes a document at a node. Returns the ticket of the publish. */
  publish_ticket publish(const node_id& id,
                         const std::string& publish_id,
                         const nlohmann::json& target,
                         std::optional<std::uint64_t> base = std::nullopt)
  {
    const publish_ticket ticket = next_ticket_++;
    deliver_event(id, publish_requested{ ticket, publish_id, "test", base, target });
    return ticket;
  }

  /** Advances the simulated time and handles all events that become due. */
  void run(mono_ms ms)
  {
    for (mono_ms passed = 0; passed < ms; passed += step_ms) {
      now.mono += step_ms;
      now.unix += step_ms;
      for (auto& [id, node] : nodes) {
        step(id, node);
      }
    }
  }

  /** Advances the time until a condition holds. Returns false if it doesn't within `bound`. */
  bool run_until(mono_ms bound, const std::function<bool()>& is_met)
  {
    for (mono_ms passed = 0; passed < bound && !is_met(); passed += step_ms) {
      run(step_ms);
    }
    return is_met();
  }

  /** Whether all running nodes have this version in force. */
  bool all_have_version(std::uint64_t version) const
  {
    return std::all_of(nodes.begin(), nodes.end(), [version](const auto& item) {
      return !item.second.state || item.second.version->number == version;
    });
  }

  /** Delivers an event to a node at once and performs the resulting effects. */
  void deliver_event(const node_id& id, const control_event& event)
  {
    fake_node& node = nodes.at(id);
    for (const control_effect& effect : node.state->handle(event, now)) {
      apply_effect(id, effect);
    }
  }

  /** Whether the network between two nodes is partitioned. */
  bool is_partitioned(const node_id& a, const node_id& b) const
  {
    const std::string& zone_a = nodes.at(a).record.zone;
    const std::string& zone_b = nodes.at(b).record.zone;
    return partitions.contains({ zone_a, zone_b }) || partitions.contains({ zone_b, zone_a });
  }

private:
  static constexpr mono_ms LINK_DELAY_MS = 5;
  static constexpr mono_ms TICK_INTERVAL_MS = 100;
  static constexpr mono_ms CONNECT_TIMEOUT_MS = 2000;

  void schedule(const node_id& id, mono_ms delay, control_event event)
  {
    fake_node& node = nodes.at(id);
    if (node.state) {
      node.inbox.emplace(now.mono + delay, std::move(event));
    }
  }

  void step(const node_id& id, fake_node& node)
  {
    if (!node.state || node.is_frozen) {
      return;
    }
    std::vector<control_event> due;
    for (auto it = node.inbox.begin(); it != node.inbox.end() && it->first <= now.mono;) {
      // A message from behind a partition is delayed until the partition ends, as TCP would.
      const auto* message = std::get_if<message_arrived>(&it->second);
      const bool is_held = message != nullptr && node.peers.contains(message->link) &&
                           is_partitioned(id, node.peers.at(message->link).first);
      if (is_held) {
        ++it;
      } else {
        due.push_back(std::move(it->second));
        it = node.inbox.erase(it);
      }
    }
    for (const control_event& event : due) {
      if (node.state) {
        deliver_event(id, event);
      }
    }
    if (node.state && now.mono >= node.next_tick) {
      node.next_tick = now.mono + TICK_INTERVAL_MS;
      if (node.info.state != server_state::none) {
        deliver_event(id, server_announced{ node.info });
      }
      deliver_event(id, control_tick{});
    }
  }

  void apply_effect(const node_id& id, const control_effect& effect)
  {
    fake_node& node = nodes.at(id);
    std::visit(overloaded{
                 [&](const open_link& item) { open_connection(id, item); },
                 [&](const close_link& item) { close_connection(id, item.link); },
                 [&](const send_control& item) { send(id, item); },
                 [&](const read_log& item) { read(id, item); },
                 [&](const append_log& item) { append(id, item); },
                 [&](const send_publish_result& item) { node.publish_results.push_back(item); },
                 [&](const apply_version& item) {
                   node.version = item.version;
                   node.highest_version = std::max(node.highest_version, item.version->number);
                 },
                 [&](const apply_members& item) { node.view = item.view; },
                 [&](const apply_lease& item) { node.lease_until = item.until; },
                 [&](const write_log_line& item) {
                   node.logged_lines.push_back(format_log_line(item.event, item.fields));
                 },
               },
               effect);
  }

  void open_connection(const node_id& id, const open_link& effect)
  {
    for (auto& [other, peer] : nodes) {
      if (peer.record.control == effect.to && peer.state && !is_partitioned(id, other)) {
        const link_id accepted = next_accepted_link_;
        next_accepted_link_ += 2;
        nodes.at(id).peers[effect.link] = { other, accepted };
        peer.peers[accepted] = { id, effect.link };
        schedule(id, LINK_DELAY_MS, link_opened{ effect.link, true });
        schedule(other, LINK_DELAY_MS, link_opened{ accepted, false });
        return;
      }
      if (peer.record.control == effect.to && is_partitioned(id, other)) {
        schedule(
          id, CONNECT_TIMEOUT_MS, link_ended{ effect.link, link_close_reason::not_connected });
        return;
      }
    }
    schedule(id, LINK_DELAY_MS, link_ended{ effect.link, link_close_reason::not_connected });
  }

  void close_connection(const node_id& id, link_id link)
  {
    fake_node& node = nodes.at(id);
    const auto peer = node.peers.find(link);
    if (peer != node.peers.end()) {
      const auto [other, other_link] = peer->second;
      node.peers.erase(peer);
      nodes.at(other).peers.erase(other_link);
      if (!is_partitioned(id, other)) {
        schedule(other, LINK_DELAY_MS, link_ended{ other_link, link_close_reason::closed });
      }
    }
  }

  void send(const node_id& id, const send_control& effect)
  {
    const auto peer = nodes.at(id).peers.find(effect.link);
    if (peer == nodes.at(id).peers.end()) {
      return;
    }
    ++messages;
    const auto [other, link] = peer->second;
    const std::string& region = nodes.at(other).record.region;
    if (const auto* entries = std::get_if<entries_message>(&effect.message)) {
      cross_region_records[region] +=
        region != nodes.at(id).record.region ? entries->entries.size() : 0;
    }
    snapshots_sent += std::holds_alternative<snapshot_message>(effect.message) ? 1 : 0;
    if (counts_bytes) {
      const std::uint64_t size = encode_control(effect.message).size();
      bytes += size;
      cross_region_bytes += region != nodes.at(id).record.region ? size : 0;
    }
    const mono_ms latency =
      delay ? delay(nodes.at(id).record, nodes.at(other).record) : LINK_DELAY_MS;
    schedule(other, latency, message_arrived{ link, effect.message });
  }

  void read(const node_id& id, const read_log& effect)
  {
    ++reads;
    if (log.is_down || is_log_cut(id)) {
      schedule(
        id, LINK_DELAY_MS, log_call_completed{ effect.purpose, 0, log_service_fault::refused });
      return;
    }
    log_service_page page = log.read(effect);
    nonempty_reads += page.records.empty() ? 0 : 1;
    // A read that may wait and finds no records returns empty after 50 ms, whatever its wait_ms. An
    // append meanwhile doesn't complete it earlier.
    const mono_ms latency = log_delay ? 2 * log_delay(nodes.at(id).record) : LINK_DELAY_MS;
    const bool waits = page.records.empty() && effect.wait_ms > 0;
    schedule(id,
             waits ? std::max<mono_ms>(50, latency) : latency,
             log_call_completed{ effect.purpose, 0, std::move(page) });
  }

  void append(const node_id& id, const append_log& effect)
  {
    if (log.is_down || is_log_cut(id)) {
      schedule(id,
               LINK_DELAY_MS,
               log_call_completed{ effect.purpose, effect.publish, log_service_fault::refused });
      return;
    }
    const std::uint64_t offset = log.append(effect.stream, effect.bytes);
    if (effect.stream == log_service_stream::config) {
      appended_at = now.mono;
    }
    if (log.loses_responses) {
      schedule(
        id,
        LINK_DELAY_MS,
        log_call_completed{ effect.purpose, effect.publish, log_service_fault::no_response });
    } else {
      schedule(
        id,
        LINK_DELAY_MS,
        log_call_completed{ effect.purpose, effect.publish, log_service_appended{ offset } });
    }
  }

  /** Whether a node can't reach the log, which is modelled as a zone named "log". */
  bool is_log_cut(const node_id& id) const
  {
    return partitions.contains({ nodes.at(id).record.zone, "log" });
  }

  /**
   * Up to three control addresses. Each of the first three calls of add() appends the address of
   * the node with the lowest id, so that the same one may recur.
   */
  std::vector<endpoint> seeds_;
  publish_ticket next_ticket_ = 1; ///< Ticket of the next publish.
  link_id next_accepted_link_ = 2; ///< Number of the next accepted link; these are even.
};

/** Adds two regions with two availability zones each, and `in_zone` nodes per zone. */
inline void
add_two_regions(fake_fleet& fleet, int in_zone)
{
  for (int i = 0; i < in_zone; ++i) {
    for (const std::string zone : { "west-a", "west-b", "east-a", "east-b" }) {
      fleet.add(zone + "-" + std::to_string(i), zone.substr(0, 4), zone);
    }
  }
}

/** Returns a valid document that defines one service. */
inline nlohmann::json
document_with(const std::string& service)
{
  return { { "services", { { service, nlohmann::json::object() } } } };
}

} // namespace shallotfield
