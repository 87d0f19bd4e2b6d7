#include "slot_ramp.h"

#include <algorithm>

namespace chicorygap::admission {

namespace {

// Load reports make the slot count fluctuate; smaller steps are not a return of capacity.
constexpr double min_step_ratio = 1.25;
constexpr int min_step_slots = 3;

}  // namespace

void slot_ramp::set_target(int slots, bool overloaded, base::time_point now) {
    advance(now);
    const bool large = slots - usable_ >= min_step_slots && slots > usable_ * min_step_ratio;
    const bool ramping = usable_ < target_;
    if (slots <= usable_ || (!ramping && !(large && overloaded))) {
        usable_ = slots;
    }
    target_ = slots;
    at_ = now;
}

void slot_ramp::advance(base::time_point now) {
    if (usable_ < target_) {
        const double elapsed = std::chrono::duration<double>{now - at_}.count();
        const double ramp = std::max(std::chrono::duration<double>{ramp_time_}.count(), 1e-3);
        usable_ = std::min<double>(usable_ + target_ * elapsed / ramp, target_);
    }
    at_ = now;
}

int slot_ramp::usable() const {
    return std::min(target_, std::max(static_cast<int>(usable_), 1));
}

}  // namespace chicorygap::admission
