#include "server_health.h"

#include <algorithm>

namespace chicorygap::scheduling {

namespace {

using namespace std::chrono_literals;

/// Weight of older outcomes for each new one: about the last twenty count.
constexpr double decay = 0.95;
/// Fewer outcomes than this say nothing about a share.
constexpr double least_samples = 6;
/// A server is left out when it fails this much more than the service does on the whole.
constexpr double excess_failures = 0.25;
/// First time for which a server is left out; it doubles while the server stays unreachable.
constexpr base::duration first_ejection = 500ms;
/// Longest doubling, so that a server that is back is used again within a few seconds.
constexpr int most_doublings = 3;

}  // namespace

void server_health::record(outcome o, double usual_failures, base::time_point now) {
    if (o == outcome::cancelled) {
        return;
    }
    if (o == outcome::replaced) {
        gone_ = true;
        return;
    }
    const bool bad = o == outcome::failed || o == outcome::unreachable;
    samples_ = samples_ * decay + 1;
    failures_ = failures_ * decay + (bad ? 1 : 0);
    if (o == outcome::unreachable) {
        if (++unreachable_in_row_ >= 2) {
            eject(now);
        }
        return;
    }
    unreachable_in_row_ = 0;
    if (o == outcome::success) {
        ejections_in_row_ = 0;
    }
    if (bad && samples_ >= least_samples && failures_ / samples_ > usual_failures + excess_failures) {
        eject(now);
        samples_ = 0;  // judged anew when it returns
        failures_ = 0;
    }
}

void server_health::eject(base::time_point now) {
    ejected_until_ = now + first_ejection * (1 << std::min(ejections_in_row_, most_doublings));
    ++ejections_in_row_;
}

}  // namespace chicorygap::scheduling
