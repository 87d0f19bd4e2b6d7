#include "standin_backend/fault.h"

#include "base/error.h"

#include <algorithm>
#include <array>
#include <utility>

namespace chicorygap::standin_backend {

namespace {

using enum fault_kind;

constexpr std::array<std::pair<fault_kind, std::string_view>, 13> names{{
    {refuse, "refuse"},
    {fail, "fail"},
    {delay, "delay"},
    {drop_reply, "drop_reply"},
    {silent, "silent"},
    {restart, "restart"},
    {slow, "slow"},
    {gap, "gap"},
    {crash, "crash"},
    {truncate, "truncate"},
    {wrong_id, "wrong_id"},
    {no_done, "no_done"},
    {clear, "clear"},
}};

}  // namespace

std::string_view to_string(fault_kind k) {
    return std::find_if(names.begin(), names.end(), [k](const auto& n) { return n.first == k; })->second;
}

fault_kind parse_fault_kind(std::string_view name) {
    const auto* it =
        std::find_if(names.begin(), names.end(), [name](const auto& n) { return n.second == name; });
    if (it == names.end()) {
        throw base::error{base::result_code::body_malformed, "unknown fault kind"};
    }
    return it->first;
}

}  // namespace chicorygap::standin_backend
