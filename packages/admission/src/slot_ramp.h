/// @file
/// Gradual use of added capacity.
#pragma once

#include "base/time.h"

namespace chicorygap::admission {

/// Limits how fast added slots are brought into use while requests are queued, so that recovered servers do
/// not receive the whole queue at once.
class slot_ramp {
public:
    explicit slot_ramp(base::duration ramp_time) : ramp_time_{ramp_time} {}

    void set_ramp_time(base::duration t) { ramp_time_ = t; }
    /// @param slots new number of slots.
    /// @param backlogged whether requests are queued; without a backlog all slots are usable at once.
    void set_target(int slots, bool backlogged, base::time_point now);
    void advance(base::time_point now);

    [[nodiscard]] int target() const { return target_; }
    [[nodiscard]] int usable() const;

private:
    base::duration ramp_time_;
    int target_ = 0;
    double usable_ = 0;
    base::time_point updated_at_;
};

}  // namespace chicorygap::admission
