/// @file
/// State of one request class.
#pragma once

#include "admission/policy.h"
#include "admission/request_cost_estimator.h"
#include "fair_queue.h"

#include <cmath>
#include <optional>
#include <set>
#include <utility>

namespace chicorygap::admission {

/// Exponentially decaying average of the slots that a class occupies: the estimated slot time of the started
/// requests per second.
class load_average {
public:
    /// @param slot_seconds estimated slot time of a request that starts now.
    void add(double slot_seconds, base::time_point now) {
        average_slots_ = slots_at(now) + slot_seconds / time_constant_seconds;
        updated_at_ = now;
    }
    /// @return average number of occupied slots.
    [[nodiscard]] double slots_at(base::time_point now) const {
        return average_slots_ *
               std::exp(-std::chrono::duration<double>{now - updated_at_}.count() / time_constant_seconds);
    }

private:
    static constexpr double time_constant_seconds = 5;

    double average_slots_ = 0;
    base::time_point updated_at_;
};

/// Queue, running requests and counters of one class.
struct class_state {
    class_state(class_policy p, request_table& table)
        : policy{std::move(p)},
          queue{table},
          estimator{policy.expected_output_tokens, policy.expected_service_time} {}

    [[nodiscard]] bool backlogged() const { return queue.next_request() != no_request; }

    /// Records that the class has demand that was not served.
    void mark_unserved(base::time_point now) {
        if (!unserved_since) {
            unserved_since = now;
        }
    }

    class_policy policy;
    fair_queue queue;
    request_cost_estimator estimator;
    load_average load;
    bool removed = false;
    /// Running requests that may be preempted, ordered by start time.
    std::set<std::pair<base::time_point, request_index>> preemptible;
    std::size_t running = 0;
    int running_by_floor = 0;
    /// Time since which the class has had demand (queued or rejected due to overload) without a start.
    std::optional<base::time_point> unserved_since;
    std::uint64_t started = 0;
    std::uint64_t rejected = 0;
    std::uint64_t preempted = 0;
};

}  // namespace chicorygap::admission
