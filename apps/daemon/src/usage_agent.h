/// @file
/// Usage metering of this daemon.
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

/// Counts the usage of completed requests and reports it once a second to the daemon that holds the role
/// `zone-control` of the zone.
///
/// All members are safe for use by several threads.
class usage_agent {
public:
    /// Time after which the role holder is looked up again. A failed report also causes a new lookup.
    static constexpr base::duration holder_cache_lifetime = std::chrono::seconds{10};
    static constexpr std::chrono::milliseconds window_length = std::chrono::minutes{1};

    /// @param s settings; must outlive this object.
    /// @param store object store of the platform; must outlive this object.
    /// @param incarnation start time of the daemon in microseconds.
    /// @param wall_now clock that assigns requests to usage windows.
    usage_agent(const settings::daemon_settings& s, ports::object_store& store, std::uint64_t incarnation,
                base::wall_now_function wall_now);

    /// Counts the usage of a completed request.
    void record(const gateway::request_record& r);

    /// Sends the counts that the role holder has not acknowledged; called once a second.
    /// @throws base::error with `platform_unavailable` if the role holder must be looked up and the platform
    /// cannot be reached.
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
