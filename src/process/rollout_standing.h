// Decides what roll-outs mean for the local backend server after they are over.
#pragma once
#include "beacon_type.h"

#include <optional>

namespace shallotfield {

/**
 * Knows whether the local server belongs to a version that was rolled back. A condemned server gets
 * nothing until a later order opens its version. A server that was started well after the time of
 * the order was over and its final state was stored is one of an ordinary release, and is cleared.
 */
class rollout_standing
{
public:
  /**
   * Returns the standing of the local server.
   * @param incarnation Number of its process.
   * @param started_at Start of that process by this node's clock. A server that doesn't announce
   * one is never cleared. Later values for the same process are ignored, so that a jump of the wall
   * clock changes nothing.
   * @param rollout Roll-out of its service, or nullptr.
   */
  server_standing update(const server_status& server,
                         std::uint64_t incarnation,
                         std::optional<mono_ms> started_at,
                         const rollout_record* rollout,
                         mono_ms now);

private:
  std::uint64_t incarnation_ = 0;     ///< Process to which the standing belongs.
  std::optional<mono_ms> started_at_; ///< Its start.
  server_standing standing_ = server_standing::none;
  std::uint64_t order_ = 0;        ///< Number of the latest order for its service.
  std::optional<mono_ms> open_at_; ///< When that was last known to be without a stored final state.
};

} // namespace shallotfield
