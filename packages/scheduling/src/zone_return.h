/// @file
/// Gradual return of work to a zone whose evacuation was withdrawn.
#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace chicorygap::scheduling {

/// Decides how much work a server gets whose zone returned lately.
///
/// Concept: the servers of a returned zone are empty, so that each daemon prefers them until it hears of the
/// starts of its peers. Two measures limit that rush, and need no messages: each request uses such servers
/// with a probability that grows with time, unless no other server has room, and the slots that count as
/// usable grow with time.
///
/// Load pattern: a zone of idle servers appears at once under full load.
///
/// Usage: `zone_return{server.returned_at}.usable_slots(slots, now)`. No I/O, no clock.
class zone_return {
public:
    /// Time over which work returns.
    static constexpr base::duration length = std::chrono::seconds{3};

    /// @param returned_at time at which the evacuation was withdrawn; absent for other servers.
    explicit zone_return(std::optional<base::time_point> returned_at) : returned_at_{returned_at} {}

    /// @return share of its usual work that the server gets, from 0 to 1.
    [[nodiscard]] double share(base::time_point now) const;

    /// @param slots requests that the server runs concurrently.
    /// @return how many of them may be used; at least one, so that work is not refused while the server is
    /// idle.
    [[nodiscard]] std::uint32_t usable_slots(std::uint32_t slots, base::time_point now) const;

private:
    std::optional<base::time_point> returned_at_;
};

}  // namespace chicorygap::scheduling
