#include "prefix_index.h"

#include <algorithm>
#include <chrono>

namespace chicorygap::routing {

namespace {

// Limits the index to about 10 MB in each daemon.
constexpr std::size_t max_prefixes = 65536;
constexpr base::duration confirmed_lifetime = std::chrono::minutes{10};
// Shorter than the lifetime of confirmed entries, because the server may not have cached the prefix.
constexpr base::duration unconfirmed_lifetime = std::chrono::seconds{60};
constexpr base::duration stale_entry_lifetime = std::chrono::seconds{10};

}  // namespace

void prefix_index::apply(server_index s, const cache_event& e, base::time_point now) {
    auto& state = servers_[s];
    if (e.sequence <= state.last_sequence) {
        return;
    }
    const bool gap = state.last_sequence != 0 && e.sequence != state.last_sequence + 1;
    state.last_sequence = e.sequence;
    if (e.kind == cache_event::change::cleared) {
        state.min_valid_generation = ++state.generation;
        return;
    }
    if (gap) {
        state.generation++;
        state.stale_until = now + stale_entry_lifetime;
    }
    if (e.kind == cache_event::change::added) {
        add_entry(s, e.prefix, now, confirmed_lifetime);
    } else {
        remove_entry(s, e.prefix);
    }
}

void prefix_index::add_unconfirmed(server_index s, std::uint64_t prefix, base::time_point now) {
    add_entry(s, prefix, now, unconfirmed_lifetime);
}

void prefix_index::remove_server(server_index s) {
    servers_.erase(s);
    for (auto& [prefix, list] : entries_) {
        std::erase_if(list, [s](const entry& e) { return e.server == s; });
    }
}

void prefix_index::find_servers(std::uint64_t prefix, base::time_point now,
                                std::vector<server_index>& out) const {
    out.clear();
    const auto it = entries_.find(prefix);
    if (it == entries_.end()) {
        return;
    }
    for (const auto& e : it->second) {
        if (is_valid(e, now)) {
            out.push_back(e.server);
        }
    }
}

void prefix_index::add_entry(server_index s, std::uint64_t prefix, base::time_point now,
                             base::duration lifetime) {
    const auto [it, inserted] = entries_.try_emplace(prefix);
    if (inserted) {
        insertion_order_.push_back(prefix);
    }
    auto& list = it->second;
    const auto generation = servers_[s].generation;
    const auto existing = std::ranges::find(list, s, &entry::server);
    if (existing == list.end()) {
        list.push_back({s, generation, now + lifetime});
    } else {
        existing->generation = generation;
        existing->expires_at = std::max(existing->expires_at, now + lifetime);
    }
    evict();
}

void prefix_index::remove_entry(server_index s, std::uint64_t prefix) {
    const auto it = entries_.find(prefix);
    if (it != entries_.end()) {
        std::erase_if(it->second, [s](const entry& e) { return e.server == s; });
    }
}

void prefix_index::evict() {
    while (insertion_order_.size() > max_prefixes) {
        entries_.erase(insertion_order_.front());
        insertion_order_.pop_front();
    }
}

bool prefix_index::is_valid(const entry& e, base::time_point now) const {
    if (now >= e.expires_at) {
        return false;
    }
    const auto it = servers_.find(e.server);
    if (it == servers_.end() || e.generation == it->second.generation) {
        return true;
    }
    return e.generation >= it->second.min_valid_generation && now < it->second.stale_until;
}

}  // namespace chicorygap::routing
