// Implements the metrics on the registry of prometheus-cpp.
#include "observe/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace tamarack {

namespace {
    const prometheus::Histogram::BucketBoundaries secondBuckets { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
        0.5, 1, 2.5, 5, 10, 30, 60 };

    using series_key = std::pair<std::string, metric_labels>;
}

struct metrics::state {
    prometheus::Registry registry;
    std::map<series_key, prometheus::Counter*> counters;
    std::map<series_key, prometheus::Gauge*> gauges;
    std::map<series_key, prometheus::Histogram*> histograms;
};

metrics::metrics()
    : m_state(std::make_unique<state>())
{
}

metrics::~metrics() = default;

void metrics::count(const std::string& name, const metric_labels& labels, double by)
{
    auto& counter = m_state->counters[{ name, labels }];
    if (!counter)
        counter = &prometheus::BuildCounter().Name(name).Register(m_state->registry).Add(labels);
    counter->Increment(by);
}

void metrics::set(const std::string& name, double value, const metric_labels& labels)
{
    auto& gauge = m_state->gauges[{ name, labels }];
    if (!gauge)
        gauge = &prometheus::BuildGauge().Name(name).Register(m_state->registry).Add(labels);
    gauge->Set(value);
}

void metrics::observeSeconds(const std::string& name, double value, const metric_labels& labels)
{
    auto& histogram = m_state->histograms[{ name, labels }];
    if (!histogram)
        histogram = &prometheus::BuildHistogram().Name(name).Register(m_state->registry).Add(labels, secondBuckets);
    histogram->Observe(value);
}

double metrics::counterValue(const std::string& name, const metric_labels& labels) const
{
    const auto found = m_state->counters.find({ name, labels });
    return found == m_state->counters.end() ? 0 : found->second->Value();
}

std::string metrics::text() const { return prometheus::TextSerializer().Serialize(m_state->registry.Collect()); }

}
