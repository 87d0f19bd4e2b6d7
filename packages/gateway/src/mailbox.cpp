#include "mailbox.h"

namespace chicorygap::gateway {

void mailbox::post(const dispatch::action& a) {
    const std::lock_guard lock{mutex_};
    if (const auto* c = std::get_if<dispatch::cancel_attempt>(&a)) {
        cancel_ = *c;
        return;
    }
    actions_.push_back(a);
    changed_.notify_one();
}

std::optional<dispatch::action> mailbox::wait(base::duration timeout) {
    std::unique_lock lock{mutex_};
    if (!changed_.wait_for(lock, timeout, [this] { return !actions_.empty(); })) {
        return std::nullopt;
    }
    const auto a = actions_.front();
    actions_.pop_front();
    return a;
}

std::optional<base::result_code> mailbox::cancelled(std::uint32_t attempt) const {
    const std::lock_guard lock{mutex_};
    if (cancel_ && cancel_->attempt == attempt) {
        return cancel_->reason;
    }
    return std::nullopt;
}

}  // namespace chicorygap::gateway
