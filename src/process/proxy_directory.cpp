// Discovery of peers through a directory of node addresses in the platform's store.
#include "proxy_node_base.h"

#include <boost/leaf/handle_errors.hpp>

namespace leaf = boost::leaf;

namespace shallotfield {

/** Timeout of a call to the directory. It allows for times in which the store responds many times
 * slower than usual. */
static constexpr std::int64_t DIRECTORY_TIMEOUT_MS = 1000;

/** Delay before the next call after one failed. */
static constexpr mono_ms DIRECTORY_RETRY_DELAY_MS = 400;

/** Time without any live peer after which the directory is read again, in case others have
 * registered. */
static constexpr mono_ms ISOLATION_TIMEOUT_MS = 4000;

void
proxy_node::advance_discovery()
{
  const mono_ms now = read_clocks().mono;
  const auto& peers = peers_.peers();
  const bool is_alone =
    std::none_of(peers.begin(), peers.end(), [](const auto& item) { return item.second.is_alive; });
  if (!is_alone) {
    no_live_peer_since_ = now;
  }
  const bool is_due = now >= next_directory_call_at_ && !is_directory_call_pending_;
  if (!is_due) {
    return;
  }
  // At the first start of the fleet the directory is still empty, so a node registers at once.
  // Otherwise it reads the directory first.
  if (!is_in_directory_ && (options_.is_first_start || is_directory_read_)) {
    register_in_directory();
  } else if (!is_directory_read_ || now - no_live_peer_since_ > ISOLATION_TIMEOUT_MS) {
    no_live_peer_since_ = now;
    read_directory("");
  }
}

void
proxy_node::schedule_directory_retry()
{
  is_directory_call_pending_ = false;
  next_directory_call_at_ = read_clocks().mono + DIRECTORY_RETRY_DELAY_MS;
}

void
proxy_node::register_in_directory()
{
  is_directory_call_pending_ = true;
  store_.append(platform::store_topic::nodes,
                { self_.id, encode_directory_entry(self_) },
                DIRECTORY_TIMEOUT_MS,
                [this](const platform::store_response& response) {
                  if (!std::holds_alternative<platform::record_appended>(response)) {
                    schedule_directory_retry();
                    return;
                  }
                  // A node that registers after this one will find this one in the directory. A
                  // node that registered before is found by reading the directory now.
                  is_in_directory_ = true;
                  read_directory("");
                });
}

void
proxy_node::read_directory(const std::string& after)
{
  is_directory_call_pending_ = true;
  // Reads a page of the topic's keys, each with its newest record. `after` is the last key of the
  // previous page.
  store_.read_newest(
    platform::store_topic::nodes,
    after,
    DIRECTORY_TIMEOUT_MS,
    [this, after](const platform::store_response& response) {
      const auto* page = std::get_if<platform::newest_page>(&response);
      if (page == nullptr) {
        const auto* fault = std::get_if<platform::store_fault>(&response);
        // `log_unreachable`, and `log_reachable` below, refer to the store that holds the
        // directory.
        write_log(log_event::log_unreachable,
                  { { "call", "directory" }, { "fault", fault ? enum_name(*fault) : "other" } });
        schedule_directory_retry();
        return;
      }
      handle_directory_page(*page, after);
    });
}

void
proxy_node::report_rejected_records(std::string_view edge, std::size_t records)
{
  if (records > 0) {
    refused_inputs_.report(
      edge, { { "fault", "bad_record" }, { "records", records } }, read_clocks().mono);
  }
}

void
proxy_node::handle_directory_page(const platform::newest_page& page, const std::string& after)
{
  const mono_ms now = read_clocks().mono;
  report_rejected_records("directory", page.rejected_records);
  for (const platform::keyed_record& record : page.records) {
    if (record.value.empty()) {
      continue; // The entry was deleted.
    }
    if (is_stored_suspect_key(record.key)) {
      restore_suspect(record);
      continue;
    }
    leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(address, parse_directory_entry(record.key, record.value));
        if (address.id == self_.id) {
          // An entry with another host is outdated and does not count.
          is_in_directory_ = is_in_directory_ || address.host == self_.host;
        } else {
          peers_.add_address(address, now);
        }
        return {};
      },
      [&](const frame_error& error) {
        refused_inputs_.report(
          "directory", { { "node", record.key }, { "fault", enum_name(error.fault) } }, now);
      },
      [] {});
  }
  // The keys of the pages increase. A page that brings no further key would be read without end.
  if (page.has_more && page.last_key > after) {
    read_directory(page.last_key);
    return;
  }
  is_directory_call_pending_ = false;
  const bool was_read = is_directory_read_;
  is_directory_read_ = true;
  follower_.set_peers_known(true);
  write_log(log_event::log_reachable,
            { { "call", "directory" }, { "peers", peers_.peers().size() } });
  broadcast_beacon();
  if (!is_in_directory_ && !was_read) {
    register_in_directory();
  }
}

} // namespace shallotfield
