#include "membership/membership_protocol.h"
#include "series.h"

#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <utility>

namespace chicorygap::control_benchmark {
namespace {

using namespace std::chrono_literals;
using namespace membership;

constexpr int warm_up_seconds = 30;
constexpr int measured_seconds = 60;
constexpr int services = 2;
// A daemon routes to a subset of 40 backend servers at the design size.
constexpr int servers = 40;

/// Daemons that exchange messages without loss or delay.
class network {
public:
    network(int zones, int per_zone) {
        for (int z = 0; z < zones; ++z) {
            add_zone("zone-" + std::to_string(z), per_zone);
        }
        for (auto& [address, f] : protocols_) {
            dispatch(f.handle(seeds_changed{seeds_}, now_));
        }
    }

    void run(int seconds) {
        for (int i = 0; i < seconds * 10; ++i, now_ += 100ms) {
            for (auto& [address, f] : protocols_) {
                if (i % 10 == 0) {
                    dispatch(f.handle(make_state(), now_));
                }
                dispatch(f.handle(tick{}, now_));
            }
            deliver();
        }
    }

    void reset_counters() { messages_ = bytes_ = 0; }
    [[nodiscard]] double messages() const { return messages_; }
    [[nodiscard]] double bytes() const { return bytes_; }

private:
    void add_zone(const std::string& zone, int count) {
        for (int i = 0; i < count; ++i) {
            const auto address = zone + ":" + std::to_string(i);
            if (i < 3) {
                seeds_.push_back({address, base::zone_id{zone}});
            }
            const member self{base::vm_id{"vm-" + address}, address, base::zone_id{zone}, 1, 0};
            auto random = [g = std::make_shared<std::mt19937_64>(random_())] { return (*g)(); };
            protocols_.emplace(address, membership_protocol{{.self = self}, random, now_});
        }
    }

    local_state make_state() {
        local_state s;
        for (int i = 0; i < servers; ++i) {
            s.loads.push_back(
                {static_cast<std::uint64_t>(i) + 1, static_cast<std::uint16_t>(random_() % 50)});
        }
        for (int i = 0; i < services; ++i) {
            s.services.push_back({base::service_id{"service-" + std::to_string(i)}, 1, 0});
        }
        return s;
    }

    void dispatch(std::vector<action> actions) {
        for (auto& a : actions) {
            if (auto* s = std::get_if<send>(&a)) {
                ++messages_;
                bytes_ += static_cast<double>(encoded_size(s->content));
                packets_.push_back(std::move(*s));
            }
        }
    }

    void deliver() {
        while (!packets_.empty()) {
            for (auto& p : std::exchange(packets_, {})) {
                const auto it = protocols_.find(p.address);
                if (it != protocols_.end()) {
                    dispatch(it->second.handle(received{std::move(p.content)}, now_ + 1ms));
                }
            }
        }
    }

    std::mt19937_64 random_{1};
    base::time_point now_{1000s};
    std::map<std::string, membership_protocol> protocols_;
    std::vector<seed> seeds_;
    std::vector<send> packets_;
    double messages_ = 0;
    double bytes_ = 0;
};

figures measure(int zones, int per_zone) {
    const double daemons = zones * per_zone;
    const double before = resident_bytes();
    network n{zones, per_zone};
    n.run(warm_up_seconds);
    n.reset_counters();
    double time = 0;
    {
        const processor_timer timer{time};
        n.run(measured_seconds);
    }
    const double per = daemons * measured_seconds;
    return {{"messages sent", "1/daemon/s", n.messages() / per},
            {"bytes sent", "B/daemon/s", n.bytes() / per},
            {"processor time", "us/daemon/s", time * 1e6 / per},
            {"memory", "B/daemon", (resident_bytes() - before) / daemons}};
}

}  // namespace

std::vector<series> membership_series() {
    return {{"membership, one zone", "members", {10, 30, 60, 90}, [](int n) { return measure(1, n); }},
            {"membership, zones of 10", "zones", {1, 4, 19}, [](int n) { return measure(n, 10); }}};
}

}  // namespace chicorygap::control_benchmark
