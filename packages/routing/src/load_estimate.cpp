#include "load_estimate.h"

#include <algorithm>

namespace chicorygap::routing {

namespace {

// Peer digests arrive every few seconds and reports lag by less than that; four samples reach back far
// enough.
constexpr std::size_t samples_per_peer = 4;

}  // namespace

void load_estimate::started(base::time_point now) {
    active_.push_back(now);
    own_delta_++;
}

void load_estimate::finished(base::time_point started, base::time_point now) {
    const auto it = std::ranges::find(active_, started);
    if (it == active_.end()) {
        return;
    }
    *it = active_.back();
    active_.pop_back();
    own_delta_--;
    ended_.push_back({started, now});
    while (ended_.front().ended + lifetime_ < now) {
        ended_.pop_front();
    }
}

void load_estimate::reported(int load, base::time_point measured, base::time_point now) {
    if (has_report_ && measured <= measured_) {
        return;
    }
    has_report_ = true;
    measured_ = std::min(measured, now);
    reported_ = load;
    own_delta_ = own_in_flight() - own_at(measured_);
    peer_delta_ = 0;
    for (auto& [peer, state] : peers_) {
        state.delta = delta_since_report(state.samples);
        peer_delta_ += state.delta;
    }
}

void load_estimate::peer_reported(peer_number peer, int in_flight, base::time_point measured) {
    auto& state = peers_[peer];
    if (!state.samples.empty() && measured <= state.samples.back().measured) {
        return;
    }
    peer_total_ += in_flight - (state.samples.empty() ? 0 : state.samples.back().in_flight);
    if (state.samples.size() == samples_per_peer) {
        state.samples.erase(state.samples.begin());
    }
    state.samples.push_back({measured, in_flight});
    peer_delta_ -= state.delta;
    state.delta = has_report_ ? delta_since_report(state.samples) : 0;
    peer_delta_ += state.delta;
}

void load_estimate::forget_peer(peer_number peer) {
    const auto it = peers_.find(peer);
    if (it == peers_.end()) {
        return;
    }
    peer_delta_ -= it->second.delta;
    peer_total_ -= it->second.samples.back().in_flight;
    peers_.erase(it);
}

int load_estimate::own_at(base::time_point t) const {
    const auto active = std::ranges::count_if(active_, [t](base::time_point s) { return s <= t; });
    const auto ended =
        std::ranges::count_if(ended_, [t](const interval& i) { return i.started <= t && t < i.ended; });
    return static_cast<int>(active + ended);
}

int load_estimate::delta_since_report(const std::vector<sample>& samples) const {
    if (samples.back().measured <= measured_) {
        return 0;
    }
    const auto newer =
        std::ranges::find_if(samples, [this](const sample& s) { return s.measured > measured_; });
    if (newer != samples.begin()) {
        return samples.back().in_flight - std::prev(newer)->in_flight;
    }
    // Before the first digest that lists the server the peer had no requests on it.
    const int base = samples.size() == samples_per_peer ? samples.front().in_flight : 0;
    return samples.back().in_flight - base;
}

}  // namespace chicorygap::routing
