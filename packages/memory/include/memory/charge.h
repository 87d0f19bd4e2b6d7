/// @file
/// Bytes that one buffer has on an account.
#pragma once

#include "memory/owner.h"

#include <cstddef>

namespace chicorygap::memory {

class account;

/// Bytes that one buffer has on an account, until the charge is destroyed.
///
/// Usage: `charge c{&a, owner::response}; buf.append(bytes); c.set(buf.capacity());`
class charge {
public:
    /// Counts nothing.
    charge() = default;
    /// @param a account; null counts nothing. @param o what the bytes are held for.
    charge(account* a, owner o) noexcept : account_{a}, owner_{o} {}
    charge(charge&& other) noexcept;
    charge& operator=(charge&& other) noexcept;
    charge(const charge&) = delete;
    charge& operator=(const charge&) = delete;
    ~charge();

    /// Replaces the number of bytes; call with the capacity of the buffer after each change of it.
    void set(std::size_t bytes) {
        if (bytes != bytes_ && account_ != nullptr) {
            replace(bytes);
        }
    }

    /// Replaces the number of bytes unless the account has no room for the difference.
    /// @return false if nothing was changed.
    [[nodiscard]] bool try_set(std::size_t bytes);

    [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }

private:
    void replace(std::size_t bytes);

    account* account_ = nullptr;
    owner owner_ = owner::response;
    std::size_t bytes_ = 0;
};

}  // namespace chicorygap::memory
