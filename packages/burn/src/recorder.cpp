#include "burn/recorder.h"

#include "cause_counter.h"
#include "ring.h"

#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chicorygap::burn {

namespace {

template <std::size_t N>
using rings = std::array<ring<N>, window_count>;

template <std::size_t N>
void add_to(rings<N>& r, const counts& c, base::time_point now) {
    for (std::size_t i = 0; i < window_count; ++i) {
        r[i].add(c, windows[i].length, now);
    }
}

struct class_counters {
    base::service_id service;
    base::class_id service_class;
    rings<class_buckets> total;
    std::unordered_map<base::workspace_id, rings<workspace_buckets>> workspaces;
    cause_counter codes;
    cause_counter zones;
    cause_counter servers;
};

void record_miss(class_counters& c, const outcome& o, base::time_point now) {
    c.codes.add(o.code == base::result_code::ok ? "late" : std::string{to_string(o.code)}, now);
    c.zones.add(o.zone.empty() ? "none" : o.zone.str(), now);
    c.servers.add(o.server.empty() ? "none" : o.server.str(), now);
}

class_digest make_digest(const class_counters& c, base::time_point now) {
    class_digest d;
    d.service = c.service;
    d.service_class = c.service_class;
    for (std::size_t i = 0; i < window_count; ++i) {
        d.history[i] = c.total[i].at(windows[i].length, now);
    }
    for (const auto& [workspace, r] : c.workspaces) {
        workspace_digest w{workspace, {}};
        for (std::size_t i = 0; i < window_count; ++i) {
            w.windows[i] = r[i].sum(windows[i].length, now);
        }
        if (w.windows[window_3d].total > 0) {
            d.workspaces.push_back(std::move(w));
        }
    }
    d.reasons = {c.codes.at(now), c.zones.at(now), c.servers.at(now)};
    return d;
}

}  // namespace

class recorder::state {
public:
    explicit state(base::vm_id daemon) : daemon_{std::move(daemon)} {}

    void record(const outcome& o, base::time_point now) {
        class_counters& c = classes_[o.service][o.service_class];
        c.service = o.service;
        c.service_class = o.service_class;
        const counts one{1, o.attained ? 1U : 0U};
        add_to(c.total, one, now);
        add_to(c.workspaces[o.workspace], one, now);
        if (!o.attained) {
            record_miss(c, o, now);
        }
    }

    [[nodiscard]] digest snapshot(base::time_point now) const {
        digest d{daemon_, {}};
        for (const auto& [service, classes] : classes_) {
            for (const auto& [name, c] : classes) {
                d.classes.push_back(make_digest(c, now));
            }
        }
        return d;
    }

private:
    base::vm_id daemon_;
    std::unordered_map<base::service_id, std::unordered_map<base::class_id, class_counters>> classes_;
};

recorder::recorder(base::vm_id daemon) : state_{std::make_unique<state>(std::move(daemon))} {}
recorder::~recorder() = default;
recorder::recorder(recorder&&) noexcept = default;
recorder& recorder::operator=(recorder&&) noexcept = default;

void recorder::record(const outcome& o, base::time_point now) {
    state_->record(o, now);
}

digest recorder::snapshot(base::time_point now) const {
    return state_->snapshot(now);
}

}  // namespace chicorygap::burn
