// The control thread of a proxy: rejected requests in the platform's store. They stand beside the
// directory of nodes, which each proxy reads at its start.
#include "proxy_node_base.h"

#include <boost/leaf/handle_errors.hpp>

namespace leaf = boost::leaf;

namespace shallotfield {

/** Timeout of a call. */
static constexpr std::int64_t SUSPECT_WRITE_TIMEOUT_MS = 1000;

/** Time from a failed call to the next, and number of calls for one change. */
static constexpr mono_ms SUSPECT_WRITE_INTERVAL_MS = 2000;
static constexpr int SUSPECT_WRITES_MAX = 5;

/** Number of requests for which calls are due at the same time. */
static constexpr std::size_t SUSPECTS_WRITTEN_MAX = 32;

/** Number of requests that a process takes from the store. */
static constexpr std::size_t SUSPECTS_RESTORED_MAX = 256;

void
proxy_node::schedule_suspect_write(const request_digest& request)
{
  if (suspect_writes_.size() < SUSPECTS_WRITTEN_MAX || suspect_writes_.contains(request)) {
    suspect_writes_[request] = { 0, SUSPECT_WRITES_MAX, ++suspect_changes_ };
    write_due_suspects(read_clocks().mono);
  }
}

void
proxy_node::write_due_suspects(mono_ms now)
{
  std::vector<request_digest> due;
  for (const auto& [request, write] : suspect_writes_) {
    if (now >= write.due_at) {
      due.push_back(request);
    }
  }
  for (const request_digest& request : due) {
    write_suspect(request);
  }
}

void
proxy_node::write_suspect(const request_digest& request)
{
  suspect_write& write = suspect_writes_.at(request);
  if (write.remaining == 0) {
    suspect_writes_.erase(request);
    return;
  }
  --write.remaining;
  const instant now = read_clocks();
  write.due_at = now.mono + SUSPECT_WRITE_INTERVAL_MS;
  const auto known = suspects_->find(request);
  const bool is_rejected =
    known != suspects_->end() && known->second.crashes >= REJECTED_FROM_CRASHES;
  // A record without a value removes the key.
  const std::string value =
    is_rejected ? encode_stored_suspect({ self_.id, crashes_.records_of(request) }, now) : "";
  count(counter_id::suspects_stored);
  store_.append(
    platform::store_topic::nodes,
    { stored_suspect_key(request), value },
    SUSPECT_WRITE_TIMEOUT_MS,
    [this, request, is_rejected, change = write.change](const platform::store_response& response) {
      const bool is_done = std::holds_alternative<platform::record_appended>(response);
      write_log(log_event::suspect_stored,
                { { "digest", format_digest(request) },
                  { "change", is_rejected ? "stored" : "removed" },
                  { "result", is_done ? "ok" : "failed" } });
      const auto found = suspect_writes_.find(request);
      if (is_done && found != suspect_writes_.end() && found->second.change == change) {
        suspect_writes_.erase(found);
      }
    });
}

void
proxy_node::restore_suspect(const platform::keyed_record& record)
{
  const instant now = read_clocks();
  if (suspects_restored_ >= SUSPECTS_RESTORED_MAX) {
    refused_inputs_.report("stored_suspects", { { "fault", "too_many" } }, now.mono);
    return;
  }
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(stored, parse_stored_suspect(record.key, record.value, now));
      ++suspects_restored_;
      bool has_changed = false;
      for (const crash_record& item : stored.records) {
        has_changed = crashes_.add(item, now.mono) || has_changed;
      }
      const request_digest request = stored.records.front().request;
      if (crashes_.records_of(request).empty() && stored.node == self_.id) {
        // The records are too old to matter. The node that stored them removes them.
        schedule_suspect_write(request);
      }
      if (has_changed) {
        write_log(log_event::suspect_restored,
                  { { "digest", format_digest(request) },
                    { "stored_by", stored.node },
                    { "records", stored.records.size() } });
        publish_suspects();
      }
      return {};
    },
    [&](const frame_error& error) {
      refused_inputs_.report("stored_suspects",
                             { { "key", record.key }, { "fault", enum_name(error.fault) } },
                             now.mono);
    },
    [&] { count(counter_id::inputs_refused); });
}

} // namespace shallotfield
