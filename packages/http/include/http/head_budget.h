/// @file
/// Memory that the heads of requests may take together.
#pragma once

#include <cstddef>

namespace chicorygap::memory {
class account;
}

namespace chicorygap::http {

/// Decides whether one more head, or more of a head, may be held.
///
/// Concept: answers crowds of clients whose heads consist of very many short lines. All heads of requests,
/// unfinished or of open requests, may take a quarter of the account's limit, so that they alone bring no
/// other buffer under pressure. A head of usual size is always taken, so that the crowd does not turn
/// ordinary callers away. A head that is alone is taken whatever its size; its length has a limit of its own.
/// Under pressure only heads of usual size are taken.
///
/// Usage: `if (!budget.may_hold_head(charge.bytes(), needed)) { refuse(); } else { charge.set(needed); }`
class head_budget {
public:
    /// Memory of a head of usual size: 20 fields and half a kilobyte of cookies take 2.5 KiB.
    static constexpr std::size_t usual_head_bytes = std::size_t{4} * 1024;

    /// @param a account that outlives the budget; null allows everything.
    explicit head_budget(const memory::account* a) noexcept : account_{a} {}

    /// @param held bytes that the head has on the account.
    /// @param needed bytes that it would have.
    [[nodiscard]] bool may_hold_head(std::size_t held, std::size_t needed) const;

    /// The same for input that waits behind an unanswered request.
    [[nodiscard]] bool may_hold_input(std::size_t held, std::size_t needed) const;

private:
    [[nodiscard]] bool may_hold(std::size_t of_others, std::size_t needed) const;

    const memory::account* account_;
};

}  // namespace chicorygap::http
