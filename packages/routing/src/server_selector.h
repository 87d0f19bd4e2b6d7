/// @file
/// Server selection within one group.
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "prefix_index.h"
#include "routing/types.h"
#include "server_table.h"

#include <optional>
#include <vector>

namespace chicorygap::routing {

/// Servers that are eligible for selection. Draining and excluded servers never are.
enum class candidate_filter {
    reserved_with_free_slot,  ///< not reclaimable, with a free slot
    any_with_free_slot,       ///< with a free slot
    reserved,                 ///< not reclaimable
    any,                      ///< not ejected
    any_including_ejected,    ///< ejected or not
};

/// Selects a server of a group. Servers that have a prefix of the prompt cached are preferred while their
/// load is within a bound; otherwise the power of two random choices decides.
class server_selector {
public:
    /// @param o settings; must outlive this object.
    explicit server_selector(const options& o) : options_{&o} {}

    /// @return the selected server, or nothing if no member of the group passes the filter.
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
    [[nodiscard]] const candidate* select_by_prefix(const prefix_index& prefixes, const route_request& r,
                                                    base::time_point now);
    [[nodiscard]] const candidate& select_by_load(const base::random_function& random) const;
    [[nodiscard]] const candidate* find_candidate(server_index s) const;

    const options* options_;
    std::vector<candidate> candidates_;  // sorted by server index
    std::vector<server_index> cached_servers_;
    double total_load_ = 0;
    double total_capacity_ = 0;
};

/// @param weight fraction of its normal traffic that the server receives.
/// @return number of requests that the server may run concurrently at that weight; at least 1 unless it is
/// ejected.
double usable_slots(const server& s, double weight);

}  // namespace chicorygap::routing
