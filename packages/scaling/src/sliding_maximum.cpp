#include "sliding_maximum.h"

namespace chicorygap::scaling {

void sliding_maximum::add(double value, base::duration window, base::time_point now) {
    while (!samples_.empty() && samples_.back().value <= value) {
        samples_.pop_back();
    }
    samples_.push_back({now, value});
    while (samples_.size() > 1 && samples_.front().time + window < now) {
        samples_.pop_front();
    }
}

}  // namespace chicorygap::scaling
