/// @file
/// Counters and histograms of an edge daemon.
#pragma once

#include "proxy/request_record.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace chicorygap::daemon_app {

/// Counters and histograms of an edge daemon, as text for the metrics address.
class edge_metrics {
public:
    edge_metrics();

    /// Counts a request that has ended.
    void record(const proxy::request_record& r);

    /// Sets a figure that is measured when it is asked for.
    void set(const std::string& name, double value);

    /// @return the text exposition.
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
