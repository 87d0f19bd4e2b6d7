#include "burn/report.h"

#include "cause_counter.h"

#include <algorithm>
#include <string>
#include <unordered_map>

namespace chicorygap::burn {

namespace {

// Rates at which 2% of a 3-day budget is spent in an hour, and 10% in six hours.
constexpr double page_rate = 0.02 * 72 / 1;
constexpr double ticket_rate = 0.10 * 72 / 6;
// The attainment of a workspace with fewer requests is dominated by single ones.
constexpr std::uint32_t min_requests = 10;
constexpr double smallest_budget = 1e-9;

double burn_rate(const counts& c, double attainment) {
    return (1 - c.attainment()) / std::max(1 - attainment, smallest_budget);
}

using misses_by_name = std::unordered_map<std::string, std::uint32_t>;

void add_causes(misses_by_name& sum, const std::vector<cause>& v) {
    for (const auto& c : v) {
        sum[c.name] += c.misses;
    }
}

std::vector<cause> sorted_causes(const misses_by_name& sum) {
    std::vector<cause> out;
    for (const auto& [name, misses] : sum) {
        out.push_back({name, misses});
    }
    sort_causes(out);
    return out;
}

struct merged_class {
    std::array<std::array<counts, class_buckets>, window_count> history;
    std::unordered_map<base::workspace_id, std::array<counts, window_count>> workspaces;
    misses_by_name codes;
    misses_by_name zones;
    misses_by_name servers;

    void add(const class_digest& d) {
        for (std::size_t i = 0; i < window_count; ++i) {
            for (std::size_t k = 0; k < class_buckets; ++k) {
                history[i][k] += d.history[i][k];
            }
        }
        for (const auto& w : d.workspaces) {
            auto& sum = workspaces[w.workspace];
            for (std::size_t i = 0; i < window_count; ++i) {
                sum[i] += w.windows[i];
            }
        }
        add_causes(codes, d.reasons.by_code);
        add_causes(zones, d.reasons.by_zone);
        add_causes(servers, d.reasons.by_server);
    }
};

window_report make_window(const std::array<counts, class_buckets>& history, double attainment) {
    window_report w;
    for (std::size_t k = 0; k < class_buckets; ++k) {
        w.requests += history[k];
        w.history[k] = burn_rate(history[k], attainment);
    }
    w.burn_rate = burn_rate(w.requests, attainment);
    return w;
}

bool worse(const workspace_report& a, const workspace_report& b) {
    const counts& x = a.windows[window_1h];
    const counts& y = b.windows[window_1h];
    const bool few_x = x.total < min_requests;
    const bool few_y = y.total < min_requests;
    if (few_x != few_y) {
        return few_y;
    }
    if (x.attainment() != y.attainment()) {
        return x.attainment() < y.attainment();
    }
    return x.total != y.total ? x.total > y.total : a.workspace.str() < b.workspace.str();
}

alert urgency_of(const class_report& r) {
    const auto above = [&](std::size_t a, std::size_t b, double rate) {
        return r.windows[a].burn_rate >= rate && r.windows[b].burn_rate >= rate;
    };
    // The short window ends an alert soon after its cause has ended.
    if (above(window_1h, window_5m, page_rate)) {
        return alert::page;
    }
    return above(window_6h, window_1h, ticket_rate) ? alert::ticket : alert::none;
}

class_report make_class(const objective& o, const merged_class& m) {
    class_report r;
    r.target = o;
    for (std::size_t i = 0; i < window_count; ++i) {
        r.windows[i] = make_window(m.history[i], o.attainment);
    }
    r.budget_left = 1 - r.windows[window_3d].burn_rate;
    const double rate = r.windows[window_1h].burn_rate;
    if (rate > 0) {
        const double part = std::max(r.budget_left, 0.0) / rate;
        const std::chrono::duration<double> left = part * windows[window_3d].length;
        constexpr std::chrono::duration<double> longest = std::chrono::hours{24 * 365};
        r.time_left = std::chrono::duration_cast<base::duration>(std::min(left, longest));
    }
    r.urgency = urgency_of(r);
    for (const auto& [id, w] : m.workspaces) {
        r.workspaces.push_back({id, w});
    }
    std::sort(r.workspaces.begin(), r.workspaces.end(), worse);
    r.reasons = {sorted_causes(m.codes), sorted_causes(m.zones), sorted_causes(m.servers)};
    return r;
}

std::string class_key(const base::service_id& service, const base::class_id& c) {
    return service.str() + '\n' + c.str();
}

}  // namespace

std::string_view to_string(alert a) noexcept {
    switch (a) {
        case alert::page:
            return "page";
        case alert::ticket:
            return "ticket";
        case alert::none:
            break;
    }
    return "none";
}

report make_report(const std::vector<objective>& objectives, const std::vector<digest>& digests,
                   const std::vector<base::vm_id>& expected) {
    std::unordered_map<base::vm_id, const digest*> latest;
    for (const auto& d : digests) {
        latest[d.daemon] = &d;
    }
    std::unordered_map<std::string, merged_class> merged;
    report r;
    for (const auto& [daemon, d] : latest) {
        r.included.push_back(daemon);
        for (const auto& c : d->classes) {
            merged[class_key(c.service, c.service_class)].add(c);
        }
    }
    for (const auto& daemon : expected) {
        if (!latest.contains(daemon)) {
            r.missing.push_back(daemon);
        }
    }
    const auto by_name = [](const auto& a, const auto& b) { return a.str() < b.str(); };
    std::sort(r.included.begin(), r.included.end(), by_name);
    std::sort(r.missing.begin(), r.missing.end(), by_name);
    for (const auto& o : objectives) {
        r.classes.push_back(make_class(o, merged[class_key(o.service, o.service_class)]));
    }
    std::stable_sort(r.classes.begin(), r.classes.end(), [](const class_report& a, const class_report& b) {
        return a.target.tier.outranks(b.target.tier);
    });
    return r;
}

}  // namespace chicorygap::burn
