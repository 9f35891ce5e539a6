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

/** Number of lines about requests that were at work at one crash. */
static constexpr std::size_t SUSPECT_LINES_MAX = 16;

void
proxy_node::record_crash(const report_crash& report)
{
  const mono_ms now = read_clocks().mono;
  if (report.proof != crash_proof::lost_suspect) {
    count(counter_id::server_crashes);
  }
  count(counter_id::suspects_found, report.requests.size());
  write_log(log_event::server_crashed,
            { { "instance", server_.current_status().instance },
              { "crash", report.crash },
              { "proof", enum_name(report.proof) },
              { "suspects", report.requests.size() },
              { "cleared", report.cleared } });
  std::vector<crash_record> news;
  for (const crash_record& record : make_crash_records(report)) {
    if (crashes_.add(record, now)) {
      news.push_back(record);
    }
  }
  std::vector<crash_record> on_trial;
  std::copy_if(news.begin(), news.end(), std::back_inserter(on_trial), [](const auto& record) {
    return record.finding == crash_finding::suspected_on_trial;
  });
  if (!on_trial.empty()) {
    review_trial(trial_crashed{ on_trial }, now);
  }
  announce_crash_news(news);
  const std::size_t lines = std::min(report.requests.size(), SUSPECT_LINES_MAX);
  for (std::size_t i = 0; i < lines; ++i) {
    const crash_suspicion& item = report.requests[i];
    const auto known = suspects_->find(item.request);
    write_log(log_event::suspect_found,
              { { "digest", format_digest(item.request) },
                { "crash", report.crash },
                { "crashes", known == suspects_->end() ? 0 : known->second.crashes },
                { "at_work_ms", item.at_work_ms },
                { "trial", item.is_on_trial ? "yes" : "no" } });
  }
  // Of all proxies, the one beside the server that crashed last stores the request.
  for (const crash_record& record : news) {
    const auto known = suspects_->find(record.request);
    if (known != suspects_->end() && known->second.crashes >= REJECTED_FROM_CRASHES) {
      schedule_suspect_write(record.request);
    }
  }
}

void
proxy_node::withdraw(const withdraw_crash& withdrawal)
{
  const crash_record record = make_withdrawal_record(withdrawal);
  // A request of which no crash is known needs no withdrawal.
  if (crashes_.records_of(record.request).empty() || !crashes_.add(record, read_clocks().mono)) {
    return;
  }
  write_log(log_event::suspect_cleared,
            { { "digest", format_digest(record.request) },
              { "crash", record.id },
              { "reason", "server_runs" } });
  announce_crash_news({ record });
}

void
proxy_node::review_trial(const review_event& event, mono_ms now)
{
  std::vector<crash_record> news;
  for (const crash_record& record : trial_review_.handle(event, now)) {
    if (crashes_.add(record, now)) {
      news.push_back(record);
      write_log(log_event::suspect_tried,
                { { "digest", format_digest(record.request) },
                  { "crash", record.id },
                  { "state", "many_servers_crashed" } });
    }
  }
  announce_crash_news(news);
}

std::size_t
proxy_node::count_other_servers() const
{
  return static_cast<std::size_t>(
    std::count_if(peers_.peers().begin(), peers_.peers().end(), [this](const auto& item) {
      const server_status& server = item.second.beacon.server;
      return item.second.is_alive && server.service == options_.service && !server.instance.empty();
    }));
}

void
proxy_node::record_trial(const report_trial& report)
{
  if (!report.has_ended) {
    count(counter_id::suspects_tried);
  }
  write_log(log_event::suspect_tried,
            { { "digest", format_digest(report.request) },
              { "trial", report.trial },
              { "state", report.has_ended ? "ended" : "begun" } });
  const mono_ms now = read_clocks().mono;
  const crash_record record = make_trial_record(report);
  if (crashes_.add(record, now)) {
    announce_crash_news({ record });
  }
}

void
proxy_node::record_acquittal(const request_digest& request)
{
  const auto known = suspects_->find(request);
  if (known == suspects_->end()) {
    return;
  }
  const std::size_t crashes = known->second.crashes;
  const std::vector<crash_record> changed = crashes_.acquit(request);
  if (changed.empty()) {
    return;
  }
  count(counter_id::suspects_cleared);
  write_log(
    log_event::suspect_cleared,
    { { "digest", format_digest(request) }, { "crashes", crashes }, { "reason", "completed" } });
  announce_crash_news(changed);
  if (crashes >= REJECTED_FROM_CRASHES) {
    schedule_suspect_write(request);
  }
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
                { { "digest", format_digest(request) },
                  { "crashes", suspect.crashes },
                  { "trials", suspect.crashed_trials } });
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

bool
proxy_node::receive_crash_records(std::string_view datagram, const QHostAddress& sender)
{
  const mono_ms now = read_clocks().mono;
  const std::string host = sender.toString().toStdString();
  const bool is_known_sender =
    std::any_of(peers_.peers().begin(), peers_.peers().end(), [&host](const auto& item) {
      return item.second.beacon.host == host;
    });
  if (!is_known_sender) {
    refused_inputs_.report("crash_records", { { "fault", "unknown_sender" } }, now);
    return false;
  }
  bool has_changed = false;
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(report, parse_crash_records(datagram, now));
      report_rejected_records("crash_records", report.rejected_records);
      std::vector<crash_record> corrections;
      for (const crash_record& record : report.records) {
        // The sender has missed that the request was acquitted.
        if (record.finding != crash_finding::acquitted &&
            crashes_.is_acquitted(record.request, record.id)) {
          corrections.push_back(record);
          corrections.back().finding = crash_finding::acquitted;
        }
        has_changed = crashes_.add(record, now) || has_changed;
      }
      send_datagrams(encode_crash_records(corrections, now), host);
      return {};
    },
    [&](const frame_error& error) {
      refused_inputs_.report("crash_records", { { "fault", enum_name(error.fault) } }, now);
    },
    [&] { count(counter_id::inputs_refused); });
  return has_changed;
}

} // namespace shallotfield
