#include "scheduling/load.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace chicorygap::scheduling {

namespace {

/// Time in which a queue of prompts is read: what a report of this age said of it counts a third.
constexpr std::chrono::duration<double, std::milli> queue_memory{200};

}  // namespace

double load_report::prompt_tokens_per_s() const {
    return std::accumulate(servers.begin(), servers.end(), 0.0,
                           [](double sum, const auto& s) { return sum + s.prompt_tokens_per_s; });
}

double queue_freshness(base::duration age) {
    return std::exp(-std::max(base::duration{}, age) / queue_memory);
}

void add_load(load_report& sum, const load_report& r, base::duration age) {
    sum.waiting += r.waiting;
    sum.streams += r.streams;
    sum.late_pauses = sum.late_pauses || r.late_pauses;
    const double fresh = queue_freshness(age);
    for (const auto& l : r.servers) {
        auto it = std::lower_bound(sum.servers.begin(), sum.servers.end(), l.server,
                                   [](const auto& s, const auto& id) { return s.server < id; });
        if (it == sum.servers.end() || it->server != l.server) {
            it = sum.servers.insert(it, server_load{.server = l.server});
        }
        it->running += l.running;
        it->memory_tokens += l.memory_tokens;
        it->unread_tokens += static_cast<std::int64_t>(fresh * static_cast<double>(l.unread_tokens));
        it->prompt_tokens_per_s += l.prompt_tokens_per_s;
        it->queued = it->queued || l.queued;
    }
}

}  // namespace chicorygap::scheduling
