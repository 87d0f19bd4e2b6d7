#include "server_table.h"

#include "rendezvous_subset.h"

#include <algorithm>
#include <tuple>
#include <unordered_set>
#include <utility>

namespace chicorygap::routing {

void server::update(const server_info& info, const base::zone_id& own) {
    id = info.id;
    zone = info.zone;
    models = info.models;
    slots = info.slots;
    capacity = info.speed * info.slots;
    cost = info.cost;
    reclaimable = info.reclaimable;
    own_zone = info.zone == own;
    draining = draining || info.draining;
}

std::vector<server_index> server_table::replace_servers(const std::vector<server_info>& list,
                                                        base::time_point now) {
    std::unordered_set<base::backend_server_id> listed;
    for (const auto& info : list) {
        listed.insert(info.id);
    }
    std::vector<server_index> removed;
    for (server_index s = 0; s < servers_.size(); s++) {
        if (servers_[s].present && !listed.contains(servers_[s].id)) {
            remove(s);
            removed.push_back(s);
        }
    }
    for (const auto& info : list) {
        insert(info);
    }
    rebuild_groups(now);
    return removed;
}

void server_table::set_peers(const std::vector<peer_info>& peers, base::time_point now) {
    peers_ = peers;
    rebuild_groups(now);
}

void server_table::mark_draining(server_index s, base::time_point now) {
    servers_[s].draining = true;
    limit_ejections(now);
}

std::optional<server_index> server_table::find(const base::backend_server_id& id) const {
    const auto it = index_by_id_.find(id);
    return it == index_by_id_.end() ? std::nullopt : std::optional{it->second};
}

const std::vector<std::uint32_t>& server_table::groups_of(const std::string& model) const {
    static const std::vector<std::uint32_t> none;
    const auto it = groups_by_model_.find(model);
    return it == groups_by_model_.end() ? none : it->second;
}

void server_table::insert(const server_info& info) {
    if (const auto known = find(info.id)) {
        servers_[*known].update(info, options_->zone);
        return;
    }
    server s{*options_};
    s.present = true;
    s.update(info, options_->zone);
    if (free_indices_.empty()) {
        index_by_id_[info.id] = static_cast<server_index>(servers_.size());
        servers_.push_back(std::move(s));
    } else {
        index_by_id_[info.id] = free_indices_.back();
        servers_[free_indices_.back()] = std::move(s);
        free_indices_.pop_back();
    }
}

void server_table::remove(server_index s) {
    index_by_id_.erase(servers_[s].id);
    servers_[s].present = false;
    servers_[s].in_subset = false;
    free_indices_.push_back(s);
}

void server_table::rebuild_groups(base::time_point now) {
    std::map<std::pair<std::string, std::string>, std::vector<server_index>> candidates;
    for (server_index i = 0; i < servers_.size(); i++) {
        auto& s = servers_[i];
        s.in_subset = false;
        s.groups.clear();
        if (!s.present) {
            continue;
        }
        for (const auto& model : s.models) {
            candidates[{model, s.zone.str()}].push_back(i);
        }
        candidates[{std::string{}, s.zone.str()}].push_back(i);
    }
    groups_.clear();
    groups_by_model_.clear();
    // The empty model sorts first. The reverse order makes the first group of a server that of one of its
    // models, if it has any.
    for (auto it = candidates.rbegin(); it != candidates.rend(); ++it) {
        add_group(base::zone_id{it->first.second}, it->first.first, std::move(it->second));
    }
    sort_groups();
    update_daemons_per_server();
    limit_ejections(now);
}

void server_table::add_group(const base::zone_id& zone, const std::string& model,
                             std::vector<server_index> candidates) {
    apply_subset(candidates);
    const auto g = static_cast<std::uint32_t>(groups_.size());
    double cost = 0;
    for (const auto i : candidates) {
        servers_[i].groups.push_back(g);
        servers_[i].in_subset = true;
        cost += servers_[i].cost;
    }
    const double mean = cost / static_cast<double>(candidates.size());
    groups_.push_back({zone, model, mean, std::move(candidates)});
    groups_by_model_[model].push_back(g);
}

void server_table::sort_groups() {
    for (auto& [model, list] : groups_by_model_) {
        std::ranges::sort(list, {}, [this](std::uint32_t g) {
            const auto& group = groups_[g];
            return std::tuple{group.zone != options_->zone, group.mean_cost, group.zone.str()};
        });
    }
}

void server_table::apply_subset(std::vector<server_index>& candidates) const {
    const auto subset_members = static_cast<double>(own_zone_daemon_count() * options_->subset_size);
    if (candidates.size() <= options_->subset_size ||
        subset_members < options_->min_daemons_per_server * static_cast<double>(candidates.size())) {
        return;
    }
    std::vector<base::backend_server_id> ids;
    ids.reserve(candidates.size());
    for (const auto i : candidates) {
        ids.push_back(servers_[i].id);
    }
    std::vector<server_index> subset;
    for (const auto i : rendezvous_subset(options_->self, ids, options_->subset_size)) {
        subset.push_back(candidates[i]);
    }
    candidates = std::move(subset);
}

bool server_table::try_eject(server_index s, base::time_point now) {
    for (const auto g : servers_[s].groups) {
        const auto ejected = static_cast<int>(ejected_members(groups_[g], now).size());
        if (ejected + 1 > ejection_limit(groups_[g])) {
            return false;
        }
    }
    servers_[s].health.eject(now);
    return true;
}

void server_table::limit_ejections(base::time_point now) {
    for (const auto& g : groups_) {
        auto ejected = ejected_members(g, now);
        std::ranges::sort(ejected, {}, [this](server_index s) { return servers_[s].health.ejected_until(); });
        const auto limit = static_cast<std::size_t>(ejection_limit(g));
        for (std::size_t i = 0; i + limit < ejected.size(); i++) {
            servers_[ejected[i]].health.end_ejection(now);
        }
    }
}

int server_table::ejection_limit(const server_group& g) const {
    const auto live =
        std::ranges::count_if(g.members, [this](server_index s) { return !servers_[s].draining; });
    return static_cast<int>(options_->ejection.max_ejected_share * static_cast<double>(live));
}

std::vector<server_index> server_table::ejected_members(const server_group& g, base::time_point now) const {
    std::vector<server_index> out;
    for (const auto s : g.members) {
        if (!servers_[s].draining && servers_[s].health.ejected(now)) {
            out.push_back(s);
        }
    }
    return out;
}

std::size_t server_table::own_zone_daemon_count() const {
    const auto n = std::ranges::count(peers_, options_->zone, &peer_info::zone);
    return std::max<std::size_t>(1, static_cast<std::size_t>(n));
}

void server_table::update_daemons_per_server() {
    double used = 0;
    double total = 0;
    for (const auto& s : servers_) {
        if (s.present && s.own_zone) {
            total += 1;
            used += s.in_subset ? 1 : 0;
        }
    }
    const auto daemons = static_cast<double>(own_zone_daemon_count());
    own_zone_daemons_per_server_ = total == 0 ? 1.0 : std::max(1.0, daemons * used / total);
}

double server_table::other_zone_daemons_per_server() const {
    return std::max(1.0, static_cast<double>(peers_.size()));
}

}  // namespace chicorygap::routing
