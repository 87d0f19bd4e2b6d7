/// @file
/// What other daemons reported of their load.
#pragma once

#include "base/id.h"
#include "base/time.h"
#include "scheduling/load.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace chicorygap::scheduling {

struct server_state;

/// What other daemons, or zones, reported of their load on the servers of one service.
///
/// Answers the patterns of daemons that count the same free place twice, and of reports that are older than
/// the queues they describe: queues count less the older the report is, and the rate at which they fill
/// counts instead.
class peer_loads {
public:
    /// Takes a report; it replaces the last one of that peer.
    /// @param valid_until time after which it is forgotten.
    void set(const base::vm_id& peer, const load_report& r, base::time_point valid_until,
             base::time_point now);

    /// Forgets old reports and writes the sums of the others into the servers.
    void apply(const std::vector<server_state*>& servers, base::time_point now);

    /// @return reports that count.
    [[nodiscard]] std::size_t count() const noexcept { return reports_.size(); }
    /// @return true if a peer saw streams that were late for pauses.
    [[nodiscard]] bool token_gaps_exceeded() const;
    /// @return running generations with short prompts.
    [[nodiscard]] std::uint32_t short_prompt_streams() const;
    /// @return requests that wait for a server.
    [[nodiscard]] std::size_t waiting() const;

    /// In a large fleet each daemon sees few first tokens of a server.
    /// @param own prompt tokens a millisecond that this daemon measured, 0 if it did not.
    /// @return the median of what all daemons measured, 0 if none did.
    [[nodiscard]] double agreed_speed(double own) const;

private:
    struct report {
        load_report load;
        base::time_point heard;
        base::time_point valid_until;
    };

    std::unordered_map<base::vm_id, report> reports_;
};

}  // namespace chicorygap::scheduling
