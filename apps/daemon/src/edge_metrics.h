/// @file
/// Metrics of an edge daemon.
#pragma once

#include "base/id.h"
#include "proxy/request_record.h"
#include "scheduling/zone_status.h"

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

    /// Sets the figures of the requests that leave their zone.
    void set_zone_status(const base::service_id& service, const scheduling::zone_status& status);

    /// @return all metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Counter>& attempts_;
    prometheus::Family<prometheus::Histogram>& time_to_first_output_;
    prometheus::Family<prometheus::Histogram>& request_duration_;
    prometheus::Family<prometheus::Gauge>& gauges_;
    prometheus::Family<prometheus::Gauge>& zone_state_;
    prometheus::Family<prometheus::Gauge>& zone_share_;
    prometheus::Family<prometheus::Gauge>& zone_requests_left_;
    prometheus::Family<prometheus::Gauge>& zone_bytes_left_;
    prometheus::Family<prometheus::Gauge>& zone_price_;
};

}  // namespace chicorygap::daemon_app
