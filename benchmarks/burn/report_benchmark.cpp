// Time of a burn-rate report at a tenth of the design size and at full size (design 1.5: 2,000 workspaces by
// 5 tiers in under 1 s), over the digests of 7 daemons. The tenth is the baseline of the ratio.
#include "burn/recorder.h"
#include "burn/render.h"
#include "burn/report.h"

#include <benchmark/benchmark.h>

#include <random>
#include <sstream>
#include <string>

namespace chicorygap::burn {
namespace {

constexpr int tiers = 5;
constexpr int daemons = 7;
const base::time_point now{std::chrono::hours{1000}};
const base::service_id service{"assistant"};

base::class_id class_name(int tier) {
    return base::class_id{"class-" + std::to_string(tier)};
}

std::vector<digest> make_digests(int workspaces) {
    std::mt19937_64 random{1};
    std::vector<digest> out;
    for (int d = 0; d < daemons; ++d) {
        recorder r{base::vm_id{"daemon-" + std::to_string(d)}};
        for (int i = 0; i < workspaces * tiers; ++i) {
            outcome o{service,
                      class_name(i % tiers),
                      base::workspace_id{"workspace-" + std::to_string(i / tiers)},
                      random() % 50 != 0,
                      base::result_code::queue_full,
                      {},
                      {}};
            o.server = base::backend_server_id{"server-" + std::to_string(random() % 100)};
            r.record(o, now);
        }
        out.push_back(r.snapshot(now));
    }
    return out;
}

void report_in_all_formats(benchmark::State& state) {
    const auto digests = make_digests(static_cast<int>(state.range(0)));
    std::vector<objective> objectives;
    objectives.reserve(tiers);
    for (int t = 0; t < tiers; ++t) {
        objectives.push_back({service, class_name(t), base::tier{static_cast<std::uint8_t>(t)}, 0.99});
    }
    for (auto _ : state) {
        const auto r = make_report(objectives, digests, {});
        std::ostringstream out;
        write_text(out, r);
        write_json(out, r, {});
        write_html(out, r, {});
        benchmark::DoNotOptimize(out.str().size());
    }
}

void record_outcome(benchmark::State& state) {
    recorder r{base::vm_id{"daemon"}};
    std::vector<outcome> outcomes;
    outcomes.reserve(static_cast<std::size_t>(state.range(0)) * tiers);
    for (int i = 0; i < state.range(0) * tiers; ++i) {
        outcomes.push_back({service,
                            class_name(i % tiers),
                            base::workspace_id{"workspace-" + std::to_string(i / tiers)},
                            true,
                            base::result_code::ok,
                            {},
                            {}});
    }
    std::size_t i = 0;
    for (auto _ : state) {
        r.record(outcomes[i++ % outcomes.size()], now);
    }
}

BENCHMARK(report_in_all_formats)->Arg(200)->Arg(2000)->Unit(benchmark::kMillisecond);
BENCHMARK(record_outcome)->Arg(200)->Arg(2000);

}  // namespace
}  // namespace chicorygap::burn
