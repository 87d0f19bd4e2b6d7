#include "memory/account.h"

#include <algorithm>
#include <utility>

namespace chicorygap::memory {

namespace {

/// Parts of the limit, in percent, at which a level is entered and left.
struct level_bounds {
    std::size_t entered_percent;
    std::size_t left_percent;
};

/// Of the levels above `none`, in ascending order.
constexpr std::array<level_bounds, 3> bounds{{{50, 40}, {75, 65}, {100, 90}}};

std::size_t part_of(std::size_t limit, std::size_t percent) {
    return limit / 100 * percent;
}

std::size_t index(pressure p) {
    return static_cast<std::size_t>(p);
}

}  // namespace

std::string_view to_string(owner o) noexcept {
    switch (o) {
        case owner::connection:
            return "connection";
        case owner::caller_input:
            return "caller_input";
        case owner::request_head:
            return "request_head";
        case owner::request_body:
            return "request_body";
        case owner::server_output:
            return "server_output";
        case owner::response:
            return "response";
        case owner::partial_event:
            return "partial_event";
        case owner::caller_output:
            return "caller_output";
        case owner::kernel_input:
            return "kernel_input";
    }
    return "unknown";
}

std::string_view to_string(pressure p) noexcept {
    switch (p) {
        case pressure::none:
            return "none";
        case pressure::elevated:
            return "elevated";
        case pressure::critical:
            return "critical";
        case pressure::exceeded:
            return "exceeded";
    }
    return "unknown";
}

account::account(std::size_t limit_bytes) : limit_{limit_bytes} {}

std::size_t account::held(owner o) const noexcept {
    return held_by_owner_.at(static_cast<std::size_t>(o));
}

bool account::has_room_for(std::size_t bytes) const noexcept {
    const auto end = part_of(limit_, bounds[index(pressure::critical) - 1].entered_percent);
    return held_ < end && bytes < end - held_;
}

std::size_t account::excess(pressure p) const noexcept {
    if (p == pressure::none) {
        return 0;
    }
    const auto end = part_of(limit_, bounds[index(p) - 1].left_percent);
    return level_ >= p && held_ >= end ? held_ - end + 1 : 0;
}

void account::replace(owner o, std::size_t old_bytes, std::size_t new_bytes) {
    auto& of_owner = held_by_owner_.at(static_cast<std::size_t>(o));
    of_owner = of_owner - old_bytes + new_bytes;
    held_ = held_ - old_bytes + new_bytes;
    peak_ = std::max(peak_, held_);
    auto level = index(level_);
    while (level < bounds.size() && held_ >= part_of(limit_, bounds[level].entered_percent)) {
        ++level;
    }
    while (level > 0 && held_ < part_of(limit_, bounds[level - 1].left_percent)) {
        --level;
    }
    const auto from = std::exchange(level_, static_cast<pressure>(level));
    if (from != level_ && changed_) {
        changed_(from, level_);
    }
}

}  // namespace chicorygap::memory
