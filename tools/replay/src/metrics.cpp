#include "replay/metrics.h"

#include "replay/engine.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iomanip>

namespace chicorygap::replay {

namespace {

using selection = std::function<bool(const trace_arrival&)>;

// Attainment of fewer requests is dominated by single ones.
constexpr std::size_t min_workspace_requests = 10;
constexpr double recovery_window = 5;
constexpr double recovery_share = 0.99;
constexpr double never = 1e9;

struct tally {
    std::size_t requests = 0;
    std::size_t attained = 0;
    [[nodiscard]] double share() const {
        return requests == 0 ? 1 : static_cast<double>(attained) / static_cast<double>(requests);
    }
};

class calculator {
public:
    calculator(const trace& t, const std::vector<request_result>& r) : t_{t}, results_{r} {}

    [[nodiscard]] tally count(const selection& s) const {
        tally out;
        for (const auto& r : results_) {
            const auto& a = t_.arrivals[r.arrival];
            if (s(a)) {
                ++out.requests;
                out.attained += attained(r) ? 1 : 0;
            }
        }
        return out;
    }

    [[nodiscard]] bool attained(const request_result& r) const {
        return r.completed && r.first_token && *r.first_token <= t_.arrivals[r.arrival].deadline;
    }

    [[nodiscard]] double worst_workspace(const selection& s) const {
        double worst = 1;
        for (std::size_t w = 0; w < t_.workspaces.size(); ++w) {
            const auto n = count([&](const auto& a) { return s(a) && a.workspace == w; });
            worst = n.requests >= min_workspace_requests ? std::min(worst, n.share()) : worst;
        }
        return worst;
    }

    [[nodiscard]] std::optional<double> recovery(const selection& s) const {
        if (t_.recovery_from < 0 || t_.steady_until < 0) {
            return std::nullopt;
        }
        const auto between = [&](double from, double until) {
            return count([&](const auto& a) { return s(a) && a.time >= from && a.time < until; });
        };
        const double steady = between(0, t_.steady_until).share();
        for (double at = t_.recovery_from; at + recovery_window <= t_.duration; at += 0.5) {
            if (between(at, at + recovery_window).share() >= recovery_share * steady) {
                return at - t_.recovery_from;
            }
        }
        return never;
    }

    [[nodiscard]] class_metrics metrics(const std::string& name, const selection& s, double work) const {
        class_metrics m;
        m.service_class = name;
        m.attainment = count(s).share();
        m.worst_workspace_attainment = worst_workspace(s);
        m.recovery_s = recovery(s);
        double good = 0;
        double useful = 0;
        for (const auto& r : results_) {
            const auto& a = t_.arrivals[r.arrival];
            if (!s(a)) {
                continue;
            }
            const auto output = static_cast<double>(a.output_tokens);
            good += attained(r) ? output : 0;
            useful += r.completed ? output + engine::prompt_cost * static_cast<double>(a.prompt_tokens) : 0;
            m.refused += r.refused ? 1 : 0;
        }
        m.goodput_tokens_per_s = good / t_.duration;
        m.wasted_fraction = work > 0 ? std::max(1 - useful / work, 0.0) : 0;
        return m;
    }

private:
    const trace& t_;
    const std::vector<request_result>& results_;
};

}  // namespace

std::vector<class_metrics> compute_metrics(const trace& t, const std::vector<request_result>& results,
                                           const std::vector<double>& work, double backend_server_seconds) {
    const calculator c{t, results};
    std::vector<class_metrics> out;
    double total = 0;
    for (std::size_t i = 0; i < t.classes.size(); ++i) {
        total += work[i];
        out.push_back(c.metrics(
            t.classes[i].name, [i](const auto& a) { return a.service_class == i; }, work[i]));
    }
    out.push_back(c.metrics(
        "all", [](const auto&) { return true; }, total));
    for (auto& m : out) {
        m.backend_server_seconds = backend_server_seconds;
    }
    return out;
}

void write_csv(std::ostream& out, const std::string& trace_name, const std::string& policy,
               const std::vector<class_metrics>& m) {
    for (const auto& c : m) {
        out << trace_name << ',' << policy << ',' << c.service_class << ',' << std::fixed
            << std::setprecision(4) << c.attainment << ',' << std::setprecision(1) << c.goodput_tokens_per_s
            << ',' << std::setprecision(4) << c.wasted_fraction << ',' << c.worst_workspace_attainment << ','
            << c.refused << ',' << std::setprecision(0) << c.backend_server_seconds << ',';
        if (c.recovery_s && *c.recovery_s >= never) {
            out << "never";
        } else if (c.recovery_s) {
            out << std::setprecision(1) << *c.recovery_s;
        }
        out << '\n';
    }
}

std::optional<double> measured(const expectation& e, const std::vector<class_metrics>& m) {
    const auto it =
        std::find_if(m.begin(), m.end(), [&](const auto& c) { return c.service_class == e.service_class; });
    if (it == m.end()) {
        return std::nullopt;
    }
    if (e.metric == "attainment") {
        return it->attainment;
    }
    if (e.metric == "wasted_fraction") {
        return it->wasted_fraction;
    }
    if (e.metric == "worst_workspace_attainment") {
        return it->worst_workspace_attainment;
    }
    return e.metric == "refused" ? std::optional{static_cast<double>(it->refused)} : it->recovery_s;
}

}  // namespace chicorygap::replay
