#include "remote_zones.h"

#include "member_list.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace chicorygap::membership {

namespace {

// More than the contacts, so that a failed contact can be replaced at once.
constexpr std::size_t candidates_per_zone = 8;
constexpr int failures_before_replacement = 2;

std::uint64_t rendezvous_weight(const std::string& self, const std::string& address) {
    const auto seed = XXH64(self.data(), self.size(), 0);
    return XXH64(address.data(), address.size(), seed);
}

// Position after `key` in cyclic order. The map must not be empty.
template <typename Map>
auto cyclic_next(Map& map, const std::string& key) {
    auto it = map.upper_bound(key);
    return it == map.end() ? map.begin() : it;
}

}  // namespace

void remote_zones::merge(const member& m) {
    auto& zone = zones_[m.zone.str()];
    const auto it =
        std::ranges::find(zone.candidates, m.address, [](const remote_daemon& r) { return r.info.address; });
    if (it == zone.candidates.end()) {
        if (is_live(m)) {
            zone.candidates.push_back({m, rendezvous_weight(self_, m.address), 0});
        }
    } else if (supersedes(m, it->info)) {
        it->info = m;
        it->failures = 0;
    }
    std::erase_if(zone.candidates, [](const remote_daemon& r) { return r.info.state == member_state::left; });
    sort(zone);
    zone.candidates.resize(std::min(zone.candidates.size(), candidates_per_zone));
}

void remote_zones::merge(const zone_summary& z, base::time_point now) {
    auto& zone = zones_[z.zone.str()];
    const auto reported_at = now - z.age;
    if (!zone.has_summary || reported_at > zone.summary_time) {
        zone.has_summary = true;
        zone.summary_time = reported_at;
        zone.daemon_count = z.member_count;
    }
}

void remote_zones::record_probe(const std::string& address, bool acknowledged) {
    if (auto* r = find_remote(address)) {
        r->failures = acknowledged ? 0 : r->failures + 1;
        sort(zones_[r->info.zone.str()]);
    }
}

std::optional<std::string> remote_zones::next_probe() {
    for (std::size_t i = 0; i < zones_.size(); i++) {
        const auto it = cyclic_next(zones_, last_probed_zone_);
        last_probed_zone_ = it->first;
        auto& zone = it->second;
        const auto n = std::min(contacts_per_zone_, zone.candidates.size());
        if (n > 0) {
            return zone.candidates[zone.next_contact++ % n].info.address;
        }
    }
    return std::nullopt;
}

std::vector<zone_summary> remote_zones::take_summaries(std::size_t n, base::time_point now) {
    std::vector<zone_summary> out;
    for (std::size_t i = 0; i < zones_.size() && out.size() < n; i++) {
        const auto it = cyclic_next(zones_, last_summary_zone_);
        last_summary_zone_ = it->first;
        if (it->second.has_summary) {
            out.push_back({base::zone_id{it->first}, it->second.daemon_count, now - it->second.summary_time});
        }
    }
    return out;
}

const member* remote_zones::find(const std::string& address) const {
    for (const auto& [name, zone] : zones_) {
        for (const auto& r : zone.candidates) {
            if (r.info.address == address) {
                return &r.info;
            }
        }
    }
    return nullptr;
}

std::vector<member> remote_zones::contacts() const {
    std::vector<member> out;
    for (const auto& [name, zone] : zones_) {
        for (std::size_t i = 0; i < std::min(contacts_per_zone_, zone.candidates.size()); i++) {
            out.push_back(zone.candidates[i].info);
        }
    }
    return out;
}

std::vector<base::zone_id> remote_zones::zones() const {
    std::vector<base::zone_id> out;
    for (const auto& [name, zone] : zones_) {
        out.emplace_back(name);
    }
    return out;
}

bool remote_zones::reachable(const base::zone_id& zone, base::time_point now, base::duration limit) const {
    const auto it = zones_.find(zone.str());
    return it != zones_.end() && it->second.has_summary && now - it->second.summary_time <= limit;
}

std::uint32_t remote_zones::daemon_count(const base::zone_id& zone) const {
    const auto it = zones_.find(zone.str());
    return it == zones_.end() ? 0 : it->second.daemon_count;
}

std::size_t remote_zones::total_daemon_count() const {
    std::size_t n = 0;
    for (const auto& [name, zone] : zones_) {
        n += zone.daemon_count;
    }
    return n;
}

void remote_zones::sort(zone_state& z) {
    std::ranges::sort(z.candidates, {}, [](const remote_daemon& r) {
        const bool failed = r.failures >= failures_before_replacement || !is_live(r.info);
        return std::tuple{failed, ~r.weight};
    });
}

remote_zones::remote_daemon* remote_zones::find_remote(const std::string& address) {
    for (auto& [name, zone] : zones_) {
        for (auto& r : zone.candidates) {
            if (r.info.address == address) {
                return &r;
            }
        }
    }
    return nullptr;
}

}  // namespace chicorygap::membership
