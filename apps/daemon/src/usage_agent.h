/// @file
/// Usage counters of this daemon.
#pragma once

#include "base/time.h"
#include "gateway/request_record.h"
#include "membership_agent.h"
#include "ports/object_store.h"
#include "settings/daemon_settings.h"
#include "usage/counter_table.h"

#include <cstdint>
#include <mutex>
#include <string>

namespace chicorygap::daemon_app {

/// Counts the usage of ended requests and reports it once a second to the holder of the zone's role.
///
/// All members are safe for use by several threads.
class usage_agent {
public:
    /// The holder is looked up again after this time, or after a failed report.
    static constexpr base::duration holder_cache_lifetime = std::chrono::seconds{10};
    static constexpr std::chrono::milliseconds window_length = std::chrono::minutes{1};

    /// @param store platform's objects; outlives this object.
    usage_agent(const settings::daemon_settings& s, ports::object_store& store, std::uint64_t incarnation,
                base::wall_now_function wall_now);

    void record(const gateway::request_record& r);

    /// Sends the counts that the holder does not have; called once a second.
    /// @throws base::error with `platform_unavailable` if the holder is not known and cannot be looked up.
    void report(peer::node& n);

private:
    [[nodiscard]] usage::window_number current_window() const;
    void look_up_holder();
    void on_reply(std::uint64_t sequence, const peer::outcome<peer::usage_reply>& o);

    const settings::daemon_settings& settings_;
    ports::object_store& store_;
    base::wall_now_function wall_now_;
    std::mutex mutex_;
    usage::counter_table counters_;
    std::string holder_;
    std::uint64_t term_ = 0;
    base::time_point looked_up_at_;
};

}  // namespace chicorygap::daemon_app
