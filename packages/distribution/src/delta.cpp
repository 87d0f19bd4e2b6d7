#include "distribution/delta.h"

#include <xxhash.h>

#include <algorithm>

namespace chicorygap::distribution {

namespace {

std::uint64_t checksum(const std::string& text) {
    return XXH64(text.data(), text.size(), 0);
}

}  // namespace

text_delta make_delta(std::uint64_t base_version, const std::string& base, const std::string& next) {
    const auto shorter = std::min(base.size(), next.size());
    const auto first =
        std::mismatch(base.begin(), base.begin() + static_cast<std::ptrdiff_t>(shorter), next.begin());
    const auto prefix = static_cast<std::size_t>(first.first - base.begin());
    const auto rest = static_cast<std::ptrdiff_t>(shorter - prefix);
    const auto last = std::mismatch(base.rbegin(), base.rbegin() + rest, next.rbegin());
    const auto suffix = static_cast<std::size_t>(last.first - base.rbegin());
    return {base_version, prefix, suffix, next.substr(prefix, next.size() - prefix - suffix), checksum(next)};
}

std::optional<std::string> apply_delta(const std::string& base, const text_delta& d) {
    if (d.prefix_size > base.size() || d.suffix_size > base.size() - d.prefix_size) {
        return std::nullopt;
    }
    auto out = base.substr(0, d.prefix_size) + d.replacement + base.substr(base.size() - d.suffix_size);
    return checksum(out) == d.checksum ? std::optional{std::move(out)} : std::nullopt;
}

}  // namespace chicorygap::distribution
