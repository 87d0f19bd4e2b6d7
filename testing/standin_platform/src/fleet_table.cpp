#include "standin_platform/fleet_table.h"

#include <algorithm>
#include <utility>

namespace chicorygap::standin_platform {

namespace {

template <typename Item>
void upsert(std::vector<Item>& items, const Item& item) {
    const auto it = std::find_if(items.begin(), items.end(), [&](const Item& i) { return i.id == item.id; });
    if (it == items.end()) {
        items.push_back(item);
    } else {
        *it = item;
    }
}

bool fits(const ports::backend_server& spare, const ports::order& o) {
    return spare.zone == o.zone && spare.service == o.service && spare.kind == o.server_kind;
}

}  // namespace

fleet_table::fleet_table(base::duration lag, base::now_function now) : lag_{lag}, now_{std::move(now)} {
    history_.push_back({base::time_point::min(), {}, {}});
}

fleet_table::state& fleet_table::next() {
    const auto now = now_();
    const auto visible_at = now - lag_;
    // Only the newest of the states that are old enough to be listed is still needed.
    while (history_.size() > 1 && history_[1].since <= visible_at) {
        history_.erase(history_.begin());
    }
    state copy = history_.back();
    copy.since = now;
    history_.push_back(std::move(copy));
    return history_.back();
}

const fleet_table::state& fleet_table::visible() const {
    const auto visible_at = now_() - lag_;
    const auto it = std::find_if(history_.rbegin(), history_.rend(),
                                 [&](const state& s) { return s.since <= visible_at; });
    return it == history_.rend() ? history_.front() : *it;
}

void fleet_table::set(const ports::vm& v) {
    const std::lock_guard lock{mutex_};
    upsert(next().vms, v);
}

void fleet_table::set(const ports::backend_server& s) {
    const std::lock_guard lock{mutex_};
    upsert(next().servers, s);
}

void fleet_table::remove(const std::string& id) {
    const std::lock_guard lock{mutex_};
    auto& s = next();
    std::erase_if(s.vms, [&](const auto& v) { return v.id.str() == id; });
    std::erase_if(s.servers, [&](const auto& b) { return b.id.str() == id; });
}

void fleet_table::add_spare(const ports::backend_server& s) {
    const std::lock_guard lock{mutex_};
    spares_.push_back(s);
}

void fleet_table::apply(const ports::order& o) {
    const std::lock_guard lock{mutex_};
    auto& s = next();
    if (o.action == ports::order_action::release) {
        for (auto& b : s.servers) {
            b.state = b.id == o.server ? ports::vm_state::leaving : b.state;
        }
        return;
    }
    for (std::uint32_t i = 0; i < o.count; ++i) {
        const auto it =
            std::find_if(spares_.begin(), spares_.end(), [&](const auto& b) { return fits(b, o); });
        if (it == spares_.end()) {
            return;
        }
        upsert(s.servers, *it);
        spares_.erase(it);
    }
}

std::vector<ports::vm> fleet_table::vms() const {
    const std::lock_guard lock{mutex_};
    return visible().vms;
}

std::vector<ports::backend_server> fleet_table::servers(const base::zone_id& zone) const {
    const std::lock_guard lock{mutex_};
    auto out = visible().servers;
    std::erase_if(out, [&](const auto& s) { return !zone.empty() && s.zone != zone; });
    return out;
}

}  // namespace chicorygap::standin_platform
