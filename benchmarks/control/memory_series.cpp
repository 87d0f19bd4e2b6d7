#include "admission/controller.h"
#include "burn/recorder.h"
#include "series.h"

#include <chrono>

namespace chicorygap::control_benchmark {
namespace {

using namespace std::chrono_literals;

constexpr int tiers = 5;

base::class_id class_name(int tier) {
    return base::class_id{"class-" + std::to_string(tier)};
}

base::workspace_id workspace_name(int i) {
    return base::workspace_id{"workspace-" + std::to_string(i)};
}

admission::policy make_policy(int workspaces) {
    admission::policy p;
    for (int t = 0; t < tiers; ++t) {
        p.classes.push_back({class_name(t), base::tier{static_cast<std::uint8_t>(t)}});
    }
    for (int i = 0; i < workspaces; ++i) {
        p.workspaces.push_back({workspace_name(i), 1.0, {1e9, 1e12, 1000}});
    }
    return p;
}

void queue_requests(admission::controller& c, int workspaces) {
    constexpr base::time_point now{1h};
    for (int i = 0; i < workspaces * tiers; ++i) {
        admission::arrival a;
        a.id = base::request_id{"request-" + std::to_string(i)};
        a.service_class = class_name(i % tiers);
        a.workspace = workspace_name(i / tiers);
        a.prompt_tokens = 1000;
        a.deadline = now + 24h;
        c.handle(a, now);
    }
}

figures measure_admission(int workspaces) {
    const double before = resident_bytes();
    admission::controller c{make_policy(workspaces)};
    const double idle = resident_bytes() - before;
    queue_requests(c, workspaces);
    const double full = resident_bytes() - before;
    const auto queued = static_cast<double>(c.snapshot(base::time_point{1h}).queued);
    return {{"memory without requests", "B", idle},
            {"queued requests", "1", queued},
            {"memory with queued requests", "B", full}};
}

figures measure_burn(int workspaces) {
    constexpr base::time_point now{1000h};
    const double before = resident_bytes();
    burn::recorder r{base::vm_id{"daemon"}};
    for (int i = 0; i < workspaces * tiers; ++i) {
        burn::outcome o;
        o.service = base::service_id{"assistant"};
        o.service_class = class_name(i % tiers);
        o.workspace = workspace_name(i / tiers);
        o.attained = true;
        r.record(o, now);
    }
    const double memory = resident_bytes() - before;
    return {{"memory", "B", memory}};
}

}  // namespace

std::vector<series> memory_series() {
    return {
        {"admission, 5 classes", "workspaces", {200, 500, 1000, 2000}, measure_admission},
        {"burn, 5 classes", "workspaces", {200, 500, 1000, 2000}, measure_burn},
    };
}

}  // namespace chicorygap::control_benchmark
