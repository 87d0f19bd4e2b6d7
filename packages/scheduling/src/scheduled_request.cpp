#include "scheduling/scheduled_request.h"

#include <algorithm>
#include <chrono>

namespace chicorygap::scheduling {

namespace {

/// Time without an event after which callers give a stream up, as they state it.
constexpr base::duration min_time_without_event = std::chrono::seconds{2};
constexpr int target_latencies_without_event = 4;
constexpr int token_gaps_without_event = 8;

}  // namespace

base::time_point scheduled_request::first_event_deadline() const {
    if (!generation || !generation->max_token_gap) {
        return deadline;
    }
    const auto longest =
        std::max({min_time_without_event, (target_at - arrived) * target_latencies_without_event,
                  *generation->max_token_gap * token_gaps_without_event});
    return std::min(deadline, arrived + longest);
}

}  // namespace chicorygap::scheduling
