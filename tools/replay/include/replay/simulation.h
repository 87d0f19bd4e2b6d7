/// @file
/// Replay of one trace with one policy.
#pragma once

#include "replay/engine.h"
#include "replay/metrics.h"
#include "replay/trace.h"

#include <array>
#include <memory>
#include <string_view>

namespace chicorygap::replay {

enum class policy_kind { chicorygap, first_come_random, strict_priority_least_connections };

inline constexpr std::array all_policies{policy_kind::chicorygap, policy_kind::first_come_random,
                                         policy_kind::strict_priority_least_connections};

std::string_view to_string(policy_kind k) noexcept;

/// Runs several daemons, each with its own view of servers and peers, against engine models.
///
/// Usage: `simulation s{t, policy_kind::chicorygap}; auto m = s.run();`
/// The same trace gives the same figures on every run.
class simulation {
public:
    simulation(const trace& t, policy_kind k);
    ~simulation();
    simulation(const simulation&) = delete;
    simulation& operator=(const simulation&) = delete;
    simulation(simulation&&) = delete;
    simulation& operator=(simulation&&) = delete;

    /// Runs until the trace's duration has passed and every request has ended.
    std::vector<class_metrics> run();

private:
    class world;
    std::unique_ptr<world> world_;
};

}  // namespace chicorygap::replay
