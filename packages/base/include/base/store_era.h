/// @file
/// Era of the platform's store, as this daemon knows it.
#pragma once

#include <cstdint>
#include <functional>
#include <utility>

namespace chicorygap::base {

/// Era of the platform's store, as this daemon knows it from the responses of the store and of its mirrors.
///
/// Usage: `e.set_changed_hook(...)`, then `if (!e.observe(era)) { drop the response }` for each response.
class store_era {
public:
    /// Called with the previous and the new era before the response that told it is used. The previous one is
    /// 0 if none was known.
    using changed_function = std::function<void(std::uint64_t previous, std::uint64_t current)>;

    void set_changed_hook(changed_function f) { changed_ = std::move(f); }

    /// Takes note of the era in a response.
    /// @return false if the response is of an older era than one before it.
    bool observe(std::uint64_t era) {
        if (era < current_) {
            return false;
        }
        if (era > current_) {
            const auto previous = std::exchange(current_, era);
            if (changed_) {
                changed_(previous, era);
            }
        }
        return true;
    }

    /// @return 0 if no era is known.
    [[nodiscard]] std::uint64_t current() const noexcept { return current_; }

private:
    std::uint64_t current_ = 0;
    changed_function changed_;
};

}  // namespace chicorygap::base
