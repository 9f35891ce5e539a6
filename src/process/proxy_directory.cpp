// How a proxy finds its peers: a directory of addresses in the platform's store.
#include "proxy_node_base.h"

#include <boost/leaf/handle_errors.hpp>

namespace leaf = boost::leaf;

namespace shallotfield {

/** Longest time until the store's answer; it may answer many times slower than usual. */
static constexpr std::int64_t DIRECTORY_TIMEOUT_MS = 1000;

/** Pause after a call that failed. */
static constexpr mono_ms DIRECTORY_RETRY_MS = 400;

/** Time without any peer after which the directory is read again, if it lists some. */
static constexpr mono_ms ALONE_MS = 4000;

void
proxy_node::join()
{
  const mono_ms now = read_clocks().mono;
  const auto& peers = peers_.peers();
  const bool is_alone =
    std::none_of(peers.begin(), peers.end(), [](const auto& item) { return item.second.is_alive; });
  if (!is_alone) {
    alone_since_ = now;
  }
  const bool is_due = now >= next_directory_at_ && !is_calling_directory_;
  if (!is_due) {
    return;
  }
  if (!is_in_directory_ && (options_.is_first_start || is_directory_read_)) {
    add_to_directory();
  } else if (!is_directory_read_ || now - alone_since_ > ALONE_MS) {
    alone_since_ = now;
    read_directory("");
  }
}

void
proxy_node::retry_directory()
{
  is_calling_directory_ = false;
  next_directory_at_ = read_clocks().mono + DIRECTORY_RETRY_MS;
}

void
proxy_node::add_to_directory()
{
  is_calling_directory_ = true;
  store_.append(platform::store_topic::nodes,
                { self_.id, encode_address(self_) },
                DIRECTORY_TIMEOUT_MS,
                [this](const platform::store_answer& answer) {
                  if (!std::holds_alternative<platform::record_added>(answer)) {
                    retry_directory();
                    return;
                  }
                  // Whoever added itself later than this finds this node; whoever did so earlier
                  // is found now.
                  is_in_directory_ = true;
                  read_directory("");
                });
}

void
proxy_node::read_directory(const std::string& after)
{
  is_calling_directory_ = true;
  store_.read_newest(
    platform::store_topic::nodes,
    after,
    DIRECTORY_TIMEOUT_MS,
    [this](const platform::store_answer& answer) {
      const auto* page = std::get_if<platform::newest_page>(&answer);
      if (page == nullptr) {
        const auto* fault = std::get_if<platform::store_fault>(&answer);
        write_log(log_event::log_unreachable,
                  { { "call", "directory" }, { "fault", fault ? enum_name(*fault) : "other" } });
        retry_directory();
        return;
      }
      take_directory(*page);
    });
}

void
proxy_node::take_directory(const platform::newest_page& page)
{
  const mono_ms now = read_clocks().mono;
  for (const platform::keyed_record& record : page.records) {
    leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(address, parse_address(record.key, record.value));
        if (address.id == self_.id) {
          is_in_directory_ = is_in_directory_ || address.host == self_.host;
        } else {
          peers_.add_address(address, now);
        }
        return {};
      },
      [&](const frame_error& error) {
        write_log(
          log_event::input_refused,
          { { "edge", "directory" }, { "node", record.key }, { "fault", enum_name(error.fault) } });
      },
      [] {});
  }
  if (page.has_more && !page.records.empty()) {
    read_directory(page.records.back().key);
    return;
  }
  is_calling_directory_ = false;
  const bool was_read = is_directory_read_;
  is_directory_read_ = true;
  follower_.set_peers_known(true);
  write_log(log_event::log_reachable,
            { { "call", "directory" }, { "peers", peers_.peers().size() } });
  greet_all();
  if (!is_in_directory_ && !was_read) {
    add_to_directory();
  }
}

} // namespace shallotfield
