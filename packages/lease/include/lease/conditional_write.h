/// @file
/// Conditional update of a stored object that determines its result even if replies are lost.
#pragma once

#include "base/store_message.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chicorygap::lease {

/// Result of a conditional update, available once it is known.
struct write_result {
    bool applied = false;
    /// Time at which the write was sent, or sent first if it is unknown which attempt took effect. The write
    /// took effect at this time or later.
    base::time_point sent_at;
    std::uint64_t version = 0;                   ///< new version if applied
    std::optional<base::stored_object> current;  ///< stored object that caused the conflict, if not applied
};

/// Conditional update that is retried with the same value and expected version until its result is known.
///
/// The value must contain a token that no other write contains. A retry after a lost reply either takes
/// effect, in which case the earlier write did not and can no longer do so, or it conflicts. If the stored
/// value then equals the value of this write, the earlier write took effect.
///
/// Usage: call `auto put = w.begin(n, key, value, expected, now);` and send `put`. Then pass each reply to
/// `handle` and call `retry` on each tick.
class conditional_write {
public:
    /// Delay before a write whose result is unknown is sent again.
    static constexpr base::duration default_retry_delay = std::chrono::milliseconds{500};

    explicit conditional_write(base::duration retry_delay = default_retry_delay)
        : retry_delay_{retry_delay} {}

    /// Starts a write and abandons a pending one.
    /// @param correlation number that the reply to this write carries.
    /// @param expected version that the stored object must have; 0 if it must not exist.
    /// @return the call to execute.
    base::store_put begin(std::uint64_t correlation, std::string key, std::string value,
                          std::uint64_t expected, base::time_point now);

    /// @return the result if `reply` answers this write and determines its result.
    std::optional<write_result> handle(const base::store_reply& reply, base::time_point now);

    /// @param correlation number for the retry, used only if a retry is returned.
    /// @return the retry that is due at `now`, if any.
    std::optional<base::store_put> retry(std::uint64_t correlation, base::time_point now);

    /// Stops waiting for the result of the write. The write may still take effect.
    void abandon() noexcept { pending_ = false; }

    /// @return true while the result of a write is unknown.
    [[nodiscard]] bool pending() const noexcept { return pending_; }

private:
    std::optional<write_result> resolve_conflict(const base::store_reply& reply);

    base::duration retry_delay_;
    base::store_put put_;
    base::time_point first_sent_;
    base::time_point last_sent_;
    base::time_point retry_at_;
    bool pending_ = false;
    bool in_flight_ = false;
};

}  // namespace chicorygap::lease
