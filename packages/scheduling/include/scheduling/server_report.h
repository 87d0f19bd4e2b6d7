/// @file
/// What a server reports of its own load.
#pragma once

#include <cstdint>
#include <optional>

namespace chicorygap::scheduling {

/// Figures with which a server describes its load in a response. A hint: they may be old or wrong.
struct server_report {
    std::uint32_t running = 0;
    /// Requests that wait in the server's own queue.
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Time that work takes now, relative to the usual time on that machine; 1 is as usual. Absent in the
    /// reports of older servers.
    std::optional<double> pace;

    bool operator==(const server_report&) const = default;
};

/// @return false if the figures contradict each other or lie outside what a server can have. Such a report
/// is not used at all, because the other figures are as doubtful.
bool is_plausible(const server_report& r) noexcept;

}  // namespace chicorygap::scheduling
