// Counts what happens, for Prometheus.
#pragma once
#include "metrics_type.h"

#include <cstdint>
#include <string>

namespace shallotfield {

/**
 * Adds to a counter of this process. Safe from every thread.
 * @param counter The counter.
 * @param amount How much; not negative.
 */
void
count(counter_id counter, std::uint64_t amount = 1);

/** @param seconds How long a request took at this node's edge, from its head to its outcome. */
void
observe_request_seconds(double seconds);

/**
 * Reads a counter.
 * @param counter The counter.
 * @return Its value.
 */
std::uint64_t
counter_value(counter_id counter);

/** @return All metrics in Prometheus' text format. */
std::string
metrics_text();

} // namespace shallotfield
