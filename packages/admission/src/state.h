/// @file
/// Implementation of the controller.
#pragma once

#include "admission/controller.h"
#include "admission/request_cost_estimator.h"
#include "class_state.h"
#include "pressure.h"
#include "request_table.h"
#include "slot_ramp.h"
#include "workspace_state.h"

#include <unordered_map>
#include <vector>

namespace chicorygap::admission {

/// The wait for a slot is about exponential: one wait in twenty is longer than three times its mean.
inline constexpr int preemption_margin = 3;

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

    // state_policy.cpp
    void apply(policy p);
    void apply_classes();
    void apply_workspaces();
    void close_class(class_state& c);
    std::uint32_t workspace_index(const base::workspace_id& id);

    // state_arrival.cpp
    bool within_limits(const arrival& e, workspace_state& w);
    bool tier_open(class_state& c, const arrival& e);
    request_index enqueue(const arrival& e, std::uint32_t class_index, std::uint32_t workspace);
    void ensure_timely(request_index i);
    void refuse_late(request_index i, base::duration wait);
    [[nodiscard]] bool near_head(request_index i) const;
    void shed_excess(base::tier cause);
    void drop(request_index i, base::result_code code, base::duration retry_after);
    void reject(const arrival& e, base::result_code code, base::duration retry_after);
    void refund(const request& r);

    // state_schedule.cpp
    void remove_expired();
    void start_waiting();
    class_state* strict_class(bool keep_reserve);
    class_state* overdue_class();
    bool preempt_and_start(const request& r);
    [[nodiscard]] bool harms_higher_tier(const class_state& c) const;
    void start_request(class_state& c);
    void rescue_urgent();
    bool preempt_for(const class_state& c, const request& r);
    request_index preemption_victim(base::tier above, double gain);
    void requeue(request_index i);
    void release_slot(request_index i);
    void block_at_limit(std::uint32_t workspace);

    // state_predict.cpp
    [[nodiscard]] double predicted_wait(const class_state& c, double own_queue_seconds) const;
    [[nodiscard]] base::duration predicted_wait_of(request_index i) const;
    [[nodiscard]] double next_release_seconds() const;
    [[nodiscard]] double floor_wait_seconds(const class_state& c) const;
    [[nodiscard]] bool floor_due(const class_state& c) const;
    [[nodiscard]] int floor_slots(const class_state& c) const;
    [[nodiscard]] int reserved_slots(double load_above) const;

    class_state& class_of(request_index i) { return classes_[requests_[i].service_class]; }
    [[nodiscard]] int usable_slots() const { return ramp_.usable(); }

    policy policy_;
    request_table requests_;
    std::vector<class_state> classes_;
    std::vector<std::uint32_t> order_;  // indices of `classes_`, highest tier first
    std::unordered_map<base::class_id, std::uint32_t> class_index_;
    std::vector<workspace_state> workspaces_;
    std::unordered_map<base::workspace_id, std::uint32_t> workspace_index_;
    pressure pressure_;
    slot_ramp ramp_;
    std::size_t queued_ = 0;
    int running_ = 0;
    double running_seconds_ = 0;
    base::time_point now_;
    std::vector<action> actions_;
};

}  // namespace chicorygap::admission
