// Metrics of the process, exported to Prometheus.
#pragma once
#include "metrics_type.h"

#include <cstdint>
#include <string>

namespace shallotfield {

/** Adds to a counter of this process. Thread-safe. */
void
count(counter_id counter, std::uint64_t amount = 1);

/** Records the duration of a request in seconds, from the moment when it was read completely to its
 * outcome. */
void
observe_request_seconds(double seconds);

/** Returns the current value of a counter. */
std::uint64_t
counter_value(counter_id counter);

/** Returns all metrics in the text format of Prometheus. */
std::string
metrics_text();

} // namespace shallotfield
