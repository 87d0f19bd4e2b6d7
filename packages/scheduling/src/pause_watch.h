/// @file
/// Whether streams are late for pauses.
#pragma once

#include "base/time.h"

#include <deque>
#include <optional>

namespace chicorygap::scheduling {

/// Whether long prompts have to keep to a part of the servers.
///
/// Answers the pattern of long prompts that are read between the events of streams with short pauses. Servers
/// that read in small steps interrupt nobody, and fewer servers for a prompt cost time to its first token; so
/// prompts are kept apart only where streams are really late for pauses.
class pause_watch {
public:
    /// A route to the service names a longest pause between events.
    void note_target(base::duration pause);

    /// A stream with a longest pause has begun.
    void note_stream(base::time_point now);

    /// A stream had a pause that was too long; once for each stream.
    void note_late(base::time_point now);

    /// @return true if several streams were late lately, or were a short while ago.
    [[nodiscard]] bool late(base::time_point now) const;

    /// @param peers_late a peer says that it saw late streams: all daemons keep prompts apart together, since
    /// each of them decides alone where a prompt's home is.
    /// @return the shortest of the longest pauses, if prompts are to be kept apart now.
    [[nodiscard]] std::optional<base::duration> pause_to_keep(bool peers_late, base::time_point now) const;

private:
    void forget_old(base::time_point now);

    std::optional<base::duration> shortest_;
    std::deque<base::time_point> streams_;
    std::deque<base::time_point> late_;
    std::optional<base::time_point> apart_until_;
};

}  // namespace chicorygap::scheduling
