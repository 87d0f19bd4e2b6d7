#include "fleet.h"

#include <algorithm>
#include <map>

namespace chicorygap::testing_fleet {
namespace {

using namespace std::chrono_literals;

/// Retries of the fleet in the settings of `standin::daemon_process`.
constexpr double retry_ratio = 0.2;
constexpr double retry_allowance = 50;
constexpr base::duration retry_window = 10s;
constexpr base::duration request_interval = 50ms;
constexpr base::duration restart_interval = 5500ms;

struct retry_share : fleet {
    void SetUp() override {
        fleet::SetUp();
        for (int i = 0; i < 4; ++i) {
            add_server("s" + std::to_string(i), standin::order_service)
                .set_fault(standin::server_fault::none);
        }
        start_daemons();
        for (const auto& s : servers) {
            s->set_fault(standin::server_fault::internal_error);
        }
    }

    /// Sends reads to the daemons in turn, and calls `disturb` at each interval.
    void send_reads(base::duration length, const std::function<void()>& disturb) {
        const auto begin = base::boot_clock::now();
        auto next_disturbance = begin + restart_interval;
        for (int k = 0; begin + k * request_interval < begin + length; ++k) {
            const auto id = "r" + std::to_string(k);
            sent_[id] = base::boot_clock::now();
            auto c = std::make_shared<standin::caller>(
                loop, daemons[static_cast<std::size_t>(k) % daemon_count].process->caller_address());
            callers_.push_back(c);
            c->send({.id = id,
                     .method = "GET",
                     .host = standin::site_host,
                     .path = standin::read_path,
                     .api_key = key},
                    [](const standin::call_outcome&) {});
            run_until([&] { return base::boot_clock::now() >= begin + (k + 1) * request_interval; });
            if (base::boot_clock::now() >= next_disturbance) {
                next_disturbance += restart_interval;
                disturb();
            }
        }
        run_for(2s);
    }

    /// @return the largest excess of retries over the allowance in any window.
    [[nodiscard]] double worst_excess() const {
        std::vector<base::time_point> retries;
        for (const auto& [id, at] : sent_) {
            const auto& runs_of_it = runs.executions_of(id);
            for (std::size_t i = 1; i < runs_of_it.size(); ++i) {
                retries.push_back(runs_of_it[i].started_at);
            }
        }
        std::sort(retries.begin(), retries.end());
        double worst = -retry_allowance;
        for (const auto& end : retries) {
            const auto count = std::count_if(retries.begin(), retries.end(),
                                             [&](auto at) { return at > end - retry_window && at <= end; });
            const auto requests =
                std::max({requests_between(end - retry_window, end),
                          requests_between(end - retry_window * 3 / 2, end - retry_window / 2),
                          requests_between(end - retry_window * 2, end - retry_window)});
            worst = std::max(worst, static_cast<double>(count) - retry_allowance -
                                        retry_ratio * static_cast<double>(requests));
        }
        return worst;
    }

private:
    [[nodiscard]] std::ptrdiff_t requests_between(base::time_point from, base::time_point to) const {
        return std::count_if(sent_.begin(), sent_.end(),
                             [&](const auto& s) { return s.second > from && s.second <= to; });
    }

    std::map<std::string, base::time_point> sent_;
    std::vector<std::shared_ptr<standin::caller>> callers_;
};

// Failure: all servers answer with errors, and all daemons are killed and started again twice in a window.
// Guards against a full share of the fleet's retries for each start.
TEST_F(retry_share, is_not_spent_again_by_daemons_that_start_again) {
    send_reads(25s, [this] {
        for (auto& d : daemons) {
            d.process->kill();
            d.process->start();
        }
    });
    RecordProperty("worst_excess", static_cast<int>(worst_excess()));
    EXPECT_LE(worst_excess(), 0);
}

// Load: the same without restarts. Guards against a share that is never given.
TEST_F(retry_share, is_spent_by_daemons_that_live) {
    send_reads(25s, [] {});
    EXPECT_LE(worst_excess(), 0);
    EXPECT_GE(worst_excess(), -retry_allowance / 2);
}

}  // namespace
}  // namespace chicorygap::testing_fleet
