#include "burn/render.h"
#include "format.h"

#include <iomanip>
#include <sstream>

namespace chicorygap::burn {

namespace {

constexpr std::size_t causes_shown = 3;

void write_causes(std::ostream& out, const char* title, const std::vector<cause>& v) {
    if (v.empty()) {
        return;
    }
    out << "    misses by " << title << ":";
    for (std::size_t i = 0; i < v.size() && i < causes_shown; ++i) {
        out << (i == 0 ? " " : ", ") << v[i].name << " " << v[i].misses;
    }
    out << "\n";
}

void write_class(std::ostream& out, const class_report& c) {
    out << std::left << std::setw(14) << c.target.service.str() << std::setw(14)
        << c.target.service_class.str() << std::right << std::setw(4) << int(c.target.tier.level)
        << std::setw(9) << fixed(c.target.attainment, 4);
    for (const auto& w : c.windows) {
        out << std::setw(9) << fixed(w.burn_rate, 2);
    }
    out << std::setw(9) << percent(c.budget_left) << std::setw(10)
        << (c.time_left ? readable(*c.time_left) : "-") << "  " << to_string(c.urgency) << "\n";
    if (!c.workspaces.empty()) {
        const auto& w = c.workspaces.front();
        const auto& hour = w.windows[window_1h];
        out << "    worst-served workspace (1h): " << w.workspace.str() << " " << percent(hour.attainment())
            << " of " << hour.total << "\n";
    }
    write_causes(out, "code", c.reasons.by_code);
    write_causes(out, "zone", c.reasons.by_zone);
    write_causes(out, "backend server", c.reasons.by_server);
}

}  // namespace

std::string fixed(double value, int digits) {
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << value;
    return out.str();
}

std::string percent(double share) {
    return fixed(share * 100, 1) + "%";
}

std::string readable(base::duration d) {
    const auto minutes = std::chrono::duration_cast<std::chrono::minutes>(d).count();
    constexpr long minutes_per_hour = 60;
    constexpr long minutes_per_day = 24 * minutes_per_hour;
    if (minutes < 2 * minutes_per_hour) {
        return std::to_string(minutes) + "m";
    }
    return minutes < 2 * minutes_per_day ? fixed(double(minutes) / minutes_per_hour, 1) + "h"
                                         : fixed(double(minutes) / minutes_per_day, 1) + "d";
}

std::string missing_list(const report& r) {
    std::string out;
    for (const auto& id : r.missing) {
        out += (out.empty() ? "" : " ") + id.str();
    }
    return out;
}

void write_text(std::ostream& out, const report& r) {
    out << "daemons included: " << r.included.size() << ", missing: " << r.missing.size();
    out << (r.missing.empty() ? "" : " (" + missing_list(r) + ")") << "\n";
    out << "service       class         tier   target";
    for (const auto& w : windows) {
        out << std::right << std::setw(9) << ("burn " + std::string{w.name});
    }
    out << "   budget time left  alert\n";
    for (const auto& c : r.classes) {
        write_class(out, c);
    }
}

}  // namespace chicorygap::burn
