/// @file
/// The processes and stand-ins of one soak run.
#pragma once

#include "base/random.h"
#include "standin/cloud_api.h"
#include "standin/daemon_process.h"
#include "standin/execution_log.h"
#include "standin/fault_injection_proxy.h"
#include "standin/object_store.h"
#include "standin/server.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chicorygap::soak {

struct site_options {
    std::string program;
    std::string folder;
    std::size_t daemons = 6;
    std::size_t servers = 8;
    /// Third number of the loopback addresses, so that runs at the same time do not meet.
    std::uint8_t subnet = 71;
};

/// A daemon with the links around it.
struct site_daemon {
    std::unique_ptr<standin::fault_injection_proxy> to_store;
    std::unique_ptr<standin::fault_injection_proxy> to_duties;
    std::unique_ptr<standin::fault_injection_proxy> from_callers;
    std::unique_ptr<standin::daemon_process> process;
    /// Faults that concern it now, and when the last one ended.
    int faults = 0;
    base::time_point calm_since;
    /// It was told to stop, and is started again when it has ended.
    bool stopping = false;
    base::time_point stop_sent;
};

/// A server behind a link.
struct site_server {
    std::unique_ptr<standin::server> server;
    std::unique_ptr<standin::fault_injection_proxy> link;
    std::optional<base::time_point> drained;
};

/// The processes and stand-ins of one soak run. All stand-ins run on one loop; daemons are processes.
class site {
public:
    site(net::loop& l, site_options o);
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    /// Writes the next version of the configuration.
    void configure();
    /// Withdraws or grants the key of a workspace; takes effect with the next version.
    void set_key(const std::string& workspace, bool granted);
    [[nodiscard]] bool key_granted(const std::string& workspace) const {
        return !withdrawn_.contains(workspace);
    }
    [[nodiscard]] static std::string key_of(const std::string& workspace) { return "key-" + workspace; }

    /// Adds a server of a service and registers it.
    void add_server(const std::string& service);
    /// Forgets a server that has left.
    void remove_server(std::size_t index);
    /// What the operator and the servers do after the store has returned from a copy: they write what they
    /// wrote since again, and entries of servers that have left expire.
    void write_again();

    /// @return true if the daemon answers that it is ready; asked by a blocking call only at the start.
    [[nodiscard]] std::vector<site_daemon>& daemons() noexcept { return daemons_; }
    [[nodiscard]] std::vector<site_server>& servers() noexcept { return servers_; }
    [[nodiscard]] standin::object_store& store() noexcept { return store_; }
    [[nodiscard]] standin::cloud_api& duties() noexcept { return duties_; }
    [[nodiscard]] const standin::execution_log& runs() const noexcept { return runs_; }

    /// Faults of the store that last now, and when the last one ended.
    int store_faults = 0;
    base::time_point store_calm_since;

private:
    void write_configuration();

    net::loop& loop_;
    site_options options_;
    standin::execution_log runs_;
    standin::object_store store_;
    standin::cloud_api duties_;
    std::vector<site_server> servers_;
    std::vector<site_daemon> daemons_;
    std::set<std::string> withdrawn_;
    std::uint64_t version_ = 0;
    std::size_t next_server_ = 0;
    std::vector<std::string> departed_;  ///< servers that have left
    net::timer_id expiry_timer_ = net::timer_id::none;
};

}  // namespace chicorygap::soak
