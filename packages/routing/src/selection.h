/// @file
/// Choice among the servers of one group.
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "prefix_index.h"
#include "routing/types.h"
#include "server_table.h"

#include <optional>
#include <vector>

namespace chicorygap::routing {

/// Servers that a selection may consider.
enum class candidate_filter {
    reserved_with_room,  ///< not reclaimable, with a free slot
    any_with_room,       ///< with a free slot
    reserved,            ///< not reclaimable
    any,                 ///< not leaving and not ejected
    last_resort,         ///< not leaving
};

/// Selects a server of a group: by cached prefix within a bound on imbalance, else by power of two random
/// choices.
class selection {
public:
    /// @param o settings; must outlive this object.
    explicit selection(const options& o) : options_{&o} {}

    /// @return position of the selected server, or nothing if no member passes the filter.
    std::optional<selected_server> select(const server_table& table, const server_group& group,
                                          const prefix_index& prefixes, const route_request& r,
                                          candidate_filter filter, const base::random_function& random,
                                          base::time_point now);

private:
    struct candidate {
        server_index server = 0;
        double load = 0;
        double capacity = 1;
        double cost_factor = 1;
        bool has_free_slot = true;

        [[nodiscard]] double score() const { return (load + 1) / capacity * cost_factor; }
    };

    void collect(const server_table& table, const server_group& group, const route_request& r,
                 candidate_filter filter, base::time_point now);
    [[nodiscard]] const candidate* by_prefix(const prefix_index& prefixes, const route_request& r,
                                             base::time_point now);
    [[nodiscard]] const candidate& by_load(const base::random_function& random) const;
    [[nodiscard]] const candidate* find(server_index s) const;

    const options* options_;
    std::vector<candidate> candidates_;  // ascending by server
    std::vector<server_index> holders_;
    double total_load_ = 0;
    double total_capacity_ = 0;
};

/// @param weight the server's present share of traffic.
/// @return requests that the server can run at once at that weight, at least 1 unless it is ejected.
double usable_slots(const server& s, double weight);

}  // namespace chicorygap::routing
