/// @file
/// Connects the daemon with its peers.
#pragma once

#include "base/random.h"
#include "configuration_agent.h"
#include "gateway/registry.h"
#include "membership/fleet.h"
#include "peer/gossip.h"
#include "peer/node.h"
#include "ports/vm_list.h"
#include "settings/daemon_settings.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace chicorygap::daemon_app {

/// Runs membership over the calls between daemons and passes on what it learns: loads and pressure to the
/// services, members to the configuration.
///
/// Usage: `membership_agent f{...}; ` then `tick()` every 100 ms and `refresh_seeds()` every few seconds.
/// All members are safe for use by several threads. The lock is never held while the peer node is called
/// back.
class membership_agent {
public:
    /// @param incarnation start time of the daemon in microseconds.
    /// @param vms platform list that gives further seeds; may be null.
    /// @param other_handlers handlers of the calls that are not gossip.
    membership_agent(const settings::daemon_settings& s, gateway::registry& r, configuration_agent& c,
                     ports::vm_list* vms, base::random_function random, std::uint64_t incarnation,
                     peer::handlers other_handlers);
    ~membership_agent();
    membership_agent(const membership_agent&) = delete;
    membership_agent& operator=(const membership_agent&) = delete;

    void tick();
    /// Reads the platform's VM list. Without it the last seeds stay.
    /// @throws base::error with `platform_unavailable`.
    void refresh_seeds();
    /// Tells the peers that this daemon shuts down.
    void leave();

    /// @return address of a live member or contact, or an empty string.
    [[nodiscard]] std::string address_of(const base::vm_id& vm) const;
    /// @return live members of the own zone, including this daemon, and the contacts in other zones.
    [[nodiscard]] std::vector<membership::member> known_members() const;
    [[nodiscard]] peer::traffic statistics() const { return node_->statistics(); }
    [[nodiscard]] peer::node& node() { return *node_; }

private:
    void on_change(const membership::action& a);
    void send_configuration_message(const base::vm_id& to, const distribution::message& m,
                                    std::function<void()> failed);
    void send_digest();
    void execute(const membership::member_changed& a);
    void execute(const membership::zone_changed& a);
    void execute(const membership::loads_heard& a);
    void execute(const membership::pressure_changed& a);
    void publish_members();
    [[nodiscard]] std::vector<membership::member> known_peers() const;
    [[nodiscard]] membership::local_state make_local_state() const;

    const settings::daemon_settings& settings_;
    gateway::registry& registry_;
    configuration_agent& configuration_;
    ports::vm_list* vm_list_;
    base::random_function random_;
    std::uint64_t tick_count_ = 0;  // only used by `tick`
    peer::gossip gossip_;
    std::unique_ptr<peer::node> node_;
};

}  // namespace chicorygap::daemon_app
