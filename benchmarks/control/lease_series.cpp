#include "fakes/message_store.h"
#include "lease/role_lease.h"
#include "series.h"

#include <chrono>
#include <deque>

namespace chicorygap::control_benchmark {
namespace {

using namespace std::chrono_literals;
using namespace lease;

constexpr int warm_up_seconds = 30;
constexpr int measured_seconds = 300;

/// Daemons that compete for one role; no watch informs the candidates, so they poll.
class competitors {
public:
    explicit competitors(int count) {
        for (int i = 0; i < count; ++i) {
            lease_options o;
            o.role = "zone-control-a";
            o.holder = "daemon-" + std::to_string(i);
            o.incarnation = 1;
            daemons_.emplace_back(o);
        }
    }

    void run(int seconds) {
        for (int i = 0; i < seconds * 10; ++i, now_ += 100ms) {
            for (auto& d : daemons_) {
                send(d, tick{});
            }
        }
    }

    void reset_counters() { writes_ = reads_ = 0; }
    [[nodiscard]] double writes() const { return writes_; }
    [[nodiscard]] double reads() const { return reads_; }

private:
    void send(role_lease& d, const lease_event& e) {
        std::deque<lease_event> events{e};
        while (!events.empty()) {
            const auto actions = d.handle(events.front(), now_);
            events.pop_front();
            for (const auto& a : actions) {
                call(a, events);
            }
        }
    }

    void call(const lease_action& a, std::deque<lease_event>& events) {
        if (const auto* p = std::get_if<base::store_put>(&a)) {
            ++writes_;
            events.emplace_back(store_.call(*p));
        } else if (const auto* g = std::get_if<base::store_get>(&a)) {
            ++reads_;
            events.emplace_back(store_.call(*g));
        }
    }

    fakes::message_store store_;
    base::time_point now_{1h};
    std::vector<role_lease> daemons_;
    double writes_ = 0;
    double reads_ = 0;
};

figures measure(int count) {
    competitors c{count};
    c.run(warm_up_seconds);
    c.reset_counters();
    double time = 0;
    {
        const processor_timer timer{time};
        c.run(measured_seconds);
    }
    return {{"writes", "1/role/s", c.writes() / measured_seconds},
            {"reads", "1/role/s", c.reads() / measured_seconds},
            {"processor time", "us/daemon/role/s", time * 1e6 / measured_seconds / count}};
}

}  // namespace

std::vector<series> lease_series() {
    return {{"lease, one role", "daemons competing", {1, 2, 5, 10, 30}, measure}};
}

}  // namespace chicorygap::control_benchmark
