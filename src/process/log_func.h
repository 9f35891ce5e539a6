// Writes log lines of key=value pairs.
#pragma once
#include "log_type.h"

#include <span>
#include <string>
#include <vector>

namespace shallotfield {

/**
 * Formats one line: `event=NAME key=value …`. Values with spaces, quotes, control characters or
 * an equals sign are quoted and escaped, so that no value can forge a field or a line.
 * @param event The kind of event.
 * @param fields The fields, in order.
 * @return The line, without a line end.
 */
std::string
format_log_line(log_event event, std::span<const log_field> fields);

/**
 * Starts logging to standard output through a thread of its own with a bounded queue. Lines that
 * find the queue full are dropped, so that logging never holds up traffic; the library logs how
 * many.
 */
void
start_logging();

/** Writes out what is queued and ends the log thread. */
void
stop_logging();

/**
 * Logs one event. Does nothing before start_logging, so that decisions can be tested without it.
 * @param event The kind of event.
 * @param fields The fields, in order.
 */
void
write_log(log_event event, const std::vector<log_field>& fields);

} // namespace shallotfield
