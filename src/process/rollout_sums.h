// Differences of the sums of a roll-out, for the files of the rollout_controller.
#pragma once
#include "rollout_controller.h"

namespace shallotfield {

/** Returns the sums of what happened after others were taken. */
inline rollout_sums
since(const rollout_sums& now, const rollout_sums& before)
{
  const auto minus = [](std::uint64_t one, std::uint64_t other) {
    return one > other ? one - other : 0;
  };
  return { minus(now.taken, before.taken),
           minus(now.answered, before.answered),
           minus(now.failed, before.failed) };
}

} // namespace shallotfield
