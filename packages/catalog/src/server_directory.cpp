#include "catalog/server_directory.h"

namespace chicorygap::catalog {

void server_directory::store_reachable(bool value, base::time_point now) {
    if (value && !reachable_) {
        regained_ = now;
    }
    reachable_ = value;
}

void server_directory::observe(const std::vector<backend_server>& listed, base::time_point now) {
    for (auto& [id, e] : entries_) {
        e.listed = false;
    }
    for (const auto& s : listed) {
        entries_.insert_or_assign(s.id, entry{s, true});
    }
    expire(now);
}

bool server_directory::expire(base::time_point now) {
    if (!settled(now)) {
        return false;
    }
    return std::erase_if(entries_, [](const auto& e) { return !e.second.listed; }) > 0;
}

std::vector<backend_server> server_directory::servers() const {
    std::vector<backend_server> out;
    out.reserve(entries_.size());
    for (const auto& [id, e] : entries_) {
        out.push_back(e.server);
    }
    return out;
}

bool server_directory::settled(base::time_point now) const {
    return reachable_ && (!regained_ || now >= *regained_ + return_time_);
}

}  // namespace chicorygap::catalog
