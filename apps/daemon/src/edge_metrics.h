/// @file
/// Metrics of an edge daemon.
#pragma once

#include "proxy/request_record.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace chicorygap::daemon_app {

/// Metrics of an edge daemon in the Prometheus text format.
class edge_metrics {
public:
    edge_metrics();

    /// Records a request that has ended.
    void record(const proxy::request_record& r);

    /// Sets a gauge. Gauges are updated when the metrics are read.
    /// @param name value of the `name` label.
    void set_gauge(const std::string& name, double value);

    /// @return all metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Counter>& attempts_;
    prometheus::Family<prometheus::Histogram>& time_to_first_output_;
    prometheus::Family<prometheus::Histogram>& request_duration_;
    prometheus::Family<prometheus::Gauge>& gauges_;
};

}  // namespace chicorygap::daemon_app
