#include "scheduling/load.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace chicorygap::scheduling {

namespace {

/// Age of a report at which its prefill queues count 1/e, as most of their prompts have been processed.
constexpr std::chrono::duration<double, std::milli> queue_time_constant{200};

}  // namespace

double load_report::prefill_tokens_per_s() const {
    return std::accumulate(servers.begin(), servers.end(), 0.0,
                           [](double sum, const auto& s) { return sum + s.prefill_tokens_per_s; });
}

double remaining_queue_fraction(base::duration age) {
    return std::exp(-std::max(base::duration{}, age) / queue_time_constant);
}

void add_load(load_report& sum, const load_report& r, base::duration age) {
    sum.waiting += r.waiting;
    sum.short_prompt_streams += r.short_prompt_streams;
    sum.token_gaps_exceeded = sum.token_gaps_exceeded || r.token_gaps_exceeded;
    const double remaining = remaining_queue_fraction(age);
    for (const auto& l : r.servers) {
        auto it = std::lower_bound(sum.servers.begin(), sum.servers.end(), l.server,
                                   [](const auto& s, const auto& id) { return s.server < id; });
        if (it == sum.servers.end() || it->server != l.server) {
            it = sum.servers.insert(it, server_load{.server = l.server});
        }
        it->running += l.running;
        it->kv_cache_tokens += l.kv_cache_tokens;
        it->pending_prefill_tokens +=
            static_cast<std::int64_t>(remaining * static_cast<double>(l.pending_prefill_tokens));
        it->prefill_tokens_per_s += l.prefill_tokens_per_s;
        it->queue_reported = it->queue_reported || l.queue_reported;
    }
}

}  // namespace chicorygap::scheduling
