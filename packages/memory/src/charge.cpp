#include "memory/charge.h"

#include "memory/account.h"

#include <utility>

namespace chicorygap::memory {

charge::charge(charge&& other) noexcept
    : account_{other.account_}, owner_{other.owner_}, bytes_{std::exchange(other.bytes_, 0)} {}

charge& charge::operator=(charge&& other) noexcept {
    if (this != &other) {
        set(0);
        account_ = other.account_;
        owner_ = other.owner_;
        bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
}

charge::~charge() {
    set(0);
}

bool charge::try_set(std::size_t bytes) {
    if (account_ != nullptr && bytes > bytes_ && !account_->has_room_for(bytes - bytes_)) {
        return false;
    }
    set(bytes);
    return true;
}

void charge::replace(std::size_t bytes) {
    account_->replace(owner_, std::exchange(bytes_, bytes), bytes);
}

}  // namespace chicorygap::memory
