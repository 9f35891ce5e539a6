// Counts rejected input and limits the log lines about it.
#pragma once
#include "clock_type.h"
#include "log_func.h"
#include "metrics_func.h"

#include <map>
#include <string>
#include <vector>

namespace shallotfield {

/**
 * Reports input that was rejected. Each one is counted, and at most one per edge and second is
 * logged, because another writer may repeat the same odd input without end.
 */
class refused_input_log
{
public:
  /**
   * Reports one rejected input. `edge` names where it came from, and `fields` describes it. Returns
   * whether a line was written.
   */
  bool report(std::string_view edge, std::vector<log_field> fields, mono_ms now)
  {
    count(counter_id::inputs_refused);
    edge_state& state = edges_[std::string(edge)];
    if (now < state.next_line_at) {
      ++state.lines_left_out;
      return false;
    }
    fields.insert(fields.begin(), { "edge", edge });
    fields.push_back({ "left_out", state.lines_left_out });
    write_log(log_event::input_refused, fields);
    state = { now + LINE_INTERVAL_MS, 0 };
    return true;
  }

private:
  /** Minimum time between two lines about the same edge. */
  static constexpr mono_ms LINE_INTERVAL_MS = 1000;

  /** What was logged about one edge. */
  struct edge_state
  {
    mono_ms next_line_at = 0;         ///< Earliest time of the next line.
    std::uint64_t lines_left_out = 0; ///< Rejected inputs since the latest line.
  };

  std::map<std::string, edge_state> edges_; ///< By edge, of which there are a few.
};

} // namespace shallotfield
