/// @file
/// Entry VMs and backend servers, listed with a lag.
#pragma once

#include "base/time.h"
#include "ports/order_service.h"
#include "ports/vm_list.h"

#include <mutex>
#include <string>
#include <vector>

namespace chicorygap::standin_platform {

/// Keeps every state of the fleet for the length of the lag and lists the one that was current that long ago.
class fleet_table {
public:
    /// @param lag age of the listed state.
    /// @param now source of time.
    fleet_table(base::duration lag, base::now_function now);

    /// Adds or replaces an entry.
    void set(const ports::vm& v);
    void set(const ports::backend_server& s);
    /// Removes the VM or backend server with this id.
    void remove(const std::string& id);

    /// Keeps a server unlisted until an order for its zone, service and kind asks for it.
    void add_spare(const ports::backend_server& s);
    /// Carries out an accepted order: lists spare servers, or marks a server as leaving.
    void apply(const ports::order& o);

    [[nodiscard]] std::vector<ports::vm> vms() const;
    /// @param zone zone to list; empty for all.
    [[nodiscard]] std::vector<ports::backend_server> servers(const base::zone_id& zone) const;

private:
    struct state {
        base::time_point since;
        std::vector<ports::vm> vms;
        std::vector<ports::backend_server> servers;
    };

    [[nodiscard]] const state& visible() const;
    state& next();

    const base::duration lag_;
    const base::now_function now_;
    mutable std::mutex mutex_;
    std::vector<state> history_;  // oldest first, never empty
    std::vector<ports::backend_server> spares_;
};

}  // namespace chicorygap::standin_platform
