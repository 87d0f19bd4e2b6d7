/// @file
/// What is known of the load of a server on a shared machine.
#pragma once

#include "base/time.h"
#include "scheduling/server_report.h"
#include "server_pace.h"

#include <cstdint>

namespace chicorygap::scheduling {

/// Load of one server from its own reports and refusals, in addition to the starts that daemons tell.
///
/// Load pattern: daemons start requests faster than they hear of each other, so that the known starts are too
/// few on some servers and outdated on others. A report corrects their sum for some hundred milliseconds. It
/// is followed in full where it says that more requests are there, and by half where it says that fewer are,
/// so that a server which always reports to be empty is not flooded.
class shared_load {
public:
    /// Records a report.
    /// @param local_running requests of this daemon on the server.
    /// @param lifetime time until the report counts nothing; it counts less and less until then.
    void report(const server_report& r, std::uint32_t local_running, base::duration lifetime,
                base::time_point now);

    /// Records that the server refused a request because it was full.
    /// @param duration time until a place is expected to be free.
    void refused(base::duration duration, base::time_point now) { full_until_ = now + duration; }

    /// @return true if the server has refused a request and no place is expected to be free yet.
    [[nodiscard]] bool full(base::time_point now) const { return now < full_until_; }

    /// @return true while peers should be told that the server is full: somewhat longer, so that a beacon of
    /// this daemon is due meanwhile.
    [[nodiscard]] bool told_full(base::time_point now) const;

    /// @return true if the server has just reported room for a request.
    [[nodiscard]] bool reported_room(base::time_point now) const;

    /// @param known requests on the server that this daemon and its peers tell.
    /// @param local_running those of this daemon.
    /// @return requests that are expected to run or wait on the server.
    [[nodiscard]] std::uint32_t requests(std::uint32_t known, std::uint32_t local_running,
                                         base::time_point now) const;

    server_pace pace;

private:
    server_report report_;
    std::uint32_t local_running_at_report_ = 0;
    base::time_point reported_at_;
    base::duration lifetime_{};
    base::time_point full_until_;
};

}  // namespace chicorygap::scheduling
