#include "pressure_board.h"

#include <algorithm>
#include <chrono>

namespace chicorygap::membership {

namespace {

// Gossip takes about four seconds to reach 90 daemons; a shorter lifetime would make the last ones flicker.
constexpr base::duration level_lifetime = std::chrono::seconds{5};

}  // namespace

void pressure_board::set_local(const std::vector<local_service>& services) {
    std::map<std::string, state> next;
    for (const auto& s : services) {
        const auto it = services_.find(s.service.str());
        auto& entry = next[s.service.str()];
        entry = it == services_.end() ? state{.reported = s.pressure} : it->second;
        entry.version = s.version;
        entry.local = s.pressure;
    }
    services_ = std::move(next);
}

void pressure_board::merge(const service_digest& d, base::time_point now) {
    const auto it = services_.find(d.service.str());
    if (it == services_.end()) {
        return;
    }
    auto& s = it->second;
    const auto stated = now - d.pressure_age;
    const bool expired = !s.heard || now - s.stated > level_lifetime;
    const bool stricter = d.pressure < s.level || (d.pressure == s.level && stated > s.stated);
    if (d.pressure_age <= level_lifetime && (expired || stricter)) {
        s.heard = true;
        s.level = d.pressure;
        s.stated = stated;
    }
}

std::vector<service_digest> pressure_board::take(std::size_t n, base::time_point now) {
    std::vector<service_digest> out;
    while (out.size() < std::min(n, services_.size())) {
        auto it = services_.upper_bound(rotation_);
        it = it == services_.end() ? services_.begin() : it;
        rotation_ = it->first;
        const auto& s = it->second;
        const auto age = heard_is_stricter(s, now) ? now - s.stated : base::duration{};
        out.push_back({base::service_id{it->first}, s.version, effective(s, now), age});
    }
    return out;
}

std::vector<pressure_changed> pressure_board::changes(base::time_point now) {
    std::vector<pressure_changed> out;
    for (auto& [service, s] : services_) {
        if (const auto level = effective(s, now); level != s.reported) {
            s.reported = level;
            out.push_back({base::service_id{service}, level});
        }
    }
    return out;
}

std::uint8_t pressure_board::level(const base::service_id& service, base::time_point now) const {
    const auto it = services_.find(service.str());
    return it == services_.end() ? std::uint8_t{0} : effective(it->second, now);
}

bool pressure_board::heard_is_stricter(const state& s, base::time_point now) {
    return s.heard && now - s.stated <= level_lifetime && s.level < s.local;
}

std::uint8_t pressure_board::effective(const state& s, base::time_point now) {
    return heard_is_stricter(s, now) ? s.level : s.local;
}

}  // namespace chicorygap::membership
