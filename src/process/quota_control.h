// Decides what a proxy tells the others about the use of client accounts, and which limits it keeps
// to itself.
#pragma once
#include "quota_fleet.h"
#include "quota_ledger.h"
#include "quota_limits_table.h"

#include <set>
#include <string>
#include <variant>
#include <vector>

namespace shallotfield {

/** Effect: send a message to other proxies. */
struct send_quota_message
{
  std::vector<node_id> targets;
  quota_message message;
};

/** Effect: replace the limits of the traffic thread. */
struct publish_quota_limits
{
  quota_limits_ptr limits;
};

/** Effect: log an account that asks for more than its quota, or has just ceased to. */
struct log_limited_account
{
  account_level state;
};

/** Effect: report that a message was rejected, since its sender does not speak for whom it names.
 */
struct reject_quota_message
{};

using quota_effect =
  std::variant<send_quota_message, publish_quota_limits, log_limited_account, reject_quota_message>;

/**
 * The control state of the quotas at one proxy. Each proxy reports the use of the accounts to the
 * two ledgers of its zone, which exchange their sums with the ledgers of other zones and answer
 * with limits.
 */
class quota_control
{
public:
  quota_control(node_id self, const std::string& zone, const quota_tolerance& tolerance)
    : self_(std::move(self))
    , zone_(zone)
    , tolerance_(tolerance)
    , ledger_(zone)
  {
  }

  /** Replaces the quotas by those of the configuration in force. */
  void set_quotas(const std::vector<account_quota>& quotas);

  /** Adds requests of the local callers. */
  void record_use(const std::vector<account_count>& counts) { meter_.add(counts); }

  /** Handles the tick of the control thread. `is_fleet_known` says whether the peers are known
   * completely enough to tell this proxy's own share of a quota. */
  std::vector<quota_effect> advance(const peer_table& peers,
                                    const node_beacon& self,
                                    bool is_fleet_known,
                                    mono_ms now);

  /** Handles a message of another proxy, whose beacon is `sender`. */
  std::vector<quota_effect> handle(const quota_message& message,
                                   const node_beacon& sender,
                                   mono_ms now);

private:
  void send_report(std::vector<quota_effect>& effects, mono_ms now);
  void advance_ledger(std::vector<quota_effect>& effects, mono_ms now);
  void report_zone(std::vector<quota_effect>& effects, mono_ms now);
  void send_answers(std::vector<quota_effect>& effects, mono_ms now);
  void log_limited(std::vector<quota_effect>& effects, mono_ms now);
  void apply_answer(std::vector<quota_effect>& effects, const quota_answer& answer, mono_ms now);

  node_id self_;
  std::string zone_;
  quota_tolerance tolerance_;
  bool has_quotas_ = false;             ///< The configuration has accounts with a quota.
  bool is_fleet_known_ = false;         ///< Whether own shares can be told.
  quota_fleet fleet_;                   ///< The proxies that share the quotas.
  quota_meter meter_;                   ///< Use at this proxy.
  quota_ledger ledger_;                 ///< Use in the fleet, if this proxy keeps a ledger.
  quota_limits_table limits_;           ///< Limits of this proxy.
  quota_report_filter node_filter_;     ///< What reports to the ledgers of the zone name.
  quota_report_filter zone_filter_;     ///< What reports to the ledgers of other zones name.
  std::vector<account_limit> answered_; ///< Limits as the proxies of the zone were told them.
  std::set<node_id> answered_peers_;    ///< Proxies of the zone that the latest answers went to.
  std::set<account_digest> logged_;     ///< Accounts that were last logged as limited.
  mono_ms next_fleet_update_at_ = 0;
  mono_ms next_report_at_ = 0;
  mono_ms next_zone_report_at_ = 0;
  mono_ms next_answer_at_ = 0;
  mono_ms next_lines_at_ = 0;
};

} // namespace shallotfield
