#include "load_poller.h"

#include "backend/load_reader.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace chicorygap::daemon_app {

namespace {

constexpr base::duration poll_timeout = std::chrono::milliseconds{300};

struct poll_target {
    std::shared_ptr<gateway::service_runtime> service;
    gateway::server_entry server;
};

std::vector<poll_target> all_poll_targets(const gateway::registry& r) {
    std::vector<poll_target> out;
    for (const auto& s : r.all()) {
        for (auto& e : s->servers()) {
            out.push_back({s, std::move(e)});
        }
    }
    std::ranges::sort(out, {}, [](const poll_target& t) { return t.server.info.id; });
    return out;
}

}  // namespace

void load_poller::poll() {
    const auto targets = all_poll_targets(registry_);
    const auto n = std::min(max_polls_per_call, targets.size());
    for (std::size_t i = 0; i < n; i++) {
        const auto& t = targets[next_target_++ % targets.size()];
        if (const auto report = backend::read_load(t.server.address, poll_timeout)) {
            t.service->handle(routing::event{
                routing::load_reported{t.server.info.id, report->running, report->queued, report->age}});
        }
    }
}

}  // namespace chicorygap::daemon_app
