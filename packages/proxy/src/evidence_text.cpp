#include "evidence_text.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdio>

namespace chicorygap::proxy {

namespace {

/// Parts of a prompt that a log line names.
constexpr std::size_t max_logged_parts = 8;

}  // namespace

std::string shared_parts_text(const crash_guard::part_ids& parts) {
    std::string out;
    for (std::size_t i = 0; i < std::min(parts.shared_count(), max_logged_parts); ++i) {
        out += (i == 0 ? "" : ",") + crash_guard::part_text(parts.ids[i]);
    }
    return out;
}

std::string own_part_text(const crash_guard::part_ids& parts) {
    return parts.last_is_own ? crash_guard::part_text(parts.ids.back()) : "";
}

std::string evidence_text(const std::vector<crash_guard::part_status>& parts) {
    std::string out;
    for (std::size_t i = 0; i < std::min(parts.size(), max_logged_parts); ++i) {
        const auto& p = parts[i];
        std::array<char, 16> chance{};
        std::snprintf(chance.data(), chance.size(), "%.2g", p.chance);
        out += (i == 0 ? "" : ",") + crash_guard::part_text(p.part) + ':' + std::to_string(p.ends) + '/' +
               std::to_string(p.servers) + '/' + chance.data() + '/' +
               (p.quarantined ? "quarantined" : std::string{p.undecided});
    }
    return out;
}

}  // namespace chicorygap::proxy
