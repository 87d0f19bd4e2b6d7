/// @file
/// Roles that this daemon may hold by lease.
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

/// Runs the zone's role and the at-most-once shards on one thread, and answers the claims of all daemons.
///
/// Each role has two candidates, the first two live members by rendezvous hash, so that the reads of lease
/// objects do not grow with the fleet: 51 roles with two candidates are about 100 reads/s.
class roles_agent {
public:
    using claim_callback = std::function<void(peer::claim_reply)>;

    /// @param p platform; outlives this object.
    /// @param incarnation start time of the daemon in microseconds.
    roles_agent(const settings::daemon_settings& s, ports::http_platform& p, base::random_function random,
                std::uint64_t incarnation);

    void start();
    /// Hands all roles over and ends the thread.
    void stop();

    /// Chooses the roles that this daemon competes for.
    /// @param members live daemons, including this one.
    void update_candidates(const std::vector<membership::member>& members);

    /// Answers a claim later, from the roles' thread.
    void claim(const peer::claim_request& r, claim_callback reply);
    void record_outcome(const peer::outcome_report& r);
    /// Answers a usage report once the windows have taken it.
    void report_usage(const usage::usage_report& r, std::function<void(peer::usage_reply)> reply);

    /// Roles held, by name with their terms.
    [[nodiscard]] std::map<std::string, std::uint64_t> held_roles() const;

private:
    void on_claim_decided(const idempotency::decision& d);
    void on_report_accepted(const usage::report_taken& r);
    void update_held_roles();

    const settings::daemon_settings& settings_;
    control::controller controller_;
    control::zone_role* zone_role_ = nullptr;
    std::array<control::shard_role*, idempotency::shard_count> shard_roles_{};

    // Used on the roles' thread only.
    std::uint64_t next_claim_number_ = 1;
    std::map<std::uint64_t, claim_callback> pending_claims_;
    std::map<std::pair<usage::source, std::uint64_t>, std::function<void(peer::usage_reply)>>
        pending_reports_;

    mutable std::mutex held_roles_mutex_;
    std::map<std::string, std::uint64_t> held_roles_;
};

}  // namespace chicorygap::daemon_app
