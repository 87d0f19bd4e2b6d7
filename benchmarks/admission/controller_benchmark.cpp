// Time of one admission decision at a tenth of the design size and at full size (design 1.5: under 5 us with
// 2,000 workspaces and 10,000 queued requests). The tenth is the baseline of the ratio.
#include "admission/controller.h"

#include <benchmark/benchmark.h>

#include <deque>
#include <random>
#include <string>

namespace chicorygap::admission {
namespace {

using namespace std::chrono_literals;

constexpr int slots = 256;
constexpr int tiers = 5;

// A saturated controller: every finished request is replaced by an arrival, so the queue keeps its length.
class saturated {
public:
    saturated(int workspaces, int queued) : controller_{make_policy(workspaces, queued)} {
        for (int i = 0; i < workspaces; ++i) {
            workspaces_.emplace_back("workspace-" + std::to_string(i));
        }
        handle(capacity_changed{slots});
        for (int i = 0; i < queued + slots; ++i) {
            arrive();
        }
    }

    void arrive() {
        arrival a;
        a.id = base::request_id{"request-" + std::to_string(next_++)};
        a.service_class = classes_[random_() % tiers];
        a.workspace = workspaces_[random_() % workspaces_.size()];
        a.prompt_tokens = static_cast<std::int64_t>(random_() % 4000 + 1);
        a.deadline = now_ + 24h;
        handle(a);
    }

    void finish() {
        const auto id = running_.front();
        running_.pop_front();
        handle(finished{id, static_cast<std::int64_t>(random_() % 500 + 1), 1s});
    }

    void make_progress() { handle(progress{running_.front(), ++tokens_}); }

    [[nodiscard]] std::size_t queued() const { return controller_.snapshot(now_).queued; }

private:
    policy make_policy(int workspaces, int queued) {
        policy p;
        for (int i = 0; i < tiers; ++i) {
            classes_.emplace_back("class-" + std::to_string(i));
            class_policy c{classes_.back(), base::tier{static_cast<std::uint8_t>(i)}};
            // Early refusal would keep the queue short; it is measured with far deadlines instead.
            c.floor_wait = 1s;
            p.classes.push_back(c);
        }
        for (int i = 0; i < workspaces; ++i) {
            p.workspaces.push_back(
                {base::workspace_id{"workspace-" + std::to_string(i)}, 1.0 + i % 3, {1e9, 1e12, 1000}});
        }
        p.queue_limit = static_cast<std::size_t>(queued) + 1;
        return p;
    }

    void handle(const event& e) {
        now_ += 50us;
        for (const auto& a : controller_.handle(e, now_)) {
            if (const auto* s = std::get_if<start>(&a)) {
                running_.push_back(s->id);
            }
        }
    }

    std::vector<base::class_id> classes_;
    std::vector<base::workspace_id> workspaces_;
    std::mt19937_64 random_{1};
    base::time_point now_{1000s};
    controller controller_;
    std::deque<base::request_id> running_;
    std::int64_t next_ = 0;
    std::int64_t tokens_ = 0;
};

void set_size(benchmark::State& state, const saturated& s, int decisions_per_iteration) {
    state.counters["queued"] = static_cast<double>(s.queued());
    state.counters["time_per_decision"] =
        benchmark::Counter(static_cast<double>(state.iterations()) * decisions_per_iteration,
                           benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

void finish_and_arrive(benchmark::State& state) {
    saturated s{static_cast<int>(state.range(0)), static_cast<int>(state.range(1))};
    for (auto _ : state) {
        s.finish();
        s.arrive();
    }
    set_size(state, s, 2);
}

// The queue is full: every arrival sheds one request.
void arrive_and_shed(benchmark::State& state) {
    saturated s{static_cast<int>(state.range(0)), static_cast<int>(state.range(1))};
    for (auto _ : state) {
        s.arrive();
    }
    set_size(state, s, 1);
}

void progress_of_running(benchmark::State& state) {
    saturated s{static_cast<int>(state.range(0)), static_cast<int>(state.range(1))};
    for (auto _ : state) {
        s.make_progress();
    }
    set_size(state, s, 1);
}

BENCHMARK(finish_and_arrive)->Args({200, 1000})->Args({2000, 10000});
BENCHMARK(arrive_and_shed)->Args({200, 1000})->Args({2000, 10000});
BENCHMARK(progress_of_running)->Args({200, 1000})->Args({2000, 10000});

}  // namespace
}  // namespace chicorygap::admission
