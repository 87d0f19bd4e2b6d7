/// @file
/// Traces: arrivals and faults with the expected outcome. docs/traces.md describes the format.
#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace chicorygap::replay {

/// A trace that cannot be used, with the line of the fault.
class trace_error : public std::runtime_error {
public:
    trace_error(std::size_t line, const std::string& what)
        : std::runtime_error{"line " + std::to_string(line) + ": " + what}, line_{line} {}
    [[nodiscard]] std::size_t line() const noexcept { return line_; }

private:
    std::size_t line_;
};

struct trace_class {
    std::string name;
    int tier = 0;
    bool idempotent = true;
    /// Service of the class; only servers of the same service run it.
    std::string service;
    double patience = 60;  // seconds until a caller without a first token leaves
};

struct trace_workspace {
    std::string name;
    double weight = 1;
    std::optional<double> requests_per_s;
    std::optional<double> tokens_per_s;
    std::optional<int> concurrency;
};

struct trace_server {
    std::string name;
    std::string zone;
    std::string service;
    int slots = 16;
    double speed = 1;
    double cost = 1;
    bool reclaimable = false;
};

struct trace_zone {
    std::string name;
    int daemons = 2;
};

/// One request; times in seconds from the start of the trace.
struct trace_arrival {
    double time = 0;
    std::size_t service_class = 0;
    std::size_t workspace = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t output_tokens = 0;
    double deadline = 0;  // time to first token that still meets the target
};

enum class fault_kind {
    slow,
    crash,
    reclaim,
    partition,
    platform_down,
    stall,
    leave_server,
    add_server,
    replace_daemon,
    stale_reports
};

/// One fault. `target` is a server, a zone or a daemon index, depending on the kind.
struct trace_fault {
    double time = 0;
    fault_kind kind = fault_kind::slow;
    std::string target;
    double duration = 0;
    double factor = 1;
};

/// Bound on a figure of the product's policy, written before the run.
struct expectation {
    std::string service_class;
    std::string metric;
    bool at_least = true;
    double bound = 0;
};

struct trace {
    std::string name;
    std::uint64_t seed = 1;
    double duration = 60;
    double report_lag = 0.5;
    /// End of the undisturbed part, and time at which capacity is back; negative when not used.
    double steady_until = -1;
    double recovery_from = -1;
    std::vector<trace_class> classes;
    std::vector<trace_workspace> workspaces;
    std::vector<trace_zone> zones;
    std::vector<trace_server> servers;
    std::vector<expectation> expectations;
    std::vector<trace_arrival> arrivals;  // by time
    std::vector<trace_fault> faults;      // by time
};

/// Reads a trace and expands its generator lines with the trace's seed.
/// @throws trace_error with the line number for an unknown class, workspace, server or word, a missing
/// field, a value out of range or a time that goes backwards.
trace read_trace(std::istream& in);

}  // namespace chicorygap::replay
