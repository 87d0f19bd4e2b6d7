#include "catalog/server_directory.h"

#include <algorithm>
#include <chrono>

namespace chicorygap::catalog {

namespace {

using namespace std::chrono_literals;

/// Time after an outage in which live servers register again, as the platform states it.
constexpr base::duration register_time = 2s;
/// An entry that disappeared may belong to a server that left at the end of the outage. It must be dropped
/// before the server's drain time is over, with room for the way of a request.
constexpr base::duration drain_margin = 200ms;

}  // namespace

server_directory::server_directory(base::duration drain_time)
    : return_time_{std::max<base::duration>(0s, std::min(register_time, drain_time - drain_margin))} {}

void server_directory::set_store_reachable(bool value, base::time_point now) {
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
