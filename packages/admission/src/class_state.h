/// @file
/// State of one class.
#pragma once

#include "admission/policy.h"
#include "admission/request_cost_estimator.h"
#include "fair_queue.h"

#include <cmath>
#include <optional>
#include <set>
#include <utility>

namespace chicorygap::admission {

/// Slot time started per second, averaged over the last seconds.
class start_rate {
public:
    void add(double seconds, base::time_point now) {
        value_ = at(now) + seconds / window_seconds;
        at_ = now;
    }
    /// @return slots that the class occupies on average.
    [[nodiscard]] double at(base::time_point now) const {
        return value_ * std::exp(-std::chrono::duration<double>{now - at_}.count() / window_seconds);
    }

private:
    static constexpr double window_seconds = 5;

    double value_ = 0;
    base::time_point at_;
};

/// Queue, running requests and figures of one class.
struct class_state {
    class_state(class_policy p, request_table& table)
        : rules{std::move(p)},
          queue{table},
          estimator{rules.expected_output_tokens, rules.expected_service_time} {}

    [[nodiscard]] bool backlogged() const { return queue.best() != no_request; }

    /// Marks that the class has demand without a start.
    void note_unmet(base::time_point now) {
        if (!unmet_since) {
            unmet_since = now;
        }
    }

    class_policy rules;
    fair_queue queue;
    request_cost_estimator estimator;
    start_rate load;
    bool removed = false;
    /// Running requests that may be preempted, most recent last.
    std::set<std::pair<base::time_point, request_index>> preemptible;
    std::size_t running = 0;
    int running_by_floor = 0;
    /// Time since which demand of the class (queued or refused for overload) has had no start.
    std::optional<base::time_point> unmet_since;
    std::uint64_t started = 0;
    std::uint64_t refused = 0;
    std::uint64_t preempted = 0;
};

}  // namespace chicorygap::admission
