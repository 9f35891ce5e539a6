// The control thread of a proxy: what the proxies tell each other about requests that were at work
// when servers crashed.
#include "proxy_node_base.h"

#include <boost/leaf/handle_errors.hpp>

namespace leaf = boost::leaf;

namespace shallotfield {

/** Number of times that news is sent to all peers, one tick apart, because datagrams get lost. */
static constexpr int NEWS_REPETITIONS = 3;

/** Interval at which peers are reminded of the requests that several crashes speak against. Peers
 * that were cut off or restarted learn of them in this way. */
static constexpr mono_ms REMINDER_INTERVAL_MS = 1000;

/** Number of peers that are reminded each time. */
static constexpr std::size_t REMINDED_PEERS = 2;

/** Number of records in a reminder, which fit into one datagram. */
static constexpr std::size_t REMINDER_RECORDS_MAX = 24;

void
proxy_node::record_crash(const report_crash& report)
{
  const mono_ms now = read_clocks().mono;
  count(counter_id::server_crashes);
  write_log(log_event::server_crashed,
            { { "instance", server_.current_status().instance },
              { "crash", report.crash },
              { "suspects", report.requests.size() } });
  std::vector<crash_record> news;
  for (const request_digest& request : report.requests) {
    const crash_record record{ request, report.crash, now, false };
    if (crashes_.add(record, now)) {
      news.push_back(record);
    }
  }
  announce_crash_news(news);
}

void
proxy_node::record_acquittal(const request_digest& request)
{
  announce_crash_news(crashes_.acquit(request));
}

void
proxy_node::announce_crash_news(const std::vector<crash_record>& news)
{
  if (news.empty()) {
    return;
  }
  for (const crash_record& record : news) {
    crash_news_.push_back({ record, NEWS_REPETITIONS });
  }
  publish_suspects();
  send_crash_news();
}

void
proxy_node::publish_suspects()
{
  const crash_view_ptr view = crashes_.build_view();
  for (const auto& [request, suspect] : *view) {
    const auto before = suspects_->find(request);
    const bool was_rejected =
      before != suspects_->end() && before->second.crashes >= REJECTED_FROM_CRASHES;
    if (suspect.crashes >= REJECTED_FROM_CRASHES && !was_rejected) {
      write_log(log_event::suspect_rejected,
                { { "digest", format_digest(request) }, { "crashes", suspect.crashes } });
    }
  }
  suspects_ = view;
  traffic_.set_suspects(view);
}

void
proxy_node::send_crash_news()
{
  if (crash_news_.empty()) {
    return;
  }
  std::vector<crash_record> records;
  for (crash_news& item : crash_news_) {
    records.push_back(item.record);
    --item.remaining;
  }
  std::erase_if(crash_news_, [](const crash_news& item) { return item.remaining <= 0; });
  std::vector<node_id> targets;
  for (const auto& [id, peer] : peers_.peers()) {
    if (peer.is_alive) {
      targets.push_back(id);
    }
  }
  send_crash_records(records, targets);
}

void
proxy_node::send_crash_records(const std::vector<crash_record>& records,
                               const std::vector<node_id>& targets)
{
  const std::vector<std::string> datagrams = encode_crash_records(records, read_clocks().mono);
  for (const node_id& target : targets) {
    send_datagrams(datagrams, peers_.peers().at(target).beacon.host);
  }
}

void
proxy_node::remind_of_crashes(mono_ms now)
{
  if (now < next_crash_reminder_at_) {
    return;
  }
  next_crash_reminder_at_ = now + REMINDER_INTERVAL_MS;
  if (crashes_.expire(now)) {
    publish_suspects();
  }
  const std::vector<crash_record> records = crashes_.shared_records();
  if (records.empty()) {
    return;
  }
  std::vector<node_id> alive;
  for (const auto& [id, peer] : peers_.peers()) {
    if (peer.is_alive) {
      alive.push_back(id);
    }
  }
  std::vector<node_id> targets;
  std::sample(alive.begin(),
              alive.end(),
              std::back_inserter(targets),
              REMINDED_PEERS,
              crash_reminder_random_);
  std::vector<crash_record> part;
  std::sample(records.begin(),
              records.end(),
              std::back_inserter(part),
              REMINDER_RECORDS_MAX,
              crash_reminder_random_);
  send_crash_records(part, targets);
}

void
proxy_node::tell_new_peers_of_crashes()
{
  std::vector<node_id> targets;
  for (const node_id& id : new_peers_) {
    const auto found = peers_.peers().find(id);
    if (found != peers_.peers().end() && found->second.beacon.zone == self_.zone) {
      targets.push_back(id);
    }
  }
  send_crash_records(crashes_.shared_records(), targets);
}

void
proxy_node::receive_crash_records(std::string_view datagram, const QHostAddress& sender)
{
  const mono_ms now = read_clocks().mono;
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(report, parse_crash_records(datagram, now));
      report_rejected_records("crash_records", report.rejected_records);
      bool has_changed = false;
      std::vector<crash_record> corrections;
      for (const crash_record& record : report.records) {
        // The sender has missed that the request was acquitted.
        if (!record.is_acquitted && crashes_.is_acquitted(record.request, record.crash)) {
          corrections.push_back(record);
          corrections.back().is_acquitted = true;
        }
        has_changed = crashes_.add(record, now) || has_changed;
      }
      if (has_changed) {
        publish_suspects();
      }
      send_datagrams(encode_crash_records(corrections, now), sender.toString().toStdString());
      return {};
    },
    [&](const frame_error& error) {
      refused_inputs_.report("crash_records", { { "fault", enum_name(error.fault) } }, now);
    },
    [&] { count(counter_id::inputs_refused); });
}

} // namespace shallotfield
