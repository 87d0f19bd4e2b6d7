/// @file
/// Detection of streams that exceed their token gap limit.
#pragma once

#include "base/time.h"

#include <deque>
#include <optional>

namespace chicorygap::scheduling {

/// Decides whether long prompts are restricted to a group of the servers.
///
/// The prefill of a long prompt delays the next tokens of the streams on the same server. Servers with
/// chunked prefill in small steps do not interrupt streams, and restricting long prompts to fewer servers
/// increases their time to first token. Long prompts are therefore separated only while streams exceed their
/// limits.
class token_gap_monitor {
public:
    /// Adds the token gap limit of a route to the service.
    void add_gap_limit(base::duration limit);

    /// Records the start of a stream that has a token gap limit.
    void record_stream_start(base::time_point now);

    /// Records that a stream exceeded its token gap limit; called once per stream.
    void record_gap_exceeded(base::time_point now);

    /// @return true if several streams exceeded their limit recently or within the separation time before.
    [[nodiscard]] bool limits_exceeded(base::time_point now) const;

    /// @param peers_exceeded a peer reports streams over their limit. All daemons separate long prompts at
    /// the same time, since each of them computes the affinity servers of a prompt on its own.
    /// @return the shortest token gap limit if long prompts are to be separated now.
    [[nodiscard]] std::optional<base::duration> enforced_gap_limit(bool peers_exceeded,
                                                                   base::time_point now) const;

private:
    void remove_expired(base::time_point now);

    std::optional<base::duration> shortest_limit_;
    std::deque<base::time_point> stream_starts_;
    std::deque<base::time_point> exceeded_;
    std::optional<base::time_point> separate_until_;
};

}  // namespace chicorygap::scheduling
