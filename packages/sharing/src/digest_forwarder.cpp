#include "sharing/digest_forwarder.h"

#include "sharing/beacon.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <string>
#include <utility>

namespace chicorygap::sharing {

namespace {

using namespace std::chrono_literals;

constexpr double bytes_per_mbit = 1e6 / 8;
/// Part of the link that digests of other zones may use. With a burst, a tenth in any four seconds.
constexpr double link_fraction = 0.08;
/// Bytes that may be sent at once, as the time in which the bound allows them.
constexpr double burst_s = 1;
/// Time after which a receiver without digests is forgotten.
constexpr base::duration route_lifetime = 30s;
/// Part of its share after which a receiver has its turn again; below 1 because digests come at intervals.
constexpr double turn_fraction = 0.95;

std::uint64_t hash_of(const beacon& digest, const net::address& receiver) {
    const auto text =
        digest.vm.str() + ' ' + std::to_string(digest.sequence) + ' ' + net::to_string(receiver);
    return XXH64(text.data(), text.size(), 0);
}

}  // namespace

digest_forwarder::digest_forwarder(double link_mbits)
    : bytes_per_s_{link_mbits * bytes_per_mbit * link_fraction} {}

void digest_forwarder::refill(base::time_point now) {
    const std::chrono::duration<double> elapsed = now - refilled_at_;
    available_bytes_ =
        std::min(bytes_per_s_ * burst_s, available_bytes_ + bytes_per_s_ * std::max(0.0, elapsed.count()));
    refilled_at_ = now;
    std::erase_if(loads_sent_at_, [&](const auto& r) { return now - r.second > route_lifetime; });
}

base::duration digest_forwarder::turn_interval(std::size_t whole_size, representative_place place) const {
    const double bytes = static_cast<double>(loads_sent_at_.size() * whole_size);
    const double seconds = bytes / bytes_per_s_ / static_cast<double>(place.count) * turn_fraction;
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>{seconds});
}

forward_plan digest_forwarder::plan(const beacon& digest, std::size_t whole_size, std::size_t short_size,
                                    const std::vector<net::address>& receivers, representative_place place,
                                    base::time_point now) {
    forward_plan out;
    std::vector<net::address> mine;
    std::copy_if(receivers.begin(), receivers.end(), std::back_inserter(mine), [&](const auto& r) {
        return hash_of(digest, r) % std::max<std::size_t>(1, place.count) == place.index;
    });
    if (bytes_per_s_ <= 0) {
        out.whole = std::move(mine);
        return out;
    }
    if (digest.zone_services.empty()) {
        available_bytes_ -= static_cast<double>(mine.size() * whole_size);
        out.whole = std::move(mine);
        return out;
    }
    refill(now);
    // All get the short form at least; what is left goes to those that have waited longest.
    available_bytes_ -= static_cast<double>(mine.size() * short_size);
    std::vector<std::pair<base::time_point, net::address>> due;
    due.reserve(mine.size());
    for (auto& r : mine) {
        const auto it = loads_sent_at_.find({r, digest.zone});
        due.emplace_back(it == loads_sent_at_.end() ? base::time_point{} : it->second, std::move(r));
    }
    std::sort(due.begin(), due.end());
    const auto interval = turn_interval(whole_size, place);
    const auto extra = static_cast<double>(whole_size) - static_cast<double>(short_size);
    for (const auto& [sent_at, r] : due) {
        if (now - sent_at < interval || available_bytes_ < extra) {
            out.without_loads.push_back(r);
            continue;
        }
        available_bytes_ -= extra;
        loads_sent_at_[{r, digest.zone}] = now;
        out.whole.push_back(r);
    }
    return out;
}

}  // namespace chicorygap::sharing
