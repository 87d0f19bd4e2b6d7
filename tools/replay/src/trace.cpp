#include "replay/trace.h"

#include "line_fields.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <random>
#include <utility>

namespace chicorygap::replay {

namespace {

constexpr std::array fault_names{
    std::pair{"slow", fault_kind::slow},
    std::pair{"crash", fault_kind::crash},
    std::pair{"reclaim", fault_kind::reclaim},
    std::pair{"partition", fault_kind::partition},
    std::pair{"platform_down", fault_kind::platform_down},
    std::pair{"stall", fault_kind::stall},
    std::pair{"leave_server", fault_kind::leave_server},
    std::pair{"add_server", fault_kind::add_server},
    std::pair{"replace_daemon", fault_kind::replace_daemon},
    std::pair{"stale_reports", fault_kind::stale_reports},
};
constexpr int lowest_tier = 4;

class reader {
public:
    trace read(std::istream& in) {
        std::string text;
        for (std::size_t number = 1; std::getline(in, text); ++number) {
            line_fields line{number, text};
            if (!line.empty()) {
                read_line(line);
            }
            last_line_ = number;
        }
        if (!in_body_ || t_.name.empty()) {
            throw trace_error{last_line_, "missing 'trace' or 'run' line"};
        }
        std::stable_sort(t_.arrivals.begin(), t_.arrivals.end(),
                         [](const auto& a, const auto& b) { return a.time < b.time; });
        return std::move(t_);
    }

private:
    void read_line(line_fields& line) {
        const std::string& word = line.word(0, "word");
        if (in_body_) {
            read_body(word, line);
        } else if (!read_scalar(word, line)) {
            read_header(word, line);
        }
    }

    bool read_scalar(const std::string& word, const line_fields& line) {
        const std::map<std::string, double*> scalars{{"duration", &t_.duration},
                                                     {"report_lag", &t_.report_lag},
                                                     {"steady_until", &t_.steady_until},
                                                     {"recovery_from", &t_.recovery_from}};
        const auto it = scalars.find(word);
        if (it != scalars.end()) {
            *it->second = line.word_number(1, word.c_str());
        } else if (word == "trace") {
            t_.name = line.word(1, "name");
        } else if (word == "seed") {
            t_.seed = static_cast<std::uint64_t>(line.word_number(1, "seed"));
        } else {
            return false;
        }
        line.require_end(2);
        return true;
    }

    void read_header(const std::string& word, line_fields& line) {
        if (word == "class") {
            read_class(line);
        } else if (word == "workspace") {
            read_workspace(line);
        } else if (word == "zone") {
            t_.zones.push_back({line.word(1, "name"), static_cast<int>(line.number_of("daemons", 1))});
            line.require_end(2);
        } else if (word == "servers") {
            read_servers(line);
        } else if (word == "expect") {
            read_expectation(line);
        } else if (word == "run") {
            line.require_end(1);
            require_header(line);
            in_body_ = true;
        } else {
            line.fail("unknown word '" + word + "'");
        }
    }

    void require_header(const line_fields& line) const {
        if (t_.classes.empty() || t_.workspaces.empty() || t_.zones.empty() || t_.servers.empty()) {
            line.fail("the header needs classes, workspaces, zones and servers");
        }
        if (t_.expectations.empty()) {
            line.fail("the header needs the expected outcome");
        }
    }

    void read_class(line_fields& line) {
        trace_class c;
        c.name = line.word(1, "class name");
        c.tier = static_cast<int>(line.number_of("tier"));
        c.idempotent = line.number_of("idempotent", 0, 1) != 0;
        c.service = line.text_of("service");
        c.patience = line.number_of("patience", 0, 60);
        line.require_end(2);
        if (c.tier > lowest_tier) {
            line.fail("the lowest tier is 4");
        }
        t_.classes.push_back(c);
    }

    void read_workspace(line_fields& line) {
        trace_workspace w;
        w.name = line.word(1, "workspace name");
        w.weight = line.number_of("weight", 1e-3, 1);
        w.requests_per_s = line.optional_number("requests_per_s");
        w.tokens_per_s = line.optional_number("tokens_per_s");
        if (const auto c = line.optional_number("concurrency")) {
            w.concurrency = static_cast<int>(*c);
        }
        line.require_end(2);
        t_.workspaces.push_back(w);
    }

    void read_servers(line_fields& line) {
        const int count = static_cast<int>(line.number_of("count", 1));
        trace_server s;
        s.zone = line.text_of("zone");
        s.service = line.text_of("service");
        s.slots = static_cast<int>(line.number_of("slots", 1));
        s.speed = line.number_of("speed", 1e-3, 1);
        s.cost = line.number_of("cost", 0, 1);
        s.reclaimable = line.number_of("reclaimable", 0, 0) != 0;
        line.require_end(1);
        index_of(line, t_.zones, s.zone, "zone");
        for (int i = 0; i < count; ++i) {
            const auto same = std::count_if(t_.servers.begin(), t_.servers.end(), [&](const auto& o) {
                return o.zone == s.zone && o.service == s.service;
            });
            s.name = s.service + "-" + s.zone + "-" + std::to_string(same);
            t_.servers.push_back(s);
        }
    }

    void read_expectation(line_fields& line) {
        expectation e;
        e.service_class = line.word(1, "class");
        e.metric = line.word(2, "metric");
        const std::string& op = line.word(3, "comparison");
        e.bound = line.word_number(4, "bound");
        line.require_end(5);
        constexpr std::array metrics{"attainment", "wasted_fraction", "worst_workspace_attainment", "refused",
                                     "recovery_s"};
        if (std::find(metrics.begin(), metrics.end(), e.metric) == metrics.end()) {
            line.fail("unknown metric '" + e.metric + "'");
        }
        if (op != ">=" && op != "<=") {
            line.fail("the comparison is '>=' or '<='");
        }
        if (e.service_class != "all") {
            index_of(line, t_.classes, e.service_class, "class");
        }
        e.at_least = op == ">=";
        t_.expectations.push_back(e);
    }

    void read_body(const std::string& word, line_fields& line) {
        const double time = line.word_number(1, "time");
        if (time < last_time_) {
            line.fail("time goes backwards");
        }
        last_time_ = time;
        if (word == "arrive") {
            t_.arrivals.push_back(read_request(line, time));
            line.require_end(2);
        } else if (word == "generate") {
            generate(line, time);
        } else if (word == "fault") {
            read_fault(line, time);
        } else {
            line.fail("unknown word '" + word + "'");
        }
    }

    trace_arrival read_request(line_fields& line, double time) {
        trace_arrival a;
        a.time = time;
        a.service_class = index_of(line, t_.classes, line.text_of("class"), "class");
        a.workspace = index_of(line, t_.workspaces, line.text_of("workspace"), "workspace");
        a.prompt_tokens = static_cast<std::int64_t>(line.number_of("prompt", 1));
        a.output_tokens = static_cast<std::int64_t>(line.number_of("output", 1));
        a.deadline = line.number_of("deadline", 1e-3);
        return a;
    }

    // Poisson arrivals whose lengths are exponential around the given means, between an eighth and four times
    // the mean.
    void generate(line_fields& line, double time) {
        const double until = line.number_of("until", time);
        const double rate = line.number_of("rate", 1e-6);
        const trace_arrival mean = read_request(line, time);
        line.require_end(2);
        std::mt19937_64 random{t_.seed * 1'000'003 + line.number()};
        const auto exponential = [&] {
            const double u = (static_cast<double>(random() >> 11) + 0.5) / 9007199254740992.0;  // 2^53
            return -std::log(u);
        };
        const auto length = [&](std::int64_t m) {
            const double part = std::clamp(exponential(), 0.125, 4.0);
            return std::max<std::int64_t>(static_cast<std::int64_t>(static_cast<double>(m) * part), 1);
        };
        for (double t = time + exponential() / rate; t < until; t += exponential() / rate) {
            trace_arrival a = mean;
            a.time = t;
            a.prompt_tokens = length(mean.prompt_tokens);
            a.output_tokens = length(mean.output_tokens);
            t_.arrivals.push_back(a);
        }
    }

    void read_fault(line_fields& line, double time) {
        const std::string& kind = line.word(2, "kind of fault");
        const auto it = std::find_if(fault_names.begin(), fault_names.end(),
                                     [&](const auto& f) { return kind == f.first; });
        if (it == fault_names.end()) {
            line.fail("unknown fault '" + kind + "'");
        }
        trace_fault f;
        f.time = time;
        f.kind = it->second;
        if (f.kind != fault_kind::platform_down && f.kind != fault_kind::stale_reports) {
            f.target = line.text_of("target");
            check_target(line, f);
        }
        const bool instant = f.kind == fault_kind::leave_server || f.kind == fault_kind::add_server ||
                             f.kind == fault_kind::replace_daemon || f.kind == fault_kind::stall;
        f.duration = instant ? 0 : line.number_of("for", 1e-3);
        f.factor = f.kind == fault_kind::slow ? line.number_of("factor", 1e-3) : 1;
        line.require_end(3);
        t_.faults.push_back(f);
    }

    void check_target(const line_fields& line, const trace_fault& f) const {
        if (f.kind == fault_kind::reclaim || f.kind == fault_kind::partition) {
            index_of(line, t_.zones, f.target, "zone");
        } else if (f.kind != fault_kind::replace_daemon) {
            index_of(line, t_.servers, f.target, "server");
        }
    }

    template <typename Items>
    static std::size_t index_of(const line_fields& line, const Items& items, const std::string& name,
                                const char* kind) {
        const auto it =
            std::find_if(items.begin(), items.end(), [&](const auto& item) { return item.name == name; });
        if (it == items.end()) {
            line.fail(std::string{"unknown "} + kind + " '" + name + "'");
        }
        return static_cast<std::size_t>(it - items.begin());
    }

    trace t_;
    bool in_body_ = false;
    double last_time_ = 0;
    std::size_t last_line_ = 0;
};

}  // namespace

trace read_trace(std::istream& in) {
    return reader{}.read(in);
}

}  // namespace chicorygap::replay
