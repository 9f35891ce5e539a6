// Metrics, kept in a registry of prometheus-cpp.
#include "metrics_func.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace shallotfield {

namespace {

/** All metrics of the process. Each counter is exported as `shallotfield_NAME_total`. */
class metric_set
{
public:
  metric_set()
  {
    for (const enum_row<counter_id>& row : COUNTER_ROWS) {
      const std::string name = "shallotfield_" + std::string(row.name) + "_total";
      auto& family = prometheus::BuildCounter().Name(name).Register(registry_);
      counters_[static_cast<std::size_t>(row.value)] = &family.Add({});
    }
    auto& family = prometheus::BuildHistogram()
                     .Name("shallotfield_request_seconds")
                     .Help("Time of a request at the callers' edge")
                     .Register(registry_);
    request_seconds_ = &family.Add({}, request_buckets_s_);
  }

  prometheus::Counter& at(counter_id id) { return *counters_[static_cast<std::size_t>(id)]; }

  prometheus::Histogram& request_seconds() { return *request_seconds_; }

  /** Returns all metrics in the text format of Prometheus. */
  std::string text() const { return prometheus::TextSerializer().Serialize(registry_.Collect()); }

private:
  /** Upper bounds of the buckets of the histogram, in seconds. */
  const std::vector<double> request_buckets_s_{ 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
                                                0.1,    0.2,   0.5,   1,     2,    5,    10 };
  prometheus::Registry registry_;                                    ///< Owns the metrics.
  std::array<prometheus::Counter*, COUNTER_ROWS.size()> counters_{}; ///< Indexed by counter_id.
  prometheus::Histogram* request_seconds_ = nullptr;                 ///< Durations of requests.
};

/** Returns the metrics of this process, created on first use. */
metric_set&
metrics()
{
  static metric_set all;
  return all;
}

} // namespace

void
count(counter_id counter, std::uint64_t amount)
{
  metrics().at(counter).Increment(static_cast<double>(amount));
}

void
observe_request_seconds(double seconds)
{
  metrics().request_seconds().Observe(seconds);
}

std::uint64_t
counter_value(counter_id counter)
{
  return static_cast<std::uint64_t>(metrics().at(counter).Value());
}

std::string
metrics_text()
{
  return metrics().text();
}

} // namespace shallotfield
