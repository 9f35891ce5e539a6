// Implements the standing of the local backend server.
#include "rollout_standing.h"

namespace shallotfield {

/** Time after that of an order within which servers may still be started for it. It also covers the
 * end of a late roll-out and differences of clocks. */
static constexpr mono_ms LATE_START_MS = 15'000;

/** Returns whether servers may still be started for a roll-out. At step hold, a final state may be
 * in the store that wasn't read yet. */
static bool
is_open(const rollout_record& rollout)
{
  return rollout.state == rollout_state::running ? rollout.step != rollout_step::hold
                                                 : !rollout.is_stored;
}

server_standing
rollout_standing::update(const server_status& server,
                         std::uint64_t incarnation,
                         std::optional<mono_ms> started_at,
                         const rollout_record* rollout,
                         mono_ms now)
{
  if (incarnation != incarnation_) {
    incarnation_ = incarnation;
    started_at_.reset();
    standing_ = server_standing::none;
  }
  started_at_ = started_at_ ? started_at_ : started_at;
  if (rollout != nullptr && rollout->order.number != order_) {
    order_ = rollout->order.number;
    open_at_.reset();
  }
  if (rollout != nullptr && is_open(*rollout)) {
    open_at_ = now;
  }
  // An order for another version doesn't open one that was rolled back.
  const bool is_target = rollout != nullptr && !server.version.empty() &&
                         server.version == rollout->order.target_version;
  if (!is_target) {
    return standing_;
  }
  if (rollout->state != rollout_state::rolled_back) {
    standing_ = server_standing::none;
  } else {
    const mono_ms over_at = rollout->began_at + rollout->order.duration_ms + LATE_START_MS;
    const bool is_later = rollout->is_stored && started_at_ && *started_at_ > over_at &&
                          (!open_at_ || *started_at_ > *open_at_ + LATE_START_MS);
    standing_ = is_later ? server_standing::cleared : server_standing::condemned;
  }
  return standing_;
}

} // namespace shallotfield
