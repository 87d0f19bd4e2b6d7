#include "pause_watch.h"

#include <algorithm>

namespace chicorygap::scheduling {

namespace {

using namespace std::chrono_literals;

/// So many late streams within the time, and such a part of all, are a pattern and no accident. In a large
/// fleet each daemon sees few streams, and what one of them sees counts for all.
constexpr std::size_t least_late = 2;
constexpr double late_part = 0.05;
constexpr base::duration memory = 5s;
/// Prompts stay apart for this long after the last pattern: while they are apart there are few pauses.
constexpr base::duration apart_time = 30s;

}  // namespace

void pause_watch::note_target(base::duration pause) {
    shortest_ = std::min(shortest_.value_or(pause), pause);
}

void pause_watch::note_stream(base::time_point now) {
    streams_.push_back(now);
    forget_old(now);
}

void pause_watch::note_late(base::time_point now) {
    late_.push_back(now);
    forget_old(now);
    const auto late = static_cast<double>(late_.size());
    if (late_.size() >= least_late && late >= late_part * static_cast<double>(streams_.size())) {
        apart_until_ = now + apart_time;
    }
}

void pause_watch::forget_old(base::time_point now) {
    for (auto* times : {&streams_, &late_}) {
        while (!times->empty() && now - times->front() > memory) {
            times->pop_front();
        }
    }
}

bool pause_watch::late(base::time_point now) const {
    return apart_until_ && now < *apart_until_;
}

std::optional<base::duration> pause_watch::pause_to_keep(bool peers_late, base::time_point now) const {
    return peers_late || late(now) ? shortest_ : std::nullopt;
}

}  // namespace chicorygap::scheduling
