#include "signal_wait.h"

#include "backpressure/signal_table.h"

#include <algorithm>

namespace chicorygap::scheduling {

namespace {

using namespace std::chrono_literals;

/// Waiting time where no server takes requests of this daemon; another daemon may have a share of a limit.
constexpr base::duration wait_without_share = 3s;

}  // namespace

std::optional<base::duration> wait_for_signals(const std::vector<server_state*>& servers,
                                               const backpressure::signal_table& signals, std::size_t ahead,
                                               base::time_point now) {
    bool any_usable = false;
    std::optional<base::duration> end_of_pause;  // of servers without a limit from then on
    std::optional<base::duration> first_start;   // on servers with a limit
    double starts_per_s = 0;
    for (const auto* s : servers) {
        if (!s->takes_requests() || s->health.ejected(now)) {
            continue;
        }
        any_usable = true;
        const auto f = signals.forecast(s->signal_key, now);
        if (!f) {
            continue;
        }
        auto& earliest = f->rate ? first_start : end_of_pause;
        earliest = std::min(earliest.value_or(f->first), f->first);
        starts_per_s += f->rate.value_or(0);
        if (f->rate && f->limit_ends) {
            end_of_pause = std::min(end_of_pause.value_or(*f->limit_ends), *f->limit_ends);
        }
    }
    if (!any_usable || (end_of_pause && *end_of_pause <= 0ms)) {
        return std::nullopt;
    }
    if (!end_of_pause && !first_start) {
        return wait_without_share;
    }
    auto wait = std::min<base::duration>(end_of_pause.value_or(longest_signal_wait), longest_signal_wait);
    if (first_start) {
        const std::chrono::duration<double> for_others{static_cast<double>(ahead) / starts_per_s};
        if (for_others < longest_signal_wait) {
            const auto start = *first_start + std::chrono::duration_cast<base::duration>(for_others);
            wait = std::min<base::duration>(wait, start);
        }
    }
    return wait;
}

}  // namespace chicorygap::scheduling
