/// @file
/// Decides which daemons of the zone get a digest of another zone.
#pragma once

#include "base/id.h"
#include "base/time.h"
#include "net/address.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace chicorygap::sharing {

struct beacon;

/// Receivers of a digest.
struct forward_plan {
    std::vector<net::address> whole;          ///< get the digest unchanged
    std::vector<net::address> without_loads;  ///< get everything but the loads of the zone

    bool operator==(const forward_plan&) const = default;
};

/// Place of this daemon among the representatives of its zone.
struct representative_place {
    std::size_t index = 0;  ///< in order of rank
    std::size_t count = 1;
};

/// Decides which daemons of the zone get a digest of another zone from this representative.
///
/// Concept: the representatives of a zone divide the receivers of each digest by a hash, so that a daemon
/// depends on none of them. What a representative passes on is bounded to a part of its link, because
/// requests of callers share the link. Where that is too little for the loads, each receiver gets them less
/// often, in turn, and the short rest of each digest, which keeps membership and lease current.
///
/// Usage: `const auto p = f.plan(digest, whole_size, short_size, receivers, place, now);` for each digest
/// received. Performs no I/O and reads no clock.
class digest_forwarder {
public:
    /// @param link_mbits speed of this VM's link in Mbit/s; 0 if unknown, which bounds nothing.
    explicit digest_forwarder(double link_mbits);

    /// @param digest beacon of a representative of another zone.
    /// @param whole_size size of the digest in bytes.
    /// @param short_size size of the digest without loads in bytes.
    /// @param receivers all other daemons of the zone.
    [[nodiscard]] forward_plan plan(const beacon& digest, std::size_t whole_size, std::size_t short_size,
                                    const std::vector<net::address>& receivers, representative_place place,
                                    base::time_point now);

    /// @return bytes that may be passed on in a second; 0 if there is no bound.
    [[nodiscard]] double bytes_per_s() const noexcept { return bytes_per_s_; }
    /// @return number of receivers whose turns are remembered, once for each zone that sends digests.
    [[nodiscard]] std::size_t remembered_routes() const noexcept { return loads_sent_at_.size(); }

private:
    /// Receiver and zone of the digest.
    using route = std::pair<net::address, base::zone_id>;

    void refill(base::time_point now);
    /// @return shortest time between two digests with loads to a receiver at which all get their share.
    [[nodiscard]] base::duration turn_interval(std::size_t whole_size, representative_place place) const;

    double bytes_per_s_;
    double available_bytes_ = 0;
    base::time_point refilled_at_;
    /// Time at which the loads of a zone were last sent to a receiver.
    std::map<route, base::time_point> loads_sent_at_;
};

}  // namespace chicorygap::sharing
