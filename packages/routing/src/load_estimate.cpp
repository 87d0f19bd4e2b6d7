#include "load_estimate.h"

#include <algorithm>

namespace chicorygap::routing {

namespace {

// Peer digests arrive every few seconds and load reports are delayed by less than that, so that four samples
// cover the time since the last report.
constexpr std::size_t max_samples_per_peer = 4;

}  // namespace

void load_estimate::record_start(base::time_point now) {
    active_starts_.push_back(now);
    own_delta_++;
}

void load_estimate::record_end(base::time_point started, base::time_point now) {
    const auto it = std::ranges::find(active_starts_, started);
    if (it == active_starts_.end()) {
        return;
    }
    *it = active_starts_.back();
    active_starts_.pop_back();
    own_delta_--;
    ended_attempts_.push_back({started, now});
    while (ended_attempts_.front().ended + max_report_age_ < now) {
        ended_attempts_.pop_front();
    }
}

void load_estimate::record_report(int load, base::time_point measured, base::time_point now) {
    if (has_report_ && measured <= report_time_) {
        return;
    }
    has_report_ = true;
    report_time_ = std::min(measured, now);
    reported_load_ = load;
    own_delta_ = own_in_flight() - own_in_flight_at(report_time_);
    peer_delta_ = 0;
    for (auto& [peer, state] : peers_) {
        state.delta = delta_since_report(state.samples);
        peer_delta_ += state.delta;
    }
}

void load_estimate::record_peer_report(peer_number peer, int in_flight, base::time_point measured) {
    auto& state = peers_[peer];
    if (!state.samples.empty() && measured <= state.samples.back().measured) {
        return;
    }
    peer_total_ += in_flight - (state.samples.empty() ? 0 : state.samples.back().in_flight);
    if (state.samples.size() == max_samples_per_peer) {
        state.samples.erase(state.samples.begin());
    }
    state.samples.push_back({measured, in_flight});
    peer_delta_ -= state.delta;
    state.delta = has_report_ ? delta_since_report(state.samples) : 0;
    peer_delta_ += state.delta;
}

void load_estimate::remove_peer(peer_number peer) {
    const auto it = peers_.find(peer);
    if (it == peers_.end()) {
        return;
    }
    peer_delta_ -= it->second.delta;
    peer_total_ -= it->second.samples.back().in_flight;
    peers_.erase(it);
}

int load_estimate::own_in_flight_at(base::time_point t) const {
    const auto active = std::ranges::count_if(active_starts_, [t](base::time_point s) { return s <= t; });
    const auto ended = std::ranges::count_if(
        ended_attempts_, [t](const attempt_interval& i) { return i.started <= t && t < i.ended; });
    return static_cast<int>(active + ended);
}

int load_estimate::delta_since_report(const std::vector<load_sample>& samples) const {
    if (samples.back().measured <= report_time_) {
        return 0;
    }
    const auto first_newer =
        std::ranges::find_if(samples, [this](const load_sample& s) { return s.measured > report_time_; });
    if (first_newer != samples.begin()) {
        return samples.back().in_flight - std::prev(first_newer)->in_flight;
    }
    // The peer had no requests on the server before the first digest that lists the server.
    const int initial = samples.size() == max_samples_per_peer ? samples.front().in_flight : 0;
    return samples.back().in_flight - initial;
}

}  // namespace chicorygap::routing
