#include "edge_metrics.h"

#include <prometheus/text_serializer.h>

#include <chrono>

namespace chicorygap::daemon_app {

namespace {

/// Bucket bounds in seconds, from responses of a server on the same VM up to the longest streams.
const prometheus::Histogram::BucketBoundaries latency_bucket_bounds{0.01, 0.03, 0.06, 0.1, 0.15, 0.25, 0.4,
                                                                    0.6,  0.8,  1.2,  2.5, 5,    10,   20};

double to_seconds(base::duration d) {
    return std::chrono::duration<double>{d}.count();
}

}  // namespace

edge_metrics::edge_metrics()
    : requests_{prometheus::BuildCounter()
                    .Name("chicorygap_requests_total")
                    .Help("Requests of callers by service, status and result code")
                    .Register(registry_)},
      attempts_{prometheus::BuildCounter()
                    .Name("chicorygap_attempts_total")
                    .Help("Attempts at backend servers")
                    .Register(registry_)},
      time_to_first_output_{prometheus::BuildHistogram()
                                .Name("chicorygap_first_output_seconds")
                                .Help("Time from the request to the first event of its stream")
                                .Register(registry_)},
      request_duration_{prometheus::BuildHistogram()
                            .Name("chicorygap_request_seconds")
                            .Help("Time from the request to the end of its answer")
                            .Register(registry_)},
      gauges_{prometheus::BuildGauge()
                  .Name("chicorygap_state")
                  .Help("Figures of the daemon's state by name")
                  .Register(registry_)},
      zone_state_{prometheus::BuildGauge()
                      .Name("chicorygap_zone_state")
                      .Help("0 sufficient, 1 slow, 2 short of places, 3 closed, by service")
                      .Register(registry_)},
      zone_share_{prometheus::BuildGauge()
                      .Name("chicorygap_zone_share")
                      .Help("Share of the requests that is to leave the zone, by service")
                      .Register(registry_)},
      zone_requests_left_{prometheus::BuildGauge()
                              .Name("chicorygap_zone_requests_left")
                              .Help("Requests that left the zone since the start, by service and reason")
                              .Register(registry_)},
      zone_bytes_left_{prometheus::BuildGauge()
                           .Name("chicorygap_zone_bytes_left")
                           .Help("Bytes of these requests and of their expected answers")
                           .Register(registry_)},
      zone_price_{prometheus::BuildGauge()
                      .Name("chicorygap_zone_price_seconds")
                      .Help("Price of these bytes in seconds of callers' waits")
                      .Register(registry_)} {}

void edge_metrics::record(const proxy::request_record& r) {
    const auto& service = r.service.str();
    requests_
        .Add({{"service", service},
              {"status", std::to_string(r.status)},
              {"code", std::to_string(static_cast<int>(r.code))}})
        .Increment();
    if (service.empty()) {
        return;
    }
    attempts_.Add({{"service", service}}).Increment(r.attempts);
    request_duration_.Add({{"service", service}}, latency_bucket_bounds).Observe(to_seconds(r.total_time));
    if (r.time_to_first_output) {
        time_to_first_output_.Add({{"service", service}}, latency_bucket_bounds)
            .Observe(to_seconds(*r.time_to_first_output));
    }
}

void edge_metrics::set_gauge(const std::string& name, double value) {
    gauges_.Add({{"name", name}}).Set(value);
}

void edge_metrics::set_zone_status(const base::service_id& service, const scheduling::zone_status& status) {
    const prometheus::Labels labels{{"service", service.str()}};
    zone_state_.Add(labels).Set(static_cast<double>(status.state));
    zone_share_.Add(labels).Set(status.share());
    for (const auto reason : scheduling::all_leave_reasons) {
        const auto it = status.departures.find(reason);
        const auto left = it == status.departures.end() ? scheduling::zone_departures{} : it->second;
        const prometheus::Labels by_reason{{"service", service.str()},
                                           {"reason", scheduling::to_string(reason)}};
        zone_requests_left_.Add(by_reason).Set(static_cast<double>(left.requests));
        zone_bytes_left_.Add(by_reason).Set(static_cast<double>(left.bytes));
        zone_price_.Add(by_reason).Set(left.price_ms / 1000);
    }
}

std::string edge_metrics::text() const {
    return prometheus::TextSerializer{}.Serialize(registry_.Collect());
}

}  // namespace chicorygap::daemon_app
