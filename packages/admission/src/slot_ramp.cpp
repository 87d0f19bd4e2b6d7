#include "slot_ramp.h"

#include <algorithm>

namespace chicorygap::admission {

namespace {

// The slot count fluctuates with the load reports; smaller increases do not indicate recovered servers.
constexpr double min_ramped_step_ratio = 1.25;
constexpr int min_ramped_step_slots = 3;

}  // namespace

void slot_ramp::set_target(int slots, bool backlogged, base::time_point now) {
    advance(now);
    const bool large = slots - usable_ >= min_ramped_step_slots && slots > usable_ * min_ramped_step_ratio;
    const bool ramping = usable_ < target_;
    if (slots <= usable_ || (!ramping && !(large && backlogged))) {
        usable_ = slots;
    }
    target_ = slots;
    updated_at_ = now;
}

void slot_ramp::advance(base::time_point now) {
    if (usable_ < target_) {
        const double elapsed = std::chrono::duration<double>{now - updated_at_}.count();
        const double ramp_seconds = std::max(std::chrono::duration<double>{ramp_time_}.count(), 1e-3);
        usable_ = std::min<double>(usable_ + target_ * elapsed / ramp_seconds, target_);
    }
    updated_at_ = now;
}

int slot_ramp::usable() const {
    return std::min(target_, std::max(static_cast<int>(usable_), 1));
}

}  // namespace chicorygap::admission
