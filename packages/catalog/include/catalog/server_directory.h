/// @file
/// Known backend servers.
#pragma once

#include "base/time.h"
#include "catalog/backend_server.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace chicorygap::catalog {

/// Known backend servers, from the entries of the store.
///
/// Concept: an entry that disappears normally belongs to a server that has shut down. After an outage of the
/// store, entries may instead be missing because they expired while the servers were unable to renew them.
/// The directory keeps such entries until the servers have had time to register again.
///
/// Usage: pass each list to `observe` and each change of the store's reachability to `set_store_reachable`,
/// and call `expire` regularly. `servers` returns the result.
class server_directory {
public:
    /// @param drain_time longest time for which requests may be sent to a server after its shutdown began.
    explicit server_directory(base::duration drain_time);

    /// Records whether the store responds.
    void set_store_reachable(bool reachable, base::time_point now);

    /// Updates the directory with the current content of the store.
    /// @param listed all entries of the store.
    void observe(const std::vector<backend_server>& listed, base::time_point now);

    /// Removes entries that are no longer in the store, once servers have had time to register again.
    /// @return true if `servers` has changed.
    bool expire(base::time_point now);

    /// @return the known servers, including draining ones.
    [[nodiscard]] std::vector<backend_server> servers() const;

    /// @return number of known servers whose entry is missing in the store.
    [[nodiscard]] std::size_t kept_count() const;

private:
    struct entry {
        backend_server server;
        bool listed = true;
    };

    /// @return true if an entry that is missing in the store belongs to a removed server.
    [[nodiscard]] bool can_remove(base::time_point now) const;

    base::duration registration_grace_;
    std::map<base::backend_server_id, entry> entries_;
    bool reachable_ = true;
    /// End of the last outage of the store.
    std::optional<base::time_point> recovered_at_;
};

}  // namespace chicorygap::catalog
