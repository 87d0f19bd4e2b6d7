#include "member_list.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <chrono>
#include <iterator>
#include <tuple>
#include <utility>

namespace chicorygap::membership {

namespace {

// Partitions last about an hour; unreachable members are kept and probed occasionally until they respond.
constexpr base::duration dead_retention = std::chrono::hours{2};
// A member that left does not return under its incarnation; it is kept so that delayed updates cannot add it
// again.
constexpr base::duration left_retention = std::chrono::minutes{1};
constexpr base::duration recent_change_window = std::chrono::seconds{10};
// Sends of an update per doubling of the member count; three sends reach nearly every member.
constexpr int sends_per_doubling = 3;

}  // namespace

bool supersedes(const member& a, const member& b) {
    return std::tuple{a.incarnation, a.sequence, a.state} > std::tuple{b.incarnation, b.sequence, b.state};
}

bool is_live(const member& m) {
    return m.state == member_state::alive || m.state == member_state::suspect;
}

bool member_list::merge(const member& m, base::time_point now, base::duration suspicion_timeout) {
    const auto it = entries_.find(m.address);
    if (it == entries_.end()) {
        if (!is_live(m)) {
            return false;
        }
        store(entries_[m.address], m, now, suspicion_timeout);
        return true;
    }
    const bool left = it->second.info.state == member_state::left;
    if (!supersedes(m, it->second.info) || (left && m.incarnation == it->second.info.incarnation)) {
        return false;
    }
    store(it->second, m, now, suspicion_timeout);
    return true;
}

std::optional<member> member_list::suspect(const std::string& address, base::time_point now,
                                           base::duration suspicion_timeout) {
    const auto it = entries_.find(address);
    if (it == entries_.end() || it->second.info.state != member_state::alive) {
        return std::nullopt;
    }
    auto m = it->second.info;
    m.state = member_state::suspect;
    store(it->second, m, now, suspicion_timeout);
    return m;
}

std::vector<member> member_list::expire(base::time_point now) {
    std::vector<member> out;
    for (auto& [address, e] : entries_) {
        if (e.info.state == member_state::suspect && now >= e.deadline) {
            auto m = e.info;
            m.state = member_state::dead;
            store(e, m, now, {});
            out.push_back(std::move(m));
        }
    }
    std::erase_if(entries_, [now](const auto& pair) {
        const auto& e = pair.second;
        return (e.info.state == member_state::dead && now > e.changed + dead_retention) ||
               (e.info.state == member_state::left && now > e.changed + left_retention);
    });
    return out;
}

void member_list::extend_suspicions(base::duration pause) {
    for (auto& [address, e] : entries_) {
        e.deadline += pause;
    }
}

std::optional<std::string> member_list::next_probe(const base::random_function& random) {
    for (int attempt = 0; attempt < 2; attempt++) {
        while (!probe_order_.empty()) {
            auto address = std::move(probe_order_.back());
            probe_order_.pop_back();
            const auto* m = find(address);
            if (m != nullptr && is_live(*m)) {
                return address;
            }
        }
        for (const auto& m : live()) {
            probe_order_.push_back(m.address);
        }
        for (std::size_t i = probe_order_.size(); i > 1; i--) {
            std::swap(probe_order_[i - 1], probe_order_[base::pick(random, i)]);
        }
    }
    return std::nullopt;
}

std::vector<member> member_list::take_updates(std::size_t n) {
    std::vector<entry*> updates;
    for (auto& [address, e] : entries_) {
        if (e.remaining_sends > 0) {
            updates.push_back(&e);
        }
    }
    std::ranges::stable_sort(updates, std::ranges::greater{}, &entry::remaining_sends);
    updates.resize(std::min(n, updates.size()));
    std::vector<member> out;
    for (auto* e : updates) {
        e->remaining_sends--;
        out.push_back(e->info);
    }
    return out;
}

std::vector<member> member_list::members_from(std::size_t n, std::uint64_t position) const {
    std::vector<member> out;
    if (entries_.empty()) {
        return out;
    }
    const auto start = ((position >> 32) * entries_.size()) >> 32;
    auto it = std::next(entries_.begin(), static_cast<std::ptrdiff_t>(start));
    for (std::size_t i = 0; i < std::min(n, entries_.size()); i++) {
        out.push_back(it->second.info);
        it = std::next(it) == entries_.end() ? entries_.begin() : std::next(it);
    }
    return out;
}

bool member_list::changed_recently(const std::string& address, base::time_point now) const {
    const auto it = entries_.find(address);
    return it != entries_.end() && now - it->second.changed < recent_change_window;
}

const member* member_list::find(const std::string& address) const {
    const auto it = entries_.find(address);
    return it == entries_.end() ? nullptr : &it->second.info;
}

std::vector<member> member_list::live() const {
    std::vector<member> out;
    for (const auto& [address, e] : entries_) {
        if (is_live(e.info)) {
            out.push_back(e.info);
        }
    }
    return out;
}

std::vector<std::string> member_list::dead() const {
    std::vector<std::string> out;
    for (const auto& [address, e] : entries_) {
        if (e.info.state == member_state::dead) {
            out.push_back(address);
        }
    }
    return out;
}

std::size_t member_list::live_count() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(entries_, [](const auto& pair) { return is_live(pair.second.info); }));
}

std::uint64_t member_list::live_hash(const std::string& self) const {
    auto hash = XXH64(self.data(), self.size(), 0);
    for (const auto& [address, e] : entries_) {
        hash ^= is_live(e.info) ? XXH64(address.data(), address.size(), 0) : 0;
    }
    return hash;
}

void member_list::store(entry& e, const member& m, base::time_point now, base::duration suspicion_timeout) {
    e.info = m;
    e.changed = now;
    e.deadline = now + suspicion_timeout;
    e.remaining_sends = sends_per_update();
}

int member_list::sends_per_update() const {
    return sends_per_doubling * static_cast<int>(std::bit_width(entries_.size() + 1));
}

}  // namespace chicorygap::membership
