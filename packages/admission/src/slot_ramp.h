/// @file
/// Gradual use of returned capacity.
#pragma once

#include "base/time.h"

namespace chicorygap::admission {

/// Limits how fast returned capacity is put to use while a backlog waits, so that servers that just
/// came back are not hit by the whole queue at once.
class slot_ramp {
public:
    explicit slot_ramp(base::duration ramp_time) : ramp_time_{ramp_time} {}

    void set_ramp_time(base::duration t) { ramp_time_ = t; }
    /// @param slots new capacity.
    /// @param overloaded whether requests are waiting; without a backlog capacity is usable at once.
    void set_target(int slots, bool overloaded, base::time_point now);
    void advance(base::time_point now);

    [[nodiscard]] int target() const { return target_; }
    [[nodiscard]] int usable() const;

private:
    base::duration ramp_time_;
    int target_ = 0;
    double usable_ = 0;
    base::time_point at_;
};

}  // namespace chicorygap::admission
