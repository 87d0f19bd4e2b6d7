/// @file
/// The servers of one service and their groups.
#pragma once

#include "base/id.h"
#include "base/time.h"
#include "health.h"
#include "load_estimate.h"
#include "prefix_index.h"
#include "routing/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicorygap::routing {

/// What the router knows about one server.
struct server {
    // The members up to `load` are read for every candidate of a decision.
    bool present = false;
    bool draining = false;
    bool own_zone = false;
    /// In this daemon's subset of at least one of its groups.
    bool used = false;
    bool reclaimable = false;
    int slots = 1;
    /// Slots times speed.
    double capacity = 1.0;
    double cost = 1.0;
    health state;
    load_estimate load;
    base::backend_server_id id;
    base::zone_id zone;
    std::vector<std::string> models;
    /// Positions of the groups in which this daemon uses the server; the first one serves latency comparison.
    std::vector<std::uint32_t> groups;
    base::time_point latency_checked{};

    explicit server(const options& o) : state{o.ejection}, load{o.report_lifetime} {}

    /// Copies the list entry. A server that was marked as leaving stays so, because the list lags.
    void update(const server_info& info, const base::zone_id& own);
};

/// Servers of one zone that have one model; all servers of the zone for the empty model.
struct server_group {
    base::zone_id zone;
    std::string model;
    double mean_cost = 1.0;
    /// Servers that this daemon uses.
    std::vector<server_index> members;
};

/// Table of servers with stable positions, grouped by zone and model.
class server_table {
public:
    /// @param o settings; must outlive the table.
    explicit server_table(const options& o) : options_{&o} {}

    /// Replaces the list. What is known about servers that stay is kept.
    /// @return positions of the servers that are gone.
    std::vector<server_index> replace(const std::vector<server_info>& list, base::time_point now);
    /// Replaces the fleet, which decides whether subsets are used.
    void set_peers(const std::vector<peer_info>& peers, base::time_point now);
    /// Marks a server as leaving until the list drops it.
    void set_draining(server_index s, base::time_point now);

    [[nodiscard]] std::optional<server_index> find(const base::backend_server_id& id) const;
    [[nodiscard]] server& at(server_index s) { return servers_[s]; }
    [[nodiscard]] const server& at(server_index s) const { return servers_[s]; }
    [[nodiscard]] std::vector<server>& all() noexcept { return servers_; }
    [[nodiscard]] const std::vector<server>& all() const noexcept { return servers_; }

    /// @return positions of the model's groups: the own zone first, then the others by cost.
    [[nodiscard]] const std::vector<std::uint32_t>& groups_of(const std::string& model) const;
    [[nodiscard]] const server_group& group(std::uint32_t g) const { return groups_[g]; }

    /// Ejects a server unless more than the permitted share of one of its groups would be ejected.
    /// @return true if it was ejected.
    bool try_eject(server_index s, base::time_point now);

    /// @return number of daemons, including this one, that share a server of the own zone.
    [[nodiscard]] double own_zone_sharers() const noexcept { return own_zone_sharers_; }
    /// @return the same for other zones, whose servers any daemon may use.
    [[nodiscard]] double other_zone_sharers() const;

private:
    void insert(const server_info& info);
    void remove(server_index s);
    void rebuild_groups(base::time_point now);
    void add_group(const base::zone_id& zone, const std::string& model, std::vector<server_index> candidates);
    void order_groups();
    void count_sharers();
    void apply_subset(std::vector<server_index>& candidates) const;
    void limit_ejections(base::time_point now);
    [[nodiscard]] int ejection_limit(const server_group& g) const;
    [[nodiscard]] std::vector<server_index> ejected_members(const server_group& g,
                                                            base::time_point now) const;
    [[nodiscard]] std::size_t zone_daemons() const;

    const options* options_;
    std::vector<server> servers_;
    std::vector<server_index> free_;
    std::unordered_map<base::backend_server_id, server_index> by_id_;
    std::vector<server_group> groups_;
    std::unordered_map<std::string, std::vector<std::uint32_t>> by_model_;
    std::vector<peer_info> peers_;
    double own_zone_sharers_ = 1;
};

}  // namespace chicorygap::routing
