#include "pause_watch.h"

#include <algorithm>

namespace chicorygap::scheduling {

namespace {

using namespace std::chrono_literals;

/// So many late streams within the time are a pattern and no accident.
constexpr std::size_t pattern = 3;
constexpr base::duration memory = 5s;
/// Prompts stay apart for this long after the last pattern: while they are apart there are few pauses.
constexpr base::duration apart_time = 30s;

}  // namespace

void pause_watch::note_target(base::duration pause) {
    shortest_ = std::min(shortest_.value_or(pause), pause);
}

std::optional<base::duration> pause_watch::pause_to_keep(base::time_point now) {
    while (!late_.empty() && now - late_.front() > memory) {
        late_.pop_front();
    }
    if (late_.size() >= pattern) {
        apart_until_ = now + apart_time;
    }
    return apart_until_ && now < *apart_until_ ? shortest_ : std::nullopt;
}

}  // namespace chicorygap::scheduling
