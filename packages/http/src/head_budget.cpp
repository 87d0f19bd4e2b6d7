#include "http/head_budget.h"

#include "memory/account.h"

namespace chicorygap::http {

namespace {

/// Part of the account's limit that the heads of requests may take together, and so may waiting input.
constexpr std::size_t share_divisor = 4;

std::size_t without(std::size_t sum, std::size_t own) {
    return sum > own ? sum - own : 0;
}

}  // namespace

bool head_budget::may_hold_head(std::size_t held, std::size_t needed) const {
    return account_ == nullptr ||
           may_hold(without(account_->held(memory::owner::request_head), held), needed);
}

bool head_budget::may_hold_input(std::size_t held, std::size_t needed) const {
    return account_ == nullptr ||
           may_hold(without(account_->held(memory::owner::caller_input), held), needed);
}

bool head_budget::may_hold(std::size_t of_others, std::size_t needed) const {
    if (needed <= usual_head_bytes) {
        return true;
    }
    if (account_->level() >= memory::pressure::critical) {
        return false;
    }
    return of_others == 0 || of_others + needed <= account_->limit() / share_divisor;
}

}  // namespace chicorygap::http
