/// @file
/// Table of the servers of one service.
#pragma once

#include "base/id.h"
#include "base/time.h"
#include "load_estimate.h"
#include "prefix_index.h"
#include "routing/types.h"
#include "server_health.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicorygap::routing {

/// State of one server.
struct server {
    // Each selection reads the members up to `load` of every candidate.
    /// The server is in the list; false for an unused position of the table.
    bool present = false;
    bool draining = false;
    /// The server is in the zone of this daemon.
    bool own_zone = false;
    /// The server is in this daemon's subset of at least one of its groups.
    bool in_subset = false;
    bool reclaimable = false;
    int slots = 1;
    /// Number of slots times their speed.
    double capacity = 1.0;
    double cost = 1.0;
    server_health health;
    load_estimate load;
    base::backend_server_id id;
    base::zone_id zone;
    std::vector<std::string> models;
    /// Indices of the groups in which this daemon uses the server. Its latency is compared within the first
    /// one.
    std::vector<std::uint32_t> groups;
    base::time_point last_latency_check{};

    explicit server(const options& o) : health{o.ejection}, load{o.max_report_age} {}

    /// Applies an entry of the server list. A draining server remains draining, because the list lags.
    /// @param own zone of this daemon.
    void update(const server_info& info, const base::zone_id& own);
};

/// Servers of one zone that have one model loaded. The group of the empty model contains all servers of the
/// zone.
struct server_group {
    base::zone_id zone;
    std::string model;
    double mean_cost = 1.0;
    /// Positions of the servers that this daemon uses.
    std::vector<server_index> members;
};

/// Servers with stable positions, grouped by zone and model.
class server_table {
public:
    /// @param o settings; must outlive this object.
    explicit server_table(const options& o) : options_{&o} {}

    /// Replaces the server list. Servers in the new list keep their state.
    /// @return positions of the removed servers.
    std::vector<server_index> replace_servers(const std::vector<server_info>& list, base::time_point now);
    /// Replaces the list of daemons, which determines whether subsetting is active.
    void set_peers(const std::vector<peer_info>& peers, base::time_point now);
    /// Marks a server as draining until the list drops it.
    void mark_draining(server_index s, base::time_point now);

    [[nodiscard]] std::optional<server_index> find(const base::backend_server_id& id) const;
    [[nodiscard]] server& at(server_index s) { return servers_[s]; }
    [[nodiscard]] const server& at(server_index s) const { return servers_[s]; }
    [[nodiscard]] std::vector<server>& servers() noexcept { return servers_; }
    [[nodiscard]] const std::vector<server>& servers() const noexcept { return servers_; }

    /// @return indices of the model's groups: this daemon's zone first, then the others by ascending cost.
    [[nodiscard]] const std::vector<std::uint32_t>& groups_of(const std::string& model) const;
    [[nodiscard]] const server_group& group(std::uint32_t g) const { return groups_[g]; }

    /// Ejects a server unless this would exceed the ejection limit of one of its groups.
    /// @return true if the server was ejected.
    bool try_eject(server_index s, base::time_point now);

    /// @return mean number of daemons, including this one, that use a server of this daemon's zone.
    [[nodiscard]] double own_zone_daemons_per_server() const noexcept { return own_zone_daemons_per_server_; }
    /// @return number of daemons that may use a server of another zone, which are all daemons of the fleet.
    [[nodiscard]] double other_zone_daemons_per_server() const;

private:
    void insert(const server_info& info);
    void remove(server_index s);
    void rebuild_groups(base::time_point now);
    void add_group(const base::zone_id& zone, const std::string& model, std::vector<server_index> candidates);
    void sort_groups();
    void update_daemons_per_server();
    void apply_subset(std::vector<server_index>& candidates) const;
    void limit_ejections(base::time_point now);
    [[nodiscard]] int ejection_limit(const server_group& g) const;
    [[nodiscard]] std::vector<server_index> ejected_members(const server_group& g,
                                                            base::time_point now) const;
    [[nodiscard]] std::size_t own_zone_daemon_count() const;

    const options* options_;
    std::vector<server> servers_;
    std::vector<server_index> free_indices_;
    std::unordered_map<base::backend_server_id, server_index> index_by_id_;
    std::vector<server_group> groups_;
    std::unordered_map<std::string, std::vector<std::uint32_t>> groups_by_model_;
    std::vector<peer_info> peers_;
    double own_zone_daemons_per_server_ = 1;
};

}  // namespace chicorygap::routing
