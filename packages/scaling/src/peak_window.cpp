#include "peak_window.h"

namespace chicorygap::scaling {

void peak_window::add(double value, base::duration length, base::time_point now) {
    while (!samples_.empty() && samples_.back().value <= value) {
        samples_.pop_back();
    }
    samples_.push_back({now, value});
    while (samples_.size() > 1 && samples_.front().at + length < now) {
        samples_.pop_front();
    }
}

}  // namespace chicorygap::scaling
