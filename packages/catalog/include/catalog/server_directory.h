/// @file
/// Known backend servers.
#pragma once

#include "base/time.h"
#include "catalog/backend_server.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace chicorygap::catalog {

/// Known backend servers, from the entries of the store.
///
/// Concept: an entry that disappears normally belongs to a server that has shut down. After an outage of the
/// store, entries may instead be missing because they expired while the servers were unable to renew them.
/// The directory keeps such entries until the servers have had time to register again. Whether there was an
/// outage is judged by a daemon that was in contact with the store: this one, or the peer that a list or a
/// beacon came from. Its judgement holds for the list of that revision, on all daemons.
///
/// A store that has returned from a copy lists servers that have left since the copy was taken. The directory
/// remembers servers that have left or drain, and uses such an entry only after its server has written it
/// again.
///
/// Usage: pass each list to `observe`, each change of the contact to the store to `set_store_reachable` and
/// `record_store_failure`, and the judgement of a peer to `confirm_removals`; call `expire` regularly.
/// `servers` returns the result.
class server_directory {
public:
    /// @param drain_time longest time for which requests may be sent to a server after its shutdown began.
    explicit server_directory(base::duration drain_time);

    /// Records whether the store responds to this daemon. A daemon that reads from a mirror has no contact of
    /// its own.
    void set_store_reachable(bool reachable, base::time_point now);

    /// Records a failed call or a gap between two responses that may have hidden an outage.
    void record_store_failure(base::time_point now) { last_failure_ = now; }

    /// Takes note that the store has returned from a copy: missing entries are kept until servers have had
    /// time to register again.
    void store_restored(base::time_point now);

    /// Updates the directory with the current content of the store.
    /// @param listed all entries of the store.
    /// @param from_copy ids of those that come from the copy to which the store has returned.
    void observe(const std::vector<backend_server>& listed, base::time_point now,
                 const std::set<base::backend_server_id>& from_copy = {});

    /// Removes entries that are no longer in the store, once servers have had time to register again.
    /// @return true if `servers` has changed.
    bool expire(base::time_point now);

    /// Removes the entries that are missing in the observed list, because a peer has confirmed that their
    /// servers have left.
    /// @return true if `servers` has changed.
    bool confirm_removals(base::time_point now);

    /// @return true if the entries that are missing in the observed list certainly belong to servers that
    /// have left, so that peers may rely on it.
    [[nodiscard]] bool removals_final(base::time_point now) const;

    /// @return the known servers, including draining ones.
    [[nodiscard]] std::vector<backend_server> servers() const;

    /// @return number of listed servers that are not used, because they left before the store returned from a
    /// copy.
    [[nodiscard]] std::size_t ignored_count() const noexcept { return ignored_count_; }

    /// @return number of known servers whose entry is missing in the store.
    [[nodiscard]] std::size_t kept_count() const;

private:
    struct entry {
        backend_server server;
        bool listed = true;
    };

    /// Server that has left or drains, and when this became known.
    struct departure {
        std::int64_t incarnation = 0;
        base::time_point at;
    };

    /// @return true if this instance of the server is known to have left or to drain.
    [[nodiscard]] bool has_departed(const backend_server& s) const;
    void record_departure(const backend_server& s, base::time_point now);
    /// @return true if the contact of this daemon to the store shows that missing entries belong to removed
    /// servers.
    [[nodiscard]] bool can_remove(base::time_point now) const;
    /// Removes the entries that are missing in the observed list.
    /// @return true if there were any.
    bool remove_missing(base::time_point now);

    base::duration registration_grace_;
    std::map<base::backend_server_id, entry> entries_;
    std::map<base::backend_server_id, departure> departures_;
    std::size_t ignored_count_ = 0;
    bool reachable_ = true;
    bool confirmed_by_peer_ = false;  ///< the removals of the observed list
    std::optional<base::time_point> first_observed_at_;
    std::optional<base::time_point> last_failure_;
    /// End of the last outage of the store.
    std::optional<base::time_point> recovered_at_;
};

}  // namespace chicorygap::catalog
