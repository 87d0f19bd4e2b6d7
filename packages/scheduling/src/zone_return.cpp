#include "zone_return.h"

#include <algorithm>
#include <cmath>

namespace chicorygap::scheduling {

double zone_return::share(base::time_point now) const {
    if (!returned_at_) {
        return 1;
    }
    const std::chrono::duration<double> elapsed = now - *returned_at_;
    return std::clamp(elapsed / std::chrono::duration<double>{length}, 0.0, 1.0);
}

std::uint32_t zone_return::usable_slots(std::uint32_t slots, base::time_point now) const {
    return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(std::floor(slots * share(now))), 1,
                                     std::max(1U, slots));
}

}  // namespace chicorygap::scheduling
