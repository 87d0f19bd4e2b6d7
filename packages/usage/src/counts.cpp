#include "usage/counts.h"

#include <algorithm>
#include <tuple>

namespace chicorygap::usage {

namespace {

std::uint64_t excess_of(std::uint64_t a, std::uint64_t b) noexcept {
    return a > b ? a - b : 0;
}

}  // namespace

bool row_key::operator<(const row_key& o) const {
    return std::tie(service.str(), workspace.str(), traffic_class.str()) <
           std::tie(o.service.str(), o.workspace.str(), o.traffic_class.str());
}

bool source::operator<(const source& o) const {
    return std::tie(daemon, incarnation) < std::tie(o.daemon, o.incarnation);
}

counts& counts::operator+=(const counts& o) noexcept {
    requests += o.requests;
    prompt_tokens += o.prompt_tokens;
    output_tokens += o.output_tokens;
    return *this;
}

counts max(const counts& a, const counts& b) noexcept {
    return {std::max(a.requests, b.requests), std::max(a.prompt_tokens, b.prompt_tokens),
            std::max(a.output_tokens, b.output_tokens)};
}

counts excess(const counts& a, const counts& b) noexcept {
    return {excess_of(a.requests, b.requests), excess_of(a.prompt_tokens, b.prompt_tokens),
            excess_of(a.output_tokens, b.output_tokens)};
}

}  // namespace chicorygap::usage
