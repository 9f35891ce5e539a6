// Logging of events as lines of key=value pairs.
#pragma once
#include "log_type.h"

#include <span>
#include <string>
#include <vector>

namespace shallotfield {

/**
 * Formats a line: `event=NAME key=value …`, without a line end. Values that are empty or contain
 * spaces, quotes, backslashes, equals signs, control characters or non-ASCII bytes are quoted and
 * escaped, so that no value from outside can inject a field or a line.
 */
std::string
format_log_line(log_event event, std::span<const log_field> fields);

/**
 * Starts logging to standard output, on a separate thread with a bounded queue. When the queue is
 * full, lines are dropped instead of blocking the traffic threads; log4cxx logs how many.
 */
void
start_logging();

/** Writes the queued lines and stops the log thread. */
void
stop_logging();

/**
 * Logs an event; the fields keep their order. Thread-safe. Does nothing before start_logging(), so
 * that unit tests need no logging.
 */
void
write_log(log_event event, const std::vector<log_field>& fields);

} // namespace shallotfield
