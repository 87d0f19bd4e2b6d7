#include "fakes/message_store.h"
#include "series.h"
#include "usage/counter_table.h"
#include "usage/window_keeper.h"

#include <chrono>
#include <deque>

namespace chicorygap::control_benchmark {
namespace {

using namespace std::chrono_literals;
using namespace usage;

constexpr int daemons = 10;
constexpr int classes = 5;
constexpr int simulated_seconds = 130;  // closes two windows

/// Daemons of one zone that report every second to the holder of the role. All rows of all daemons change
/// between reports.
class zone {
public:
    explicit zone(int rows) : keeper_{make_options(), [] { return 0U; }} {
        for (int i = 0; i < rows; ++i) {
            keys_.push_back({base::service_id{"assistant"},
                             base::workspace_id{"workspace-" + std::to_string(i / classes)},
                             base::class_id{"class-" + std::to_string(i % classes)}});
        }
        for (int i = 0; i < daemons; ++i) {
            tables_.emplace_back(source{"daemon-" + std::to_string(i), 1});
            tables_.back().set_holder(1);
        }
        send(role_acquired{1, wall_});
    }

    void run_second() {
        now_ += 1s;
        wall_ += 1s;
        send(tick{wall_});
        for (auto& t : tables_) {
            report(t);
        }
    }

    [[nodiscard]] double daemon_time() const { return daemon_time_; }
    [[nodiscard]] double holder_time() const { return holder_time_; }
    [[nodiscard]] double reported_rows() const { return reported_rows_; }
    [[nodiscard]] double window_bytes() const { return window_bytes_; }

private:
    static keeper_options make_options() {
        keeper_options o;
        o.zone = "a";
        o.holder = "daemon-0";
        o.incarnation = 1;
        return o;
    }

    void report(counter_table& t) {
        usage_report r;
        {
            const processor_timer timer{daemon_time_};
            const auto window = keeper_.window_of(wall_);
            for (const auto& k : keys_) {
                t.add(k, {1, 700, 150}, window);
            }
            r = t.make_report(window);
            t.acknowledge(1, r.sequence);
        }
        reported_rows_ += static_cast<double>(r.rows.size());
        send(r);
    }

    void send(const keeper_event& e) {
        std::deque<keeper_event> events{e};
        while (!events.empty()) {
            const auto actions = handle(events.front());
            events.pop_front();
            for (const auto& a : actions) {
                call(a, events);
            }
        }
    }

    std::vector<keeper_action> handle(const keeper_event& e) {
        const processor_timer timer{holder_time_};
        return keeper_.handle(e, now_);
    }

    void call(const keeper_action& a, std::deque<keeper_event>& events) {
        if (const auto* p = std::get_if<base::store_put>(&a)) {
            // The other objects, such as the head, are smaller than a window.
            window_bytes_ = std::max(window_bytes_, static_cast<double>(p->value.size()));
            events.emplace_back(store_.call(*p));
        } else if (const auto* g = std::get_if<base::store_get>(&a)) {
            events.emplace_back(store_.call(*g));
        } else if (const auto* b = std::get_if<send_bill>(&a)) {
            events.emplace_back(bill_replied{b->window, bill_result::accepted});
        }
    }

    fakes::message_store store_;
    base::time_point now_{1h};
    base::wall_time wall_{60'000s};
    window_keeper keeper_;
    std::vector<row_key> keys_;
    std::vector<counter_table> tables_;
    double daemon_time_ = 0;
    double holder_time_ = 0;
    double reported_rows_ = 0;
    double window_bytes_ = 0;
};

figures measure(int rows) {
    const double before = resident_bytes();
    zone z{rows};
    for (int i = 0; i < simulated_seconds; ++i) {
        z.run_second();
    }
    const double memory = resident_bytes() - before;
    return {{"daemon's processor time per reported row", "us", z.daemon_time() * 1e6 / z.reported_rows()},
            {"holder's processor time per reported row", "us", z.holder_time() * 1e6 / z.reported_rows()},
            {"window object", "B", z.window_bytes()},
            {"window object per row of a daemon", "B", z.window_bytes() / rows / daemons},
            {"memory of 10 daemons and the holder", "B", memory}};
}

}  // namespace

std::vector<series> usage_series() {
    return {{"usage, 10 daemons", "rows per daemon", {10, 100, 300, 1000}, measure}};
}

}  // namespace chicorygap::control_benchmark
