/// @file
/// Simple policies that the product is compared with.
#pragma once

#include "base/random.h"
#include "dispatch/action.h"
#include "dispatch/event.h"
#include "replay/trace.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicorygap::replay {

/// Daemon logic as the simulation sees it: the events and actions of `dispatch::dispatcher`.
class daemon_policy {
public:
    virtual ~daemon_policy() = default;
    virtual std::vector<dispatch::action> handle(const dispatch::event& e, base::time_point now) = 0;
};

enum class baseline_kind {
    first_come_random,                  // one queue, random server
    strict_priority_least_connections,  // one queue per tier, server with fewest own connections per slot
};

/// Baseline policy. It starts as many requests as its share of the known slots, retries failed attempts of
/// idempotent requests on another server up to three times and continues their streams, and refuses only
/// when 10,000 requests are queued.
class baseline : public daemon_policy {
public:
    baseline(baseline_kind kind, std::map<std::string, int> tier_of_class, base::random_function random);

    std::vector<dispatch::action> handle(const dispatch::event& e, base::time_point now) override;

private:
    struct job {
        dispatch::submit_request terms;
        std::uint32_t attempt = 0;
        bool in_flight = false;
        std::uint64_t tokens = 0;
        base::backend_server_id server;
        base::run_state state = base::run_state::not_run;
    };

    void on(const dispatch::submit_request& e);
    void on(const dispatch::attempt_progress& e);
    void on(const dispatch::attempt_result& e);
    void on(const dispatch::cancel_request& e);
    void on(const routing::event& e);
    template <typename Other>
    void on(const Other& /*e*/) {}

    void start_queued();
    /// @return false when no server can take the job now.
    bool start(job& j);
    const routing::server_info* select(const job& j);
    [[nodiscard]] int limit() const;
    [[nodiscard]] int level_of(const job& j) const;

    baseline_kind kind_;
    std::map<std::string, int> tier_of_class_;
    base::random_function random_;
    std::unordered_map<base::request_id, job> jobs_;
    std::map<int, std::deque<base::request_id>>
        queues_;  // by tier; a single one for first come, first served
    std::size_t queued_ = 0;
    std::vector<routing::server_info> servers_;
    std::unordered_map<base::backend_server_id, int> connections_;
    int in_flight_ = 0;
    int peers_ = 1;
    std::vector<dispatch::action> actions_;
};

}  // namespace chicorygap::replay
