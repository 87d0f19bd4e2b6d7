#include "series.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <cmath>
#include <iomanip>
#include <numeric>

namespace chicorygap::control_benchmark {

namespace {

double mean(const std::vector<double>& v) {
    return std::accumulate(v.begin(), v.end(), 0.0) / static_cast<double>(v.size());
}

double residual_squares(const line_fit& f, const std::vector<double>& x, const std::vector<double>& y) {
    double sum = 0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        const double d = y[i] - f.intercept - f.slope * x[i];
        sum += d * d;
    }
    return sum;
}

void add_figures(std::vector<row>& rows, const series& s, int size, const figures& list) {
    for (std::size_t i = 0; i < list.size(); ++i) {
        if (i == rows.size()) {
            rows.push_back({s.name, s.size_name, list[i].name, list[i].unit, {}, {}, {}});
        }
        rows[i].sizes.push_back(size);
        rows[i].values.push_back(list[i].value);
    }
}

Poco::JSON::Array to_array(const std::vector<double>& v) {
    Poco::JSON::Array out;
    for (const double d : v) {
        out.add(d);
    }
    return out;
}

Poco::JSON::Object to_json(const row& r) {
    Poco::JSON::Object out;
    out.set("series", r.series);
    out.set("size_name", r.size_name);
    out.set("figure", r.figure);
    out.set("unit", r.unit);
    out.set("sizes", to_array(r.sizes));
    out.set("values", to_array(r.values));
    out.set("slope", r.fit.slope);
    out.set("intercept", r.fit.intercept);
    if (r.fit.slope_error) {
        out.set("slope_standard_error", *r.fit.slope_error);
    }
    return out;
}

constexpr int name_width = 60;
constexpr int value_width = 11;

void write_title(std::ostream& out, const row& r) {
    out << '\n' << r.series << '\n' << std::left << std::setw(name_width) << ("  size: " + r.size_name);
    out << std::right;
    for (const double size : r.sizes) {
        out << std::setw(value_width) << size;
    }
    out << " |" << std::setw(value_width) << "slope" << std::setw(value_width) << "intercept"
        << std::setw(value_width) << "std. error" << '\n';
}

void write_row(std::ostream& out, const row& r) {
    out << std::left << std::setw(name_width) << ("  " + r.figure + " [" + r.unit + "]") << std::right;
    for (const double value : r.values) {
        out << std::setw(value_width) << value;
    }
    out << " |" << std::setw(value_width) << r.fit.slope << std::setw(value_width) << r.fit.intercept
        << std::setw(value_width);
    if (r.fit.slope_error) {
        out << *r.fit.slope_error << '\n';
    } else {
        out << "-" << '\n';
    }
}

}  // namespace

line_fit fit_line(const std::vector<double>& x, const std::vector<double>& y) {
    const double mx = mean(x);
    const double my = mean(y);
    double sxx = 0;
    double sxy = 0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        sxx += (x[i] - mx) * (x[i] - mx);
        sxy += (x[i] - mx) * (y[i] - my);
    }
    line_fit f{sxy / sxx, my - sxy / sxx * mx, {}};
    if (x.size() > 2) {
        f.slope_error = std::sqrt(residual_squares(f, x, y) / static_cast<double>(x.size() - 2) / sxx);
    }
    return f;
}

std::vector<row> run(const series& s) {
    std::vector<row> rows;
    for (const int size : s.sizes) {
        add_figures(rows, s, size, run_isolated([&] { return s.measure(size); }));
    }
    for (auto& r : rows) {
        r.fit = fit_line(r.sizes, r.values);
    }
    return rows;
}

void write_table(std::ostream& out, const std::vector<row>& rows) {
    out << std::setprecision(4);
    std::string title;
    for (const auto& r : rows) {
        if (r.series != title) {
            write_title(out, r);
            title = r.series;
        }
        write_row(out, r);
    }
}

void write_json(std::ostream& out, const std::vector<row>& rows) {
    Poco::JSON::Array list;
    for (const auto& r : rows) {
        list.add(to_json(r));
    }
    list.stringify(out, 1);
    out << '\n';
}

}  // namespace chicorygap::control_benchmark
