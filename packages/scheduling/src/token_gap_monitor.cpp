#include "token_gap_monitor.h"

#include <algorithm>

namespace chicorygap::scheduling {

namespace {

using namespace std::chrono_literals;

/// Number of streams over their limit within the window, and their fraction of all streams, from which on
/// long prompts are separated. The number is low because in a large fleet each daemon handles few streams,
/// and the observation of one daemon applies to all.
constexpr std::size_t min_exceeded_streams = 2;
constexpr double min_exceeded_fraction = 0.05;
constexpr base::duration observation_window = 5s;
/// Time for which long prompts stay separated: while they are, few streams exceed their limit.
constexpr base::duration separation_time = 30s;

}  // namespace

void token_gap_monitor::add_gap_limit(base::duration limit) {
    shortest_limit_ = std::min(shortest_limit_.value_or(limit), limit);
}

void token_gap_monitor::record_stream_start(base::time_point now) {
    stream_starts_.push_back(now);
    remove_expired(now);
}

void token_gap_monitor::record_gap_exceeded(base::time_point now) {
    exceeded_.push_back(now);
    remove_expired(now);
    const auto exceeded = static_cast<double>(exceeded_.size());
    if (exceeded_.size() >= min_exceeded_streams &&
        exceeded >= min_exceeded_fraction * static_cast<double>(stream_starts_.size())) {
        separate_until_ = now + separation_time;
    }
}

void token_gap_monitor::remove_expired(base::time_point now) {
    for (auto* times : {&stream_starts_, &exceeded_}) {
        while (!times->empty() && now - times->front() > observation_window) {
            times->pop_front();
        }
    }
}

bool token_gap_monitor::limits_exceeded(base::time_point now) const {
    return separate_until_ && now < *separate_until_;
}

std::optional<base::duration> token_gap_monitor::enforced_gap_limit(bool peers_exceeded,
                                                                    base::time_point now) const {
    return peers_exceeded || limits_exceeded(now) ? shortest_limit_ : std::nullopt;
}

}  // namespace chicorygap::scheduling
