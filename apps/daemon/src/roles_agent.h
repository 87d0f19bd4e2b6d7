/// @file
/// Lease-based roles of this daemon.
#pragma once

#include "base/random.h"
#include "control/controller.h"
#include "control/shard_role.h"
#include "control/zone_role.h"
#include "membership/message.h"
#include "peer/types.h"
#include "ports/http_platform.h"
#include "settings/daemon_settings.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace chicorygap::daemon_app {

/// Runs the control role of the zone and the idempotency shards on one thread, and replies to the claims of
/// all daemons.
///
/// Each role has two candidates, the first two live members by rendezvous hashing, so that the rate of lease
/// reads does not depend on the fleet size: 51 roles with two candidates each cause about 100 reads/s.
class roles_agent {
public:
    using claim_callback = std::function<void(peer::claim_reply)>;

    /// @param s settings; must outlive this object.
    /// @param p platform; must outlive this object.
    /// @param incarnation start time of the daemon in microseconds.
    roles_agent(const settings::daemon_settings& s, ports::http_platform& p, base::random_function random,
                std::uint64_t incarnation);

    void start();
    /// Releases all leases and ends the thread.
    void stop();

    /// Selects the roles for which this daemon is a candidate.
    /// @param members live daemons, including this one.
    void update_candidates(const std::vector<membership::member>& members);

    /// Decides a claim on the thread of the roles.
    /// @param reply called on that thread with the decision.
    /// @throws base::error with `body_malformed` if a digest is invalid.
    void claim(const peer::claim_request& r, claim_callback reply);
    /// Stores the outcome of a request that was granted a permit.
    /// @throws base::error with `body_malformed` if the digest is invalid.
    void record_outcome(const peer::outcome_report& r);
    /// Adds a usage report to the usage windows of the zone.
    /// @param reply called on the thread of the roles; `accepted` is false if this daemon does not hold the
    /// role or has not loaded the windows yet.
    void report_usage(const usage::usage_report& r, std::function<void(peer::usage_reply)> reply);

    /// @return lease terms of the held roles, by role name.
    [[nodiscard]] std::map<std::string, std::uint64_t> held_roles() const;

private:
    void on_claim_decided(const idempotency::decision& d);
    void on_report_accepted(const usage::report_taken& r);
    void update_held_roles();

    const settings::daemon_settings& settings_;
    control::controller controller_;
    control::zone_role* zone_role_ = nullptr;
    std::array<control::shard_role*, idempotency::shard_count> shard_roles_{};

    // Used on the thread of the roles only.
    std::uint64_t next_claim_number_ = 1;
    std::map<std::uint64_t, claim_callback> pending_claims_;
    std::map<std::pair<usage::source, std::uint64_t>, std::function<void(peer::usage_reply)>>
        pending_reports_;

    mutable std::mutex held_roles_mutex_;
    std::map<std::string, std::uint64_t> held_roles_;
};

}  // namespace chicorygap::daemon_app
