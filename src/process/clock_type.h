// Points in time as plain values. Decisions get the current time as an argument and never read a
// clock, so that tests control it.
#pragma once
#include <cstdint>

namespace shallotfield {

/** Time of the monotonic clock in ms. Only differences between two values are meaningful. */
using mono_ms = std::int64_t;

/** Time since the Unix epoch in ms, by the clock of this machine, which may be wrong or jump. */
using unix_ms = std::int64_t;

/** The values of both clocks at one moment. */
struct instant
{
  mono_ms mono = 0; ///< For durations and time limits.
  unix_ms unix = 0; ///< For times that other nodes read, and for the age of idempotency keys.
};

/** Reads both clocks. */
instant
read_clocks();

} // namespace shallotfield
