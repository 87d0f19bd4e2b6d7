/// @file
/// What the daemon does with its callers' connections when memory is scarce.
#pragma once

#include "base/time.h"

#include <cstddef>
#include <memory>
#include <unordered_set>

namespace chicorygap::http {
class server_session;
}

namespace chicorygap::memory {
class account;
}

namespace chicorygap::daemon_app {

/// Closes connections of callers when memory is scarce, and counts and logs what was refused because of
/// heads.
///
/// Usage: `relieve(sessions)` after each change of the memory level and regularly; `log_if_due(now)`
/// regularly.
class memory_relief {
public:
    using session_set = std::unordered_set<std::shared_ptr<http::server_session>>;

    struct counts {
        std::size_t heads_refused = 0;       ///< for which there was no memory
        std::size_t heads_too_long = 0;      ///< longer than `max_header_bytes`
        std::size_t connections_closed = 0;  ///< idle, or with an unfinished head, to give memory back

        bool operator==(const counts&) const = default;
    };

    /// @param a account of the connections; outlives this object.
    explicit memory_relief(const memory::account& a) : account_{a} {}

    /// Closes what `http::connections_to_close` names.
    void relieve(const session_set& callers);

    void head_refused() noexcept { ++counts_.heads_refused; }
    void head_too_long() noexcept { ++counts_.heads_too_long; }

    /// Logs the counts if they have changed, at most once a second.
    void log_if_due(base::time_point now);

    [[nodiscard]] const counts& total() const noexcept { return counts_; }

private:
    const memory::account& account_;
    counts counts_;
    counts logged_;
    base::time_point logged_at_;
};

}  // namespace chicorygap::daemon_app
