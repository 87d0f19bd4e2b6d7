/// @file
/// Series of measurements over several sizes, and their results.
#pragma once

#include "measure.h"

#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace chicorygap::control_benchmark {

/// One measurement repeated at several sizes.
struct series {
    std::string name;
    std::string size_name;
    std::vector<int> sizes;
    std::function<figures(int size)> measure;
};

/// Straight line fitted by least squares.
struct line_fit {
    double slope = 0;
    double intercept = 0;
    /// Absent with fewer than three points.
    std::optional<double> slope_error;
};

/// @param x sizes, at least two of them different.
line_fit fit_line(const std::vector<double>& x, const std::vector<double>& y);

/// One figure at all sizes.
struct row {
    std::string series;
    std::string size_name;
    std::string figure;
    std::string unit;
    std::vector<double> sizes;
    std::vector<double> values;
    line_fit fit;
};

/// Measures each size in a process of its own.
std::vector<row> run(const series& s);

void write_table(std::ostream& out, const std::vector<row>& rows);
void write_json(std::ostream& out, const std::vector<row>& rows);

/// @name Series of the packages
/// @{
std::vector<series> membership_series();
std::vector<series> distribution_series();
std::vector<series> idempotency_series();
std::vector<series> usage_series();
std::vector<series> lease_series();
std::vector<series> memory_series();
/// @}

}  // namespace chicorygap::control_benchmark
