/// @file
/// Figures of one replay.
#pragma once

#include "replay/trace.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace chicorygap::replay {

/// What became of one request.
struct request_result {
    std::size_t arrival = 0;  // index into `trace::arrivals`
    bool completed = false;
    bool refused = false;
    std::optional<double> first_token;  // time since the arrival
};

/// Figures of one class, or of all classes together.
struct class_metrics {
    std::string service_class;
    double attainment = 1;
    double goodput_tokens_per_s = 0;
    double wasted_fraction = 0;
    double worst_workspace_attainment = 1;
    std::uint64_t refused = 0;
    double backend_server_seconds = 0;
    std::optional<double> recovery_s;
};

/// @param work engine work per class in output tokens.
std::vector<class_metrics> compute_metrics(const trace& t, const std::vector<request_result>& results,
                                           const std::vector<double>& work, double backend_server_seconds);

/// Writes `trace,policy,class,attainment,goodput_tokens_per_s,wasted_fraction,worst_workspace_attainment,
/// refused,backend_server_seconds,recovery_s`, one line per class; `recovery_s` is empty without a fault
/// and `never` when the steady state is not reached again.
void write_csv(std::ostream& out, const std::string& trace_name, const std::string& policy,
               const std::vector<class_metrics>& m);

/// @return the measured value of an expectation, or nothing when it does not apply.
std::optional<double> measured(const expectation& e, const std::vector<class_metrics>& m);

}  // namespace chicorygap::replay
