/// @file
/// Account of the bytes that a process holds in its buffers.
#pragma once

#include "memory/owner.h"
#include "memory/pressure.h"

#include <array>
#include <cstddef>
#include <functional>
#include <utility>

namespace chicorygap::memory {

/// Account of the bytes that a process holds in its buffers, by owner.
///
/// Concept: each buffer carries a `charge` with its capacity. The account allows every charge and tells how
/// close the sum is to the limit; the holders of the buffers decide what to give up. Only large reservations
/// are refused. A level is left at a lower sum than it is entered at, so that it does not flap.
///
/// Usage: `account a{bytes}; charge c{&a, owner::response}; c.set(buf.capacity());`
/// An account belongs to one thread and must outlive its charges.
class account {
public:
    /// Called after each change of the level. Must not change a charge.
    using change_hook = std::function<void(pressure from, pressure to)>;

    /// @param limit_bytes sum above which attempts are ended.
    explicit account(std::size_t limit_bytes);
    account(const account&) = delete;
    account& operator=(const account&) = delete;
    ~account() = default;

    void set_change_hook(change_hook h) { changed_ = std::move(h); }

    [[nodiscard]] std::size_t limit() const noexcept { return limit_; }
    [[nodiscard]] std::size_t held() const noexcept { return held_; }
    /// @return bytes that are held for one owner.
    [[nodiscard]] std::size_t held(owner o) const noexcept;
    /// @return largest sum since the start.
    [[nodiscard]] std::size_t peak() const noexcept { return peak_; }
    [[nodiscard]] pressure level() const noexcept { return level_; }

    /// @return true if the sum with these bytes does not enter the critical level.
    [[nodiscard]] bool has_room_for(std::size_t bytes) const noexcept;
    /// @return bytes to be given up until the level `p` is left; 0 at the levels below it.
    [[nodiscard]] std::size_t excess(pressure p = pressure::exceeded) const noexcept;

private:
    friend class charge;
    void replace(owner o, std::size_t old_bytes, std::size_t new_bytes);

    std::size_t limit_;
    std::size_t held_ = 0;
    std::size_t peak_ = 0;
    std::array<std::size_t, all_owners.size()> held_by_owner_{};
    pressure level_ = pressure::none;
    change_hook changed_;
};

}  // namespace chicorygap::memory
