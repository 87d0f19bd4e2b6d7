#include "burn/render.h"
#include "format.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <string>

namespace chicorygap::burn {

namespace {

constexpr int plot_width = 360;
constexpr int plot_height = 90;
constexpr std::size_t workspaces_shown = 10;
constexpr std::size_t causes_shown = 5;
// A plot that scales to a single bad bucket hides everything else, so higher rates are cut off.
constexpr double highest_rate = 50;

constexpr const char* style =
    "body{font:14px sans-serif;margin:2em;color:#222}table{border-collapse:collapse}"
    "td,th{border:1px solid #ccc;padding:2px "
    "8px;text-align:right}td:first-child,th:first-child{text-align:left}"
    ".page{background:#f8d0d0}.ticket{background:#fbeec0}figure{display:inline-block;margin:4px 12px 4px 0}"
    "figcaption{font-size:12px;color:#555}svg{background:#fafafa;border:1px solid #ddd}";

std::string escaped(const std::string& text) {
    std::string out;
    for (const char c : text) {
        switch (c) {
            case '&':
                out += "&amp;";
                break;
            case '<':
                out += "&lt;";
                break;
            case '>':
                out += "&gt;";
                break;
            case '"':
                out += "&quot;";
                break;
            default:
                out += c;
        }
    }
    return out;
}

std::string time_text(base::wall_time at) {
    const std::time_t t = std::chrono::system_clock::to_time_t(at);
    std::tm tm{};
    gmtime_r(&t, &tm);
    char buf[32];
    const std::size_t n = std::strftime(buf, sizeof buf, "%Y-%m-%d %H:%M:%S UTC", &tm);
    return {buf, n};
}

template <typename Values>
void write_line(std::ostream& out, const Values& values, double top, const char* colour) {
    out << "<polyline fill=\"none\" stroke=\"" << colour << "\" stroke-width=\"1.5\" points=\"";
    const double step = values.size() > 1 ? double(plot_width) / double(values.size() - 1) : 0;
    for (std::size_t i = 0; i < values.size(); ++i) {
        const double y = plot_height * (1 - std::clamp(values[i] / top, 0.0, 1.0));
        out << fixed(step * double(i), 1) << ',' << fixed(y, 1) << ' ';
    }
    out << "\"/>";
}

void open_plot(std::ostream& out) {
    out << "<figure><svg width=\"" << plot_width << "\" height=\"" << plot_height << "\" viewBox=\"0 0 "
        << plot_width << ' ' << plot_height << "\">";
}

void write_burn_plot(std::ostream& out, const class_report& c, std::size_t window) {
    const auto& history = c.windows[window].history;
    const double peak = *std::max_element(history.begin(), history.end());
    const double top = std::clamp(std::ceil(peak * 1.1), 2.0, highest_rate);
    open_plot(out);
    const std::array<double, 2> budget{1, 1};
    write_line(out, budget, top, "#999");
    write_line(out, history, top, "#b03030");
    out << "</svg><figcaption>burn rate, last " << windows[window].name << ", axis 0 to " << fixed(top, 0)
        << ", grey line 1</figcaption></figure>\n";
}

void write_workspace_plot(std::ostream& out, const class_report& c) {
    std::vector<double> attainment;
    for (const auto& w : c.workspaces) {
        if (w.windows[window_1h].total > 0) {
            attainment.push_back(w.windows[window_1h].attainment());
        }
    }
    if (attainment.size() < 2) {
        return;
    }
    std::sort(attainment.begin(), attainment.end());
    open_plot(out);
    const std::array<double, 2> target{c.target.attainment, c.target.attainment};
    write_line(out, target, 1, "#999");
    write_line(out, attainment, 1, "#3050a0");
    out << "</svg><figcaption>attainment of " << attainment.size()
        << " workspaces over 1h, sorted, axis 0 to 1, grey line target</figcaption></figure>\n";
}

void write_causes(std::ostream& out, const char* title, const std::vector<cause>& v) {
    if (v.empty()) {
        return;
    }
    out << "<p>Misses of the last hour by " << title << ":";
    for (std::size_t i = 0; i < v.size() && i < causes_shown; ++i) {
        out << (i == 0 ? " " : ", ") << escaped(v[i].name) << " " << v[i].misses;
    }
    out << "</p>\n";
}

void write_workspaces(std::ostream& out, const class_report& c) {
    if (c.workspaces.empty()) {
        return;
    }
    out << "<table><tr><th>worst-served workspaces</th><th>requests 1h</th><th>attainment 1h</th>"
           "<th>attainment 3d</th></tr>\n";
    for (std::size_t i = 0; i < c.workspaces.size() && i < workspaces_shown; ++i) {
        const auto& w = c.workspaces[i];
        out << "<tr><td>" << escaped(w.workspace.str()) << "</td><td>" << w.windows[window_1h].total
            << "</td><td>" << percent(w.windows[window_1h].attainment()) << "</td><td>"
            << percent(w.windows[window_3d].attainment()) << "</td></tr>\n";
    }
    out << "</table>\n";
}

void write_summary(std::ostream& out, const report& r) {
    out << "<table><tr><th>service and class</th><th>tier</th><th>target</th>";
    for (const auto& w : windows) {
        out << "<th>burn " << w.name << "</th>";
    }
    out << "<th>budget left</th><th>time left</th><th>alert</th></tr>\n";
    for (const auto& c : r.classes) {
        out << "<tr class=\"" << to_string(c.urgency) << "\"><td>" << escaped(c.target.service.str()) << " / "
            << escaped(c.target.service_class.str()) << "</td><td>" << int(c.target.tier.level) << "</td><td>"
            << fixed(c.target.attainment, 4) << "</td>";
        for (const auto& w : c.windows) {
            out << "<td>" << fixed(w.burn_rate, 2) << "</td>";
        }
        out << "<td>" << percent(c.budget_left) << "</td><td>" << (c.time_left ? readable(*c.time_left) : "-")
            << "</td><td>" << to_string(c.urgency) << "</td></tr>\n";
    }
    out << "</table>\n";
}

void write_class(std::ostream& out, const class_report& c) {
    out << "<h2>" << escaped(c.target.service.str()) << " / " << escaped(c.target.service_class.str())
        << "</h2>\n";
    for (std::size_t i = 0; i < window_count; ++i) {
        write_burn_plot(out, c, i);
    }
    write_workspace_plot(out, c);
    write_workspaces(out, c);
    write_causes(out, "result code", c.reasons.by_code);
    write_causes(out, "zone", c.reasons.by_zone);
    write_causes(out, "backend server", c.reasons.by_server);
}

}  // namespace

void write_html(std::ostream& out, const report& r, base::wall_time at) {
    out << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Burn rates</title><style>"
        << style << "</style></head><body>\n<h1>Burn rates</h1>\n<p>" << time_text(at) << ", "
        << r.included.size() << " daemons included";
    if (!r.missing.empty()) {
        out << ", " << r.missing.size() << " missing: " << escaped(missing_list(r));
    }
    out << ".</p>\n";
    write_summary(out, r);
    for (const auto& c : r.classes) {
        write_class(out, c);
    }
    out << "</body></html>\n";
}

}  // namespace chicorygap::burn
