#include "cause_counter.h"

#include <algorithm>

namespace chicorygap::burn {

namespace {

constexpr base::duration bucket_length = std::chrono::minutes{10};
// A daemon uses at most 40 servers per zone and model; more names would only grow the digest.
constexpr std::size_t max_names = 256;
constexpr const char* other_names = "other";

}  // namespace

void cause_counter::add(const std::string& name, base::time_point now) {
    const std::int64_t number = now.time_since_epoch() / bucket_length;
    bucket& b = buckets_[static_cast<std::size_t>(number) % bucket_count];
    if (b.number != number) {
        b.number = number;
        b.misses.clear();
    }
    const bool room = b.misses.size() < max_names || b.misses.contains(name);
    ++b.misses[room ? name : other_names];
}

std::vector<cause> cause_counter::at(base::time_point now) const {
    const std::int64_t number = now.time_since_epoch() / bucket_length;
    std::unordered_map<std::string, std::uint32_t> sum;
    for (const auto& b : buckets_) {
        if (b.number > number - static_cast<std::int64_t>(bucket_count)) {
            for (const auto& [name, misses] : b.misses) {
                sum[name] += misses;
            }
        }
    }
    std::vector<cause> out;
    out.reserve(sum.size());
    for (const auto& [name, misses] : sum) {
        out.push_back({name, misses});
    }
    sort_causes(out);
    return out;
}

void sort_causes(std::vector<cause>& v) {
    std::sort(v.begin(), v.end(), [](const cause& a, const cause& b) {
        return a.misses != b.misses ? a.misses > b.misses : a.name < b.name;
    });
}

}  // namespace chicorygap::burn
