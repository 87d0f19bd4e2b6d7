/// @file
/// Prometheus metrics of requests.
#pragma once

#include "gateway/request_record.h"

#include <memory>

namespace prometheus {
class Registry;
}

namespace chicorygap::gateway {

/// Counts ended requests by service, class and result code, and their latencies.
///
/// Labels hold no workspace, because 2,000 workspaces by 5 classes and 40 codes would be too many series.
class request_metrics {
public:
    /// @param r registry that exposes the metrics; outlives this object.
    explicit request_metrics(prometheus::Registry& r);
    ~request_metrics();
    request_metrics(const request_metrics&) = delete;
    request_metrics& operator=(const request_metrics&) = delete;

    /// Records one ended request. Safe for use by several threads.
    void record(const request_record& r);

private:
    struct families;
    std::unique_ptr<families> families_;
};

}  // namespace chicorygap::gateway
