/// @file
/// Counts of misses by cause over the last hour.
#pragma once

#include "base/time.h"
#include "burn/digest.h"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicorygap::burn {

/// Keeps misses per name for the last hour in buckets of ten minutes. The number of names is bounded;
/// further names are counted together.
class cause_counter {
public:
    void add(const std::string& name, base::time_point now);
    /// @return causes of the last hour, most frequent first.
    [[nodiscard]] std::vector<cause> at(base::time_point now) const;

private:
    static constexpr std::size_t bucket_count = 6;

    struct bucket {
        std::int64_t number = -1;
        std::unordered_map<std::string, std::uint32_t> misses;
    };
    std::array<bucket, bucket_count> buckets_;
};

/// Sorts by number of misses, then by name.
void sort_causes(std::vector<cause>& v);

}  // namespace chicorygap::burn
