#include "standin_platform/fault_plan.h"

#include <algorithm>

namespace chicorygap::standin_platform {

std::optional<fault_kind> parse_fault_kind(const std::string& name) {
    if (name == "refuse") {
        return fault_kind::refuse;
    }
    if (name == "delay") {
        return fault_kind::delay;
    }
    if (name == "drop_reply") {
        return fault_kind::drop_reply;
    }
    if (name == "silent") {
        return fault_kind::silent;
    }
    if (name == "restart") {
        return fault_kind::restart;
    }
    return std::nullopt;
}

void fault_plan::add(const fault& f) {
    const std::lock_guard lock{mutex_};
    faults_.push_back(f);
}

void fault_plan::clear() {
    const std::lock_guard lock{mutex_};
    faults_.clear();
}

std::optional<fault> fault_plan::take(const std::string& method, const std::string& path) {
    const std::lock_guard lock{mutex_};
    const auto it = std::find_if(faults_.begin(), faults_.end(), [&](const fault& f) {
        return path.starts_with(f.path) && (f.method.empty() || f.method == method);
    });
    if (it == faults_.end()) {
        return std::nullopt;
    }
    const fault hit = *it;
    if (it->count > 0 && --it->count == 0) {
        faults_.erase(it);
    }
    return hit;
}

}  // namespace chicorygap::standin_platform
