/// @file
/// Measurement of processor time and memory.
#pragma once

#include <functional>
#include <string>
#include <vector>

namespace chicorygap::control_benchmark {

/// One measured quantity.
struct figure {
    std::string name;
    std::string unit;
    double value = 0;
};
using figures = std::vector<figure>;

/// @return processor time of this process in seconds.
double processor_seconds();

/// @return anonymous part of the resident set in bytes, after free heap pages were returned to the system.
/// Code pages are left out: they are read in on first use and would count as growth.
double resident_bytes();

/// Runs `measure` in a child process, so that memory left by an earlier measurement is not reused.
/// @throws std::runtime_error if the child fails.
figures run_isolated(const std::function<figures()>& measure);

/// Adds the processor time of a scope to a total.
class processor_timer {
public:
    explicit processor_timer(double& total) : total_{total}, start_{processor_seconds()} {}
    ~processor_timer() { total_ += processor_seconds() - start_; }
    processor_timer(const processor_timer&) = delete;
    processor_timer& operator=(const processor_timer&) = delete;

private:
    double& total_;
    double start_;
};

}  // namespace chicorygap::control_benchmark
