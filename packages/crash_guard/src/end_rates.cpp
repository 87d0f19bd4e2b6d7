#include "crash_guard/end_rates.h"

#include <algorithm>

namespace chicorygap::crash_guard {

namespace {

constexpr std::size_t max_ends = 128;
constexpr std::size_t max_breaks = 64;
/// Expected number of wrong decisions among the requests of one window.
constexpr double tolerated_errors = 0.002;
/// Requests that are assumed while fewer were observed.
constexpr std::size_t min_requests = 20;

double seconds(base::duration d) {
    return std::chrono::duration<double>(d).count();
}

}  // namespace

void end_rates::record_answer(base::time_point now) {
    const auto second = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
    if (requests_.empty() || requests_.back().second < second) {
        requests_.push_back({second, 0});
    }
    ++requests_.back().requests;
    while (requests_.front().second < second - std::chrono::floor<std::chrono::seconds>(window).count()) {
        requests_.pop_front();
    }
}

void end_rates::record_break(const std::vector<std::uint64_t>& parts, base::time_point now) {
    breaks_.push_back({now, parts});
    if (breaks_.size() > max_breaks) {
        breaks_.pop_front();
    }
}

bool end_rates::record_end(std::uint64_t instance, base::time_point at) {
    const auto [it, added] = ends_.emplace(instance, at);
    if (!added) {
        // The earliest time, since each report that returns from a peer is a little late.
        it->second = std::min(it->second, at);
    }
    if (ends_.size() > max_ends) {
        ends_.erase(std::min_element(ends_.begin(), ends_.end(),
                                     [](const auto& a, const auto& b) { return a.second < b.second; }));
    }
    return added;
}

// One end more than was observed, so that a quiet time does not make any end impossible.
double end_rates::rate(std::size_t ends, base::time_point since, base::time_point now) const {
    const auto covered = std::clamp<base::duration>(now - since, window, memory);
    return static_cast<double>(ends + 1) / (static_cast<double>(servers_) * seconds(covered));
}

std::size_t end_rates::recent_requests(base::time_point now) const {
    const auto second = std::chrono::floor<std::chrono::seconds>((now - window).time_since_epoch()).count();
    std::size_t n = 0;
    for (const auto& x : requests_) {
        n += x.second >= second ? x.requests : 0;
    }
    return n;
}

double end_rates::break_share_without(std::uint64_t part, base::time_point now) const {
    const auto broken = std::count_if(breaks_.begin(), breaks_.end(), [&](const broken_request& b) {
        return b.at >= now - window && std::find(b.parts.begin(), b.parts.end(), part) == b.parts.end();
    });
    const auto n = static_cast<double>(broken);
    return (n + 1) / (n + static_cast<double>(recent_requests(now)) + 2);
}

double end_rates::significance(base::time_point now) const {
    const auto requests = std::max(min_requests, recent_requests(now) * daemons_);
    return tolerated_errors / static_cast<double>(requests);
}

std::vector<std::pair<std::uint64_t, base::time_point>> end_rates::latest_ends(std::size_t most) const {
    std::vector<std::pair<std::uint64_t, base::time_point>> out{ends_.begin(), ends_.end()};
    std::stable_sort(out.begin(), out.end(),
                     [](const auto& a, const auto& b) { return a.second > b.second; });
    out.resize(std::min(out.size(), most));
    return out;
}

void end_rates::expire(base::time_point now) {
    std::erase_if(ends_, [&](const auto& e) { return now - e.second > memory; });
    while (!breaks_.empty() && now - breaks_.front().at > window) {
        breaks_.pop_front();
    }
}

}  // namespace chicorygap::crash_guard
