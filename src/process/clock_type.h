// Points in time as plain values, so that decisions never read a clock.
#pragma once
#include <cstdint>

namespace shallotfield {

/** Milliseconds of a monotonic clock; only differences have a meaning. */
using mono_ms = std::int64_t;

/** Milliseconds since the Unix epoch, as this machine's clock tells it. */
using unix_ms = std::int64_t;

/** The two clocks, read together. */
struct instant
{
  mono_ms mono = 0; ///< For durations and timeouts.
  unix_ms unix = 0; ///< For records that others read, and for the age of request keys.
};

/**
 * Reads both clocks.
 * @return The current instant.
 */
instant
read_clocks();

} // namespace shallotfield
