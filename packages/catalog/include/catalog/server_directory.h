/// @file
/// Which backend servers exist.
#pragma once

#include "base/time.h"
#include "catalog/backend_server.h"

#include <map>
#include <optional>
#include <vector>

namespace chicorygap::catalog {

/// Which backend servers exist, from lists that lose entries while the store is away.
///
/// Concept: an entry that disappears is a server that left, except around an outage of the store: entries
/// lapse then because servers could not renew them. Such entries are kept until the servers had time to
/// register again.
///
/// Usage: pass each list to `observe` and each change of the store's reachability; `servers` is the result.
class server_directory {
public:
    /// @param drain_time a server that left gets requests no longer than this.
    explicit server_directory(base::duration drain_time);

    /// The store answers again, or does not answer any more.
    void set_store_reachable(bool value, base::time_point now);

    /// @param listed all entries of the store.
    void observe(const std::vector<backend_server>& listed, base::time_point now);

    /// Drops kept entries whose time is over.
    /// @return true if `servers` has changed.
    bool expire(base::time_point now);

    /// @return the servers that may be used, and those that are leaving.
    [[nodiscard]] std::vector<backend_server> servers() const;

private:
    struct entry {
        backend_server server;
        bool listed = true;
    };

    [[nodiscard]] bool settled(base::time_point now) const;

    base::duration return_time_;
    std::map<base::backend_server_id, entry> entries_;
    bool reachable_ = true;
    std::optional<base::time_point> regained_;
};

}  // namespace chicorygap::catalog
