#include "catalog/server_directory.h"

#include <algorithm>
#include <chrono>

namespace chicorygap::catalog {

namespace {

using namespace std::chrono_literals;

/// Time after an outage of the store in which live servers register again, as specified by the platform.
constexpr base::duration reregistration_time = 2s;
/// A missing entry may belong to a server that shut down at the end of the outage. The entry is removed this
/// long before the drain time of that server ends, so that requests already on their way still arrive in
/// time.
constexpr base::duration drain_margin = 200ms;
/// Time for which departures are remembered: well above the age of a copy that the store returns from.
constexpr base::duration departure_lifetime = 120s;

}  // namespace

server_directory::server_directory(base::duration drain_time)
    : registration_grace_{
          std::max<base::duration>(0s, std::min(reregistration_time, drain_time - drain_margin))} {}

void server_directory::set_store_reachable(bool reachable, base::time_point now) {
    if (reachable && !reachable_) {
        recovered_at_ = now;
    }
    reachable_ = reachable;
}

void server_directory::store_restored(base::time_point now) {
    recovered_at_ = now;
    last_failure_ = now;
    confirmed_by_peer_ = false;
}

bool server_directory::has_departed(const backend_server& s) const {
    const auto it = departures_.find(s.id);
    return it != departures_.end() && it->second.incarnation == s.incarnation;
}

void server_directory::record_departure(const backend_server& s, base::time_point now) {
    departures_.insert_or_assign(s.id, departure{s.incarnation, now});
}

void server_directory::observe(const std::vector<backend_server>& listed, base::time_point now,
                               const std::set<base::backend_server_id>& from_copy) {
    first_observed_at_ = first_observed_at_.value_or(now);
    confirmed_by_peer_ = false;
    ignored_count_ = 0;
    std::erase_if(departures_, [&](const auto& d) { return now - d.second.at > departure_lifetime; });
    for (auto& [id, e] : entries_) {
        e.listed = false;
    }
    for (const auto& s : listed) {
        const bool outdated = from_copy.contains(s.id) && has_departed(s);
        const auto known = entries_.find(s.id);
        if (outdated && known == entries_.end()) {
            ++ignored_count_;
            continue;
        }
        entry e{s, true};
        e.server.draining = s.draining || outdated;
        if (e.server.draining) {
            record_departure(s, now);
        } else {
            departures_.erase(s.id);
        }
        entries_.insert_or_assign(s.id, std::move(e));
    }
    expire(now);
}

bool server_directory::expire(base::time_point now) {
    if (!can_remove(now)) {
        return false;
    }
    return remove_missing(now);
}

bool server_directory::confirm_removals(base::time_point now) {
    confirmed_by_peer_ = true;
    return remove_missing(now);
}

// Stricter than the condition for removing entries here: a single failed call may be all that this daemon saw
// of a short outage, and peers that saw more of it must not be misled.
bool server_directory::removals_final(base::time_point now) const {
    const auto undisturbed = [&](const std::optional<base::time_point>& since) {
        return !since || now >= *since + registration_grace_;
    };
    return confirmed_by_peer_ || (first_observed_at_ && can_remove(now) && undisturbed(first_observed_at_) &&
                                  undisturbed(last_failure_));
}

bool server_directory::remove_missing(base::time_point now) {
    return std::erase_if(entries_, [&](const auto& e) {
               if (!e.second.listed) {
                   record_departure(e.second.server, now);
               }
               return !e.second.listed;
           }) > 0;
}

std::vector<backend_server> server_directory::servers() const {
    std::vector<backend_server> out;
    out.reserve(entries_.size());
    for (const auto& [id, e] : entries_) {
        out.push_back(e.server);
    }
    return out;
}

std::size_t server_directory::kept_count() const {
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(), [](const auto& e) { return !e.second.listed; }));
}

bool server_directory::can_remove(base::time_point now) const {
    return reachable_ && (!recovered_at_ || now >= *recovered_at_ + registration_grace_);
}

}  // namespace chicorygap::catalog
