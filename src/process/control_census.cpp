// The control state of a node: the census of the fleet, and the lease during which this node may
// assume that it is connected to a majority of the census.
#include "control_base.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace leaf = boost::leaf;

namespace shallotfield {

/**
 * How long the members have to differ from the census before a new census is written. The first
 * census of a fleet is written at once.
 */
static constexpr mono_ms CENSUS_CHANGE_DELAY_MS = 10'000;

/** Interval between checks of the census, and between attempts to read or write it. */
static constexpr mono_ms CENSUS_RETRY_MS = 1000;

/**
 * A lease lasts for gone_after_ms divided by this. A relay still counts a child that missed some
 * heartbeats, and the reports that a hub relies on have some age. Together with these delays the
 * lease still has to end before any other node declares its holder dead.
 */
static constexpr mono_ms LEASE_DIVISOR = 2;

census
control::make_census() const
{
  census result;
  for (const auto& [id, record] : members_.records()) {
    if (!is_tombstone(record)) {
      result.nodes[record.region].push_back(id);
    }
  }
  return result;
}

void
control::maintain_census()
{
  if (plan_.role != node_role::hub || !is_joined_ || has_census_call_ ||
      now_.mono < next_census_at_) {
    return;
  }
  next_census_at_ = now_.mono + CENSUS_RETRY_MS;
  if (!census_) {
    has_census_call_ = true;
    add(read_log{ log_purpose::find_census, log_service_stream::census, 0, 1, 0 });
    return;
  }
  const census current = make_census();
  const bool differs = current.nodes != census_->nodes;
  if (!differs) {
    census_differs_since_ = 0;
    return;
  }
  if (census_differs_since_ == 0) {
    census_differs_since_ = now_.mono;
  }
  const bool is_first_census = census_->offset == 0;
  const bool may_write =
    is_first_census || (is_first_region() && lease_until_ > now_.mono &&
                        now_.mono - census_differs_since_ >= CENSUS_CHANGE_DELAY_MS);
  if (may_write) {
    has_census_call_ = true;
    pending_census_ = current;
    add(append_log{
      log_purpose::write_census, 0, log_service_stream::census, encode_census(pending_census_) });
  }
}

void
control::on_census(log_purpose purpose, const log_service_result& result)
{
  has_census_call_ = false;
  const auto* page = std::get_if<log_service_page>(&result);
  if (purpose == log_purpose::find_census && page != nullptr) {
    if (page->next == 1) {
      census_ = census{}; // The stream is empty: the fleet starts for the first time.
    } else {
      has_census_call_ = true;
      add(read_log{ log_purpose::fetch_census, log_service_stream::census, page->next - 1, 1, 0 });
    }
  } else if (purpose == log_purpose::fetch_census && page != nullptr && !page->records.empty()) {
    const log_service_record& record = page->records.back();
    leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(found, parse_census(record.offset, record.bytes));
        adopt_census(found, std::nullopt);
        return {};
      },
      [&](const census_error& error) {
        emit_log_line(log_event::alarm, { { "reason", "bad_census" }, { "offset", error.offset } });
      },
      [] {});
  } else if (purpose == log_purpose::write_census) {
    if (const auto* appended = std::get_if<log_service_appended>(&result)) {
      pending_census_.offset = appended->offset;
      adopt_census(pending_census_, std::nullopt);
    }
  }
}

void
control::adopt_census(const census& found, std::optional<link_id> source)
{
  if (census_ && census_->offset >= found.offset) {
    return;
  }
  census_ = found;
  for (const auto& [id, link] : links_) {
    if (link.peer && link.is_open && id != source) {
      send(id, census_message{ found });
    }
  }
}

void
control::on_message(link_id link, const census_message& message)
{
  adopt_census(message.latest_census, link);
}

bool
control::is_past_key_window(const node_id& id) const
{
  const std::optional<unix_ms> since = members_.tombstone_since(id);
  return since && now_.unix - *since > options_.key_window_ms;
}

std::uint64_t
control::count_expected(const std::set<std::string>& regions) const
{
  std::uint64_t expected = 0;
  for (const auto& [id, record] : members_.records()) {
    const bool counts = record.state != member_state::left && regions.contains(record.region);
    expected += counts && !is_past_key_window(id) ? 1 : 0;
  }
  for (const auto& [region, ids] : census_->nodes) {
    for (const node_id& id : ids) {
      expected += regions.contains(region) && !members_.records().contains(id) ? 1 : 0;
    }
  }
  return expected;
}

std::uint64_t
control::count_live(const std::vector<node_id>& ids) const
{
  return static_cast<std::uint64_t>(
    std::count_if(ids.begin(), ids.end(), [this](const node_id& id) {
      const auto record = members_.records().find(id);
      return record != members_.records().end() && !is_tombstone(record->second);
    }));
}

bool
control::has_census_majority(const std::set<std::string>& regions) const
{
  std::uint64_t total = 0;
  std::uint64_t total_live = 0;
  for (const auto& [region, ids] : census_->nodes) {
    const std::uint64_t live = count_live(ids);
    if (regions.contains(region)) {
      total += ids.size();
      total_live += live;
    } else if (2 * live < ids.size()) {
      // Most census nodes of this region, which has no live link, have a tombstone or no record in
      // the member records of this node. They may run requests with idempotency keys, and this node
      // would not take them into account.
      return false;
    }
  }
  return 2 * total_live > total;
}

void
control::extend_lease(mono_ms until)
{
  if (until <= lease_until_) {
    return;
  }
  if (lease_until_ < now_.mono) {
    // While the lease was expired, other servers may have run requests whose idempotency keys
    // belong to the server of this node.
    members_.reset_own_live_since(now_);
    view_changed_ = true;
    send_member_updates();
  }
  lease_until_ = until;
  add(apply_lease{ lease_until_ });
}

void
control::update_lease()
{
  if (plan_.role != node_role::hub || !is_joined_ || !census_ || census_->offset == 0) {
    return;
  }
  // This hub expects reports on the nodes of its own region and of each region to which it has a
  // live link. The newest reports that together cover a majority of these nodes are selected, and
  // the lease counts from the oldest of them.
  std::set<std::string> regions = { members_.own().region };
  std::vector<std::pair<mono_ms, std::uint64_t>> reports;
  for (const auto& [id, link] : links_) {
    if (!link.peer || !link.is_open) {
      continue;
    }
    const bool is_in_subtree = link.is_subscribed && link.peer->region == members_.own().region;
    const bool is_other_region = link.peer->region != members_.own().region;
    if (is_in_subtree || (is_other_region && is_live_link(link))) {
      regions.insert(link.peer->region);
      reports.emplace_back(link.last_received_at, count_nodes(link.subtree_versions));
    }
  }
  if (!has_census_majority(regions)) {
    return;
  }
  const std::uint64_t expected = count_expected(regions);
  std::sort(reports.begin(), reports.end(), std::greater<>());
  std::uint64_t reached_nodes = 1;
  mono_ms since = now_.mono;
  for (const auto& [at, nodes] : reports) {
    if (2 * reached_nodes > expected) {
      break;
    }
    reached_nodes += nodes;
    since = at;
  }
  const mono_ms until = since + options_.gone_after_ms / LEASE_DIVISOR;
  if (2 * reached_nodes > expected) {
    extend_lease(until);
  }
}

} // namespace shallotfield
