/// @file
/// Evacuations of zones that are in force.
#pragma once

#include "base/id.h"
#include "base/store_position.h"
#include "base/time.h"
#include "catalog/evacuation_state.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace chicorygap::catalog {

/// Entry of the store that asks for the evacuation of a zone.
struct evacuation_entry {
    base::zone_id zone;
    /// Revision at which the entry was last written.
    std::uint64_t revision = 0;

    bool operator==(const evacuation_entry&) const = default;
};

/// Evacuation that is in force.
struct evacuation {
    base::zone_id zone;
    /// Revision at which the entry was last written.
    std::uint64_t revision = 0;
    /// Time at which this daemon learned of it.
    base::time_point since;
    /// The entry is missing since the store returned from a copy.
    bool kept = false;
};

/// Start or end of an evacuation.
struct evacuation_change {
    evacuation subject;
    bool evacuated = false;  ///< false if it was withdrawn
};

/// Decides which zones are evacuated: their servers get no work, because an operator asked for it in the
/// store.
///
/// Concept: the list of entries counts, except after the store has returned from a copy, which its era tells.
/// The copy may lack an evacuation that was in force, and may hold one that was withdrawn. Until the operator
/// has written the entry again, and for at most `doubt_time`, the earlier knowledge counts. An entry of the
/// copy is recognized as a withdrawn one by its revision; any other revision may be a newer evacuation, and
/// in doubt a zone counts as evacuated.
///
/// Load pattern: the work of a whole zone moves to the others at once and comes back at once, also within a
/// second, or because the store went back in time.
///
/// Usage: pass each list to `observe` and call `expire` regularly; `state` tells the result. No I/O, no
/// clock.
class evacuation_table {
public:
    using change_hook = std::function<void(const evacuation_change&)>;

    /// Time after a return of the store from a copy for which the earlier knowledge counts.
    static constexpr base::duration doubt_time = std::chrono::seconds{10};
    /// Time for which withdrawn evacuations are remembered: well above the age of a copy that the store
    /// returns from, and above the time for which servers are cold.
    static constexpr base::duration memory_time = std::chrono::seconds{120};

    /// @param changed called for each evacuation that begins or ends; may be null.
    explicit evacuation_table(change_hook changed = nullptr) : changed_{std::move(changed)} {}

    /// Takes over the current entries. A list of an earlier era than one before is ignored.
    /// @param listed all entries.
    /// @param as_of position of the store that the list reflects.
    /// @return true if the state has changed.
    bool observe(const std::vector<evacuation_entry>& listed, base::store_position as_of,
                 base::time_point now);

    /// Ends the precautions after a return from a copy when their time is over.
    /// @return true if the state has changed.
    bool expire(base::time_point now);

    /// @return true once a list was observed.
    [[nodiscard]] bool known() const noexcept { return era_.has_value(); }
    [[nodiscard]] bool evacuated(const base::zone_id& zone) const { return in_force_.contains(zone); }
    /// @return the evacuations in force, by zone.
    [[nodiscard]] std::vector<evacuation> evacuations() const;
    /// @return the zones that are evacuated, and those whose evacuation was withdrawn in the last
    /// `memory_time`.
    [[nodiscard]] evacuation_state state(base::time_point now) const;

private:
    struct known_evacuation {
        evacuation current;
        std::set<std::uint64_t> revisions;  ///< that the entry had in the course of the evacuation
        /// End of the time for which the evacuation counts although its entry is missing; absent unless the
        /// store has returned from a copy.
        std::optional<base::time_point> kept_until;
    };
    struct withdrawal {
        std::set<std::uint64_t> revisions;
        base::time_point at;
    };

    void record_restoration(base::time_point now);
    bool apply(base::time_point now);
    /// @return true if the entry is one that was withdrawn before the store returned from a copy.
    [[nodiscard]] bool from_copy(const evacuation_entry& e, base::time_point now) const;
    /// @return true if the evacuation was not in force.
    bool put_in_force(const evacuation_entry& e, base::time_point now);
    void withdraw(const known_evacuation& k, base::time_point now);

    change_hook changed_;
    std::optional<std::uint64_t> era_;  ///< of the last list
    std::optional<base::time_point> restored_at_;
    std::vector<evacuation_entry> listed_;
    std::map<base::zone_id, known_evacuation> in_force_;
    std::map<base::zone_id, withdrawal> withdrawn_;
};

}  // namespace chicorygap::catalog
