// The control thread of a proxy: performs what quota_control decides about the quotas of client
// accounts.
#include "proxy_node_base.h"

#include <boost/leaf/handle_errors.hpp>
#include <cmath>

namespace leaf = boost::leaf;

namespace shallotfield {

/** Time after which the peers are taken to be known even if the directory could not be read. */
static constexpr mono_ms PEERS_KNOWN_AFTER_MS = 3000;

static constexpr int PERMILLE = 1000;

void
proxy_node::apply_quotas()
{
  std::vector<account_quota> quotas;
  for (const client_account& account : table_->accounts()) {
    if (account.rate_per_s > 0) {
      quotas.push_back(
        { digest_account(account.name), account.name, account.rate_per_s, account.burst_requests });
    }
  }
  quotas_.set_quotas(quotas);
}

void
proxy_node::record_quota_use(const std::vector<account_count>& counts)
{
  quotas_.record_use(counts);
  for (const account_count& item : counts) {
    count(counter_id::quota_asked, item.asked);
    count(counter_id::quota_returned, item.returned);
  }
}

void
proxy_node::advance_quotas(mono_ms now)
{
  const bool is_fleet_known = is_directory_read_ || now - started_at_ > PEERS_KNOWN_AFTER_MS;
  for (const quota_effect& effect : quotas_.advance(peers_, self_, is_fleet_known, now)) {
    perform(effect);
  }
}

void
proxy_node::perform(const quota_effect& effect)
{
  std::visit(
    overloaded{
      [&](const send_quota_message& item) {
        const std::vector<std::string> datagrams = encode_quota_message(item.message);
        for (const node_id& target : item.targets) {
          const auto found = peers_.peers().find(target);
          if (found != peers_.peers().end()) {
            count(counter_id::quota_datagrams, datagrams.size());
            send_datagrams(datagrams, found->second.beacon.host);
          }
        }
      },
      [&](const publish_quota_limits& item) { traffic_.set_quota_limits(item.limits); },
      [&](const log_limited_account& item) {
        const account_level& state = item.state;
        write_log(log_event::quota_limited,
                  { { "account", state.name },
                    { "admitted_permille", std::lround(state.admitted_fraction * PERMILLE) },
                    { "asked_per_s", std::lround(state.usage.asked_per_s) },
                    { "used_per_s", std::lround(state.usage.admitted_per_s) },
                    { "level", std::lround(state.level) } });
      },
      [&](const reject_quota_message&) {
        refused_inputs_.report("quotas", { { "fault", "wrong_sender" } }, read_clocks().mono);
      },
    },
    effect);
}

void
proxy_node::receive_quota_message(std::string_view datagram, const QHostAddress& sender)
{
  const mono_ms now = read_clocks().mono;
  const std::string host = sender.toString().toStdString();
  const auto known =
    std::find_if(peers_.peers().begin(), peers_.peers().end(), [&host](const auto& item) {
      return item.second.beacon.host == host;
    });
  if (known == peers_.peers().end()) {
    refused_inputs_.report("quotas", { { "fault", "unknown_sender" } }, now);
    return;
  }
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(parsed, parse_quota_message(datagram));
      report_rejected_records("quotas", parsed.rejected_items);
      for (const quota_effect& effect : quotas_.handle(parsed.message, known->second.beacon, now)) {
        perform(effect);
      }
      return {};
    },
    [&](const frame_error& error) {
      refused_inputs_.report("quotas", { { "fault", enum_name(error.fault) } }, now);
    },
    [&] { count(counter_id::inputs_refused); });
}

} // namespace shallotfield
