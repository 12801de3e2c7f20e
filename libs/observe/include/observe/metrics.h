// Provides the Prometheus metrics of one process.
#pragma once

#include <initializer_list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace tamarack {

using metric_labels = std::map<std::string, std::string>;

/// A registry of counters, gauges and histograms, which are created on first use. Names and labels are listed in
/// docs/OPERATIONS.md. Not thread-safe: the caches in front of the registry are not locked.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    void count(const std::string& name, const metric_labels& labels = {}, double by = 1);
    void set(const std::string& name, double value, const metric_labels& labels = {});
    /// Adds a value in seconds to a histogram with buckets from 1 ms to 60 s.
    void observeSeconds(const std::string& name, double value, const metric_labels& labels = {});
    /// Returns the value of a counter, or 0 if it does not exist.
    double counterValue(const std::string& name, const metric_labels& labels = {}) const;
    /// Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

}
