/// @file
/// Implementation of the admission controller.
#pragma once

#include "admission/controller.h"
#include "admission/request_cost_estimator.h"
#include "class_state.h"
#include "pressure_tracker.h"
#include "request_table.h"
#include "slot_ramp.h"
#include "workspace_state.h"

#include <unordered_map>
#include <vector>

namespace chicorygap::admission {

/// Multiple of the predicted wait that must remain until the deadline; with less, a request preempts another
/// one. The wait for a slot is roughly exponentially distributed: one in twenty waits exceeds three times the
/// mean.
inline constexpr int preemption_wait_factor = 3;

/// Queues, running requests, limits and pressure level of a controller.
///
/// The sources are split by concern: policy changes, arrivals, scheduling and wait prediction.
class controller::state {
public:
    explicit state(policy p);

    std::vector<action> handle(const event& e, base::time_point now);
    [[nodiscard]] status snapshot(base::time_point now) const;

private:
    void on(const arrival& e);
    void on(const progress& e);
    void on(const finished& e);
    void on(const placement_failed& e);
    void on(const cancelled& e);
    void on(const capacity_changed& e);
    void on(const pressure_changed& e);
    void on(const limit_share_changed& e);
    void on(const policy_changed& e);
    void on(const tick& e);

    // controller_state_policy.cpp
    void apply_policy(policy p);
    void apply_classes();
    void apply_workspaces();
    void reject_queue_of_removed_class(class_state& c);
    /// @return index of the workspace, which is added if it is unknown.
    std::uint32_t workspace_index(const base::workspace_id& id);

    // controller_state_arrival.cpp
    /// Charges the request limit, or rejects the arrival if a limit of its workspace is exhausted.
    /// @return true if the arrival is within the limits.
    bool check_workspace_limits(const arrival& e, workspace_state& w);
    /// Rejects the arrival if the pressure level excludes the tier of its class.
    /// @return true if the tier is admitted.
    bool check_tier_open(class_state& c, const arrival& e);
    request_index enqueue(const arrival& e, std::uint32_t class_index, std::uint32_t workspace);
    /// Preempts another request or rejects this one if its predicted wait does not meet its deadline.
    void enforce_deadline(request_index i);
    void reject_unreachable_deadline(request_index i, base::duration wait);
    [[nodiscard]] bool is_near_head(request_index i) const;
    /// Rejects queued requests of the lowest tier until the queue limit is met.
    /// @param cause tier of the arrival that exceeded the limit.
    void shed_over_queue_limit(base::tier cause);
    /// Removes a queued request and rejects it.
    void reject_queued(request_index i, base::result_code code, base::duration retry_after);
    void reject_arrival(const arrival& e, base::result_code code, base::duration retry_after);
    /// Returns the charged but unused tokens to the token limit of the workspace.
    void refund_unused_tokens(const request& r);

    // controller_state_schedule.cpp
    void reject_expired();
    void start_queued();
    /// @param leave_reserve whether lower tiers leave slots free for the load of higher ones.
    /// @return the class to serve by strict priority, or null.
    class_state* next_class_by_priority(bool leave_reserve);
    /// @return the class that has exceeded its `floor_wait` by most, or null.
    class_state* next_class_by_floor();
    /// Preempts a request in favour of `r` and starts the next request by priority.
    /// @return false if no request was preempted.
    bool preempt_and_start(const request& r);
    /// @return true if a floor start of `c` would make a queued higher-tier request miss its deadline.
    [[nodiscard]] bool higher_tier_would_miss_deadline(const class_state& c) const;
    void start_request(class_state& c);
    /// Preempts a running request if the next request of a class is close to its deadline.
    void preempt_for_urgent_deadline();
    bool preempt_victim_for(const class_state& c, const request& r);
    /// @param above tier of the preempting request.
    /// @param gained_work work of the preempting request, in output tokens.
    /// @return the request to preempt, or `no_request`: among the most recent runs of the lowest tier that
    /// has a candidate, the one that loses least work, provided that the loss is less than `gained_work`.
    request_index find_preemption_victim(base::tier above, double gained_work);
    /// Returns an interrupted request to the head of its queue with the estimate of the remaining work.
    void requeue(request_index i);
    void release_slot(request_index i);
    /// Blocks the workspace in all queues while it is at its concurrency limit.
    void update_blocked_flows(std::uint32_t workspace);

    // controller_state_predict.cpp
    /// @param own_queue_slot_seconds slot time of the class that is served before the request.
    [[nodiscard]] double predicted_wait_seconds(const class_state& c, double own_queue_slot_seconds) const;
    [[nodiscard]] base::duration predicted_wait(request_index i) const;
    /// @return expected time until the next running request releases its slot.
    [[nodiscard]] double expected_release_seconds() const;
    /// @return time in which the floor alone would serve all queued requests of the class.
    [[nodiscard]] double floor_wait_bound_seconds(const class_state& c) const;
    /// @return true if the class has exceeded its `floor_wait` and has a floor slot left.
    [[nodiscard]] bool floor_due(const class_state& c) const;
    /// @return number of slots that floor starts of the class may occupy at once.
    [[nodiscard]] int floor_slots(const class_state& c) const;
    /// @param load_above average number of slots that higher tiers occupy.
    /// @return number of slots to leave free for higher tiers.
    [[nodiscard]] int reserved_slots(double load_above) const;

    class_state& class_of(request_index i) { return classes_[requests_[i].service_class]; }
    [[nodiscard]] int usable_slots() const { return ramp_.usable(); }

    policy policy_;
    request_table requests_;
    std::vector<class_state> classes_;
    std::vector<std::uint32_t> classes_by_tier_;  // indices of `classes_`, highest tier first
    std::unordered_map<base::class_id, std::uint32_t> class_index_;
    std::vector<workspace_state> workspaces_;
    std::unordered_map<base::workspace_id, std::uint32_t> workspace_index_;
    pressure_tracker pressure_;
    slot_ramp ramp_;
    std::size_t queued_ = 0;
    int running_ = 0;
    double running_slot_seconds_ = 0;
    base::time_point now_;
    std::vector<action> actions_;
};

}  // namespace chicorygap::admission
