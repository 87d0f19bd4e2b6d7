#include "prefix_index.h"

#include <algorithm>
#include <chrono>

namespace chicorygap::routing {

namespace {

// Bounds the index to about 10 MB in each daemon.
constexpr std::size_t max_prefixes = 65536;
constexpr base::duration confirmed_lifetime = std::chrono::minutes{10};
// An assumed prefix that no event confirms may never have been cached.
constexpr base::duration assumed_lifetime = std::chrono::seconds{60};
constexpr base::duration doubt_time = std::chrono::seconds{10};

}  // namespace

void prefix_index::apply(server_index s, const cache_event& e, base::time_point now) {
    auto& state = servers_[s];
    if (e.sequence <= state.sequence) {
        return;
    }
    const bool gap = state.sequence != 0 && e.sequence != state.sequence + 1;
    state.sequence = e.sequence;
    if (e.kind == cache_event::change::cleared) {
        state.cleared = ++state.generation;
        return;
    }
    if (gap) {
        state.generation++;
        state.doubt_ends = now + doubt_time;
    }
    if (e.kind == cache_event::change::added) {
        add(s, e.prefix, now, confirmed_lifetime);
    } else {
        remove(s, e.prefix);
    }
}

void prefix_index::assume(server_index s, std::uint64_t prefix, base::time_point now) {
    add(s, prefix, now, assumed_lifetime);
}

void prefix_index::forget(server_index s) {
    servers_.erase(s);
    for (auto& [prefix, list] : entries_) {
        std::erase_if(list, [s](const entry& e) { return e.server == s; });
    }
}

void prefix_index::holders(std::uint64_t prefix, base::time_point now, std::vector<server_index>& out) const {
    out.clear();
    const auto it = entries_.find(prefix);
    if (it == entries_.end()) {
        return;
    }
    for (const auto& e : it->second) {
        if (valid(e, now)) {
            out.push_back(e.server);
        }
    }
}

void prefix_index::add(server_index s, std::uint64_t prefix, base::time_point now, base::duration lifetime) {
    const auto [it, inserted] = entries_.try_emplace(prefix);
    if (inserted) {
        order_.push_back(prefix);
    }
    auto& list = it->second;
    const auto generation = servers_[s].generation;
    const auto old = std::ranges::find(list, s, &entry::server);
    if (old == list.end()) {
        list.push_back({s, generation, now + lifetime});
    } else {
        old->generation = generation;
        old->expires = std::max(old->expires, now + lifetime);
    }
    evict();
}

void prefix_index::remove(server_index s, std::uint64_t prefix) {
    const auto it = entries_.find(prefix);
    if (it != entries_.end()) {
        std::erase_if(it->second, [s](const entry& e) { return e.server == s; });
    }
}

void prefix_index::evict() {
    while (order_.size() > max_prefixes) {
        entries_.erase(order_.front());
        order_.pop_front();
    }
}

bool prefix_index::valid(const entry& e, base::time_point now) const {
    if (now >= e.expires) {
        return false;
    }
    const auto it = servers_.find(e.server);
    if (it == servers_.end() || e.generation == it->second.generation) {
        return true;
    }
    return e.generation >= it->second.cleared && now < it->second.doubt_ends;
}

}  // namespace chicorygap::routing
