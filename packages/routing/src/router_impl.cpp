#include "router_impl.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <span>
#include <unordered_set>
#include <utility>

namespace chicorygap::routing {

using base::result_code;

namespace {

// A median over 600 servers costs microseconds, so it is not taken for each sample.
constexpr base::duration latency_check_interval = std::chrono::seconds{1};
// With fewer servers to compare, the median says nothing about which one is the outlier.
constexpr std::size_t least_compared = 3;

bool is_server_fault(result_code c) {
    switch (c) {
        case result_code::connect_failed:
        case result_code::first_byte_timeout:
        case result_code::token_gap_timeout:
        case result_code::answer_truncated:
        case result_code::answer_mismatched:
        case result_code::backend_failed:
            return true;
        default:
            return false;
    }
}

}  // namespace

router::impl::impl(options o, base::random_function random)
    : options_{std::move(o)}, random_{std::move(random)}, table_{options_}, selection_{options_} {}

void router::impl::on(const servers_changed& e, base::time_point now) {
    for (const auto s : table_.replace(e.servers, now)) {
        forget_server(s);
    }
}

void router::impl::on(const server_draining& e, base::time_point now) {
    if (const auto s = table_.find(e.server)) {
        table_.set_draining(*s, now);
    }
}

void router::impl::on(const load_reported& e, base::time_point now) {
    if (const auto s = table_.find(e.server)) {
        table_.at(*s).load.reported(e.running + e.queued, now - e.age, now);
    }
}

void router::impl::on(const cache_event& e, base::time_point now) {
    if (const auto s = table_.find(e.server)) {
        prefixes_.apply(*s, e, now);
    }
}

void router::impl::on(const peer_load_reported& e, base::time_point now) {
    const auto [it, inserted] = peers_.try_emplace(e.peer);
    auto& peer = it->second;
    if (inserted) {
        peer.number = next_peer_++;
    }
    const auto measured = now - e.age;
    std::unordered_set<base::backend_server_id> listed;
    const auto apply = [&](const base::backend_server_id& id, int in_flight) {
        if (const auto s = table_.find(id)) {
            table_.at(*s).load.peer_reported(peer.number, in_flight, measured);
        }
    };
    for (const auto& load : e.loads) {
        listed.insert(load.server);
        apply(load.server, load.in_flight);
    }
    for (const auto& id : peer.listed) {
        if (!listed.contains(id)) {
            apply(id, 0);
        }
    }
    peer.listed.assign(listed.begin(), listed.end());
}

void router::impl::on(const attempt_started& e, base::time_point now) {
    const auto s = table_.find(e.server);
    if (!s || !attempts_.try_emplace(e.id, running_attempt{*s, now, false}).second) {
        return;
    }
    table_.at(*s).load.started(now);
    if (e.prefix != 0) {
        prefixes_.assume(*s, e.prefix, now);
    }
}

void router::impl::on(const attempt_output_received& e, base::time_point now) {
    const auto it = attempts_.find(e.id);
    if (it == attempts_.end() || it->second.progressed) {
        return;
    }
    it->second.progressed = true;
    record_latency(it->second.server, now - it->second.started, now);
}

void router::impl::on(const attempt_finished& e, base::time_point now) {
    const auto it = attempts_.find(e.id);
    if (it == attempts_.end()) {
        return;
    }
    const auto a = it->second;
    attempts_.erase(it);
    auto& s = table_.at(a.server);
    s.load.finished(a.started, now);
    if (e.outcome == result_code::ok) {
        s.state.succeeded(now);
        if (!a.progressed) {
            record_latency(a.server, now - a.started, now);
        }
    } else if (is_server_fault(e.outcome) && s.state.failed(now)) {
        table_.try_eject(a.server, now);
    }
}

void router::impl::on(const peers_changed& e, base::time_point now) {
    table_.set_peers(e.peers, now);
    std::unordered_set<base::vm_id> live;
    for (const auto& p : e.peers) {
        live.insert(p.id);
    }
    std::erase_if(peers_, [&](const auto& entry) {
        if (live.contains(entry.first)) {
            return false;
        }
        for (auto& s : table_.all()) {
            s.load.forget_peer(entry.second.number);
        }
        return true;
    });
}

std::optional<selected_server> router::impl::select_server(const route_request& r, base::time_point now) {
    using enum candidate_filter;
    static constexpr std::array for_protected{reserved_with_room, any_with_room, reserved, any, last_resort};
    static constexpr std::array for_others{any_with_room, any, last_resort};
    const std::span<const candidate_filter> passes =
        r.urgent || !r.idempotent ? std::span<const candidate_filter>{for_protected} : for_others;
    for (const auto filter : passes) {
        if (auto c = select_server_with(filter, r, now)) {
            return c;
        }
    }
    return std::nullopt;
}

std::optional<selected_server> router::impl::select_server_with(candidate_filter filter,
                                                                const route_request& r,
                                                                base::time_point now) {
    for (const auto g : table_.groups_of(r.model)) {
        if (auto c = selection_.select(table_, table_.group(g), prefixes_, r, filter, random_, now)) {
            return c;
        }
    }
    return std::nullopt;
}

int router::impl::free_slots(base::time_point now) const {
    double own = 0;
    double others = 0;
    for (const auto& s : table_.all()) {
        if (!s.present || !s.used || s.draining) {
            continue;
        }
        auto& sum = s.own_zone ? own : others;
        sum += std::max(0.0, usable_slots(s, s.state.weight(now)) - s.load.load(now));
    }
    const double share = own / table_.own_zone_sharers() + others / table_.other_zone_sharers();
    return static_cast<int>(std::ceil(share));
}

std::vector<server_in_flight> router::impl::load_digest(std::size_t limit) const {
    std::vector<server_in_flight> out;
    for (const auto& s : table_.all()) {
        if (s.present && s.load.own_in_flight() > 0) {
            out.push_back({s.id, s.load.own_in_flight()});
        }
    }
    std::ranges::stable_sort(out, std::ranges::greater{}, &server_in_flight::in_flight);
    out.resize(std::min(out.size(), limit));
    return out;
}

std::vector<server_status> router::impl::snapshot(base::time_point now) const {
    std::vector<server_status> out;
    for (const auto& s : table_.all()) {
        if (s.present) {
            out.push_back({s.id, s.zone, s.load.load(now), s.load.own_in_flight(), s.slots, s.draining,
                           s.state.ejected(now), s.state.weight(now)});
        }
    }
    return out;
}

void router::impl::forget_server(server_index s) {
    prefixes_.forget(s);
    std::erase_if(attempts_, [s](const auto& entry) { return entry.second.server == s; });
}

void router::impl::record_latency(server_index s, base::duration latency, base::time_point now) {
    auto& entry = table_.at(s);
    entry.state.add_latency(latency);
    if (now - entry.latency_checked >= latency_check_interval) {
        entry.latency_checked = now;
        compare_latency(s, now);
    }
}

void router::impl::compare_latency(server_index s, base::time_point now) {
    auto& entry = table_.at(s);
    const auto own = entry.state.mean_latency();
    if (!own || entry.groups.empty()) {
        return;
    }
    std::vector<base::duration> means;
    for (const auto i : table_.group(entry.groups.front()).members) {
        if (const auto m = table_.at(i).state.mean_latency()) {
            means.push_back(*m);
        }
    }
    if (means.size() < least_compared) {
        return;
    }
    const auto middle = means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
    std::ranges::nth_element(means, middle);
    const auto bound = static_cast<double>(middle->count()) * options_.ejection.latency_factor;
    const bool slow = static_cast<double>(own->count()) > bound;
    entry.state.set_slow(slow && !table_.try_eject(s, now));
}

}  // namespace chicorygap::routing
