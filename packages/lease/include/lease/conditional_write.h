/// @file
/// Conditional update whose lost replies are resolved.
#pragma once

#include "base/store_message.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chicorygap::lease {

/// Result of a conditional update once it is known.
struct write_result {
    bool applied = false;
    /// Time from which the effect may count: never later than the moment the write took effect.
    base::time_point sent_at;
    std::uint64_t version = 0;                   ///< new version if applied
    std::optional<base::stored_object> current;  ///< winning object if not applied
};

/// One conditional update, repeated with the same value and expected version until its effect is known.
///
/// The value must contain a token that no other write carries. A repetition after a lost reply either takes
/// effect (so the lost one did not and no longer can), or conflicts; if the current value is then equal to
/// ours, the lost one took effect.
///
/// Usage: `auto put = w.begin(n, key, value, expected, now);` send it, then pass each reply to `handle`, and
/// call `retry` on ticks.
class conditional_write {
public:
    /// Delay before a write without a known result is repeated.
    static constexpr base::duration default_retry_delay = std::chrono::milliseconds{500};

    explicit conditional_write(base::duration retry_delay = default_retry_delay)
        : retry_delay_{retry_delay} {}

    /// Starts a write. A write that is still pending is abandoned.
    /// @param correlation number of the call.
    /// @return the action to execute.
    base::store_put begin(std::uint64_t correlation, std::string key, std::string value,
                          std::uint64_t expected, base::time_point now);

    /// @return the result if `reply` belongs to this write and settles it.
    std::optional<write_result> handle(const base::store_reply& reply, base::time_point now);

    /// @param correlation number for the repetition, used only if one is returned.
    /// @return the repetition that is due at `now`, if any.
    std::optional<base::store_put> retry(std::uint64_t correlation, base::time_point now);

    /// Abandons the write. It may still take effect.
    void abandon() noexcept { pending_ = false; }

    [[nodiscard]] bool pending() const noexcept { return pending_; }

private:
    std::optional<write_result> settle_conflict(const base::store_reply& reply);

    base::duration retry_delay_;
    base::store_put put_;
    base::time_point first_sent_;
    base::time_point last_sent_;
    base::time_point retry_at_;
    bool pending_ = false;
    bool in_flight_ = false;
};

}  // namespace chicorygap::lease
