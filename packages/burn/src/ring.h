/// @file
/// Ring of buckets over one window.
#pragma once

#include "burn/windows.h"

#include <array>
#include <chrono>

namespace chicorygap::burn {

/// Counts of the last `N` intervals of `window.length / N`.
template <std::size_t N>
class ring {
public:
    void add(const counts& c, base::duration length, base::time_point now) {
        advance(length, now);
        buckets_[position(newest_)] += c;
    }

    /// @return buckets at `now`, oldest first.
    [[nodiscard]] std::array<counts, N> at(base::duration length, base::time_point now) const {
        ring copy = *this;
        copy.advance(length, now);
        std::array<counts, N> out;
        for (std::size_t i = 0; i < N; ++i) {
            out[i] = copy.buckets_[position(copy.newest_ + 1 + static_cast<std::int64_t>(i))];
        }
        return out;
    }

    [[nodiscard]] counts sum(base::duration length, base::time_point now) const {
        counts out;
        for (const auto& c : at(length, now)) {
            out += c;
        }
        return out;
    }

private:
    static std::size_t position(std::int64_t number) { return static_cast<std::size_t>(number) % N; }

    void advance(base::duration length, base::time_point now) {
        const std::int64_t current = now.time_since_epoch() / (length / static_cast<std::int64_t>(N));
        if (current - newest_ >= static_cast<std::int64_t>(N)) {
            buckets_.fill({});
            newest_ = current;
        }
        while (newest_ < current) {
            buckets_[position(++newest_)] = {};
        }
    }

    std::array<counts, N> buckets_{};
    std::int64_t newest_ = 0;  // number of the newest bucket since time zero
};

}  // namespace chicorygap::burn
