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

// Limits how often the median is computed, which takes microseconds for 600 servers.
constexpr base::duration latency_check_interval = std::chrono::seconds{1};
// With fewer servers, the median does not identify the outlier.
constexpr std::size_t min_compared_servers = 3;

bool is_server_failure(result_code c) {
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
    : options_{std::move(o)}, random_{std::move(random)}, table_{options_}, selector_{options_} {}

void router::impl::on(const servers_changed& e, base::time_point now) {
    for (const auto s : table_.replace_servers(e.servers, now)) {
        remove_server(s);
    }
}

void router::impl::on(const server_draining& e, base::time_point now) {
    if (const auto s = table_.find(e.server)) {
        table_.mark_draining(*s, now);
    }
}

void router::impl::on(const load_reported& e, base::time_point now) {
    if (const auto s = table_.find(e.server)) {
        table_.at(*s).load.record_report(e.running + e.queued, now - e.age, now);
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
        peer.number = next_peer_number_++;
    }
    const auto measured = now - e.age;
    std::unordered_set<base::backend_server_id> listed;
    const auto apply = [&](const base::backend_server_id& id, int in_flight) {
        if (const auto s = table_.find(id)) {
            table_.at(*s).load.record_peer_report(peer.number, in_flight, measured);
        }
    };
    for (const auto& load : e.loads) {
        listed.insert(load.server);
        apply(load.server, load.in_flight);
    }
    for (const auto& id : peer.listed_servers) {
        if (!listed.contains(id)) {
            apply(id, 0);
        }
    }
    peer.listed_servers.assign(listed.begin(), listed.end());
}

void router::impl::on(const attempt_started& e, base::time_point now) {
    const auto s = table_.find(e.server);
    if (!s || !attempts_.try_emplace(e.id, running_attempt{*s, now, false}).second) {
        return;
    }
    table_.at(*s).load.record_start(now);
    if (e.prefix != 0) {
        prefixes_.add_unconfirmed(*s, e.prefix, now);
    }
}

void router::impl::on(const attempt_output_received& e, base::time_point now) {
    const auto it = attempts_.find(e.id);
    if (it == attempts_.end() || it->second.output_received) {
        return;
    }
    it->second.output_received = true;
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
    s.load.record_end(a.started, now);
    if (e.outcome == result_code::ok) {
        s.health.record_success(now);
        if (!a.output_received) {
            record_latency(a.server, now - a.started, now);
        }
    } else if (is_server_failure(e.outcome) && s.health.record_failure(now)) {
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
        for (auto& s : table_.servers()) {
            s.load.remove_peer(entry.second.number);
        }
        return true;
    });
}

std::optional<selected_server> router::impl::select_server(const route_request& r, base::time_point now) {
    using enum candidate_filter;
    static constexpr std::array reserved_first{reserved_with_free_slot, any_with_free_slot, reserved, any,
                                               any_including_ejected};
    static constexpr std::array any_first{any_with_free_slot, any, any_including_ejected};
    const std::span<const candidate_filter> filters =
        r.urgent || !r.idempotent ? std::span<const candidate_filter>{reserved_first} : any_first;
    for (const auto filter : filters) {
        if (auto c = select_with_filter(filter, r, now)) {
            return c;
        }
    }
    return std::nullopt;
}

std::optional<selected_server> router::impl::select_with_filter(candidate_filter filter,
                                                                const route_request& r,
                                                                base::time_point now) {
    for (const auto g : table_.groups_of(r.model)) {
        if (auto c = selector_.select(table_, table_.group(g), prefixes_, r, filter, random_, now)) {
            return c;
        }
    }
    return std::nullopt;
}

int router::impl::free_slots(base::time_point now) const {
    double own = 0;
    double others = 0;
    for (const auto& s : table_.servers()) {
        if (!s.present || !s.in_subset || s.draining) {
            continue;
        }
        auto& sum = s.own_zone ? own : others;
        sum += std::max(0.0, usable_slots(s, s.health.weight(now)) - s.load.estimate(now));
    }
    const double share =
        own / table_.own_zone_daemons_per_server() + others / table_.other_zone_daemons_per_server();
    return static_cast<int>(std::ceil(share));
}

std::vector<server_in_flight> router::impl::load_digest(std::size_t limit) const {
    std::vector<server_in_flight> out;
    for (const auto& s : table_.servers()) {
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
    for (const auto& s : table_.servers()) {
        if (s.present) {
            out.push_back({s.id, s.zone, s.load.estimate(now), s.load.own_in_flight(), s.slots, s.draining,
                           s.health.ejected(now), s.health.weight(now)});
        }
    }
    return out;
}

void router::impl::remove_server(server_index s) {
    prefixes_.remove_server(s);
    std::erase_if(attempts_, [s](const auto& entry) { return entry.second.server == s; });
}

void router::impl::record_latency(server_index s, base::duration latency, base::time_point now) {
    auto& entry = table_.at(s);
    entry.health.record_latency(latency);
    if (now - entry.last_latency_check >= latency_check_interval) {
        entry.last_latency_check = now;
        check_latency(s, now);
    }
}

void router::impl::check_latency(server_index s, base::time_point now) {
    auto& entry = table_.at(s);
    const auto own = entry.health.mean_latency();
    if (!own || entry.groups.empty()) {
        return;
    }
    std::vector<base::duration> means;
    for (const auto i : table_.group(entry.groups.front()).members) {
        if (const auto m = table_.at(i).health.mean_latency()) {
            means.push_back(*m);
        }
    }
    if (means.size() < min_compared_servers) {
        return;
    }
    const auto median = means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
    std::ranges::nth_element(means, median);
    const auto max_latency = static_cast<double>(median->count()) * options_.ejection.latency_factor;
    const bool slow = static_cast<double>(own->count()) > max_latency;
    entry.health.set_slow(slow && !table_.try_eject(s, now));
}

}  // namespace chicorygap::routing
