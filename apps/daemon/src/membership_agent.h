/// @file
/// Membership of this daemon in the fleet.
#pragma once

#include "base/random.h"
#include "configuration_agent.h"
#include "gateway/registry.h"
#include "membership/membership_protocol.h"
#include "peer/gossip.h"
#include "peer/node.h"
#include "ports/vm_list.h"
#include "settings/daemon_settings.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace chicorygap::daemon_app {

/// Runs the membership protocol over calls between daemons. Passes the loads and the pressure level of peers
/// to the services, and the members to the services and the configuration agent.
///
/// Usage: `membership_agent f{...}; ` then `tick()` every 100 ms and `refresh_seeds()` every few seconds.
/// All members are safe for use by several threads. No lock is held during callbacks of the peer node.
class membership_agent {
public:
    /// @param incarnation start time of the daemon in microseconds.
    /// @param s settings; must outlive this object.
    /// @param vms VM list of the platform, which supplies further seeds; may be null.
    /// @param other_handlers handlers of the calls that belong neither to membership nor to document
    /// distribution.
    membership_agent(const settings::daemon_settings& s, gateway::registry& r, configuration_agent& c,
                     ports::vm_list* vms, base::random_function random, std::uint64_t incarnation,
                     peer::handlers other_handlers);
    ~membership_agent();
    membership_agent(const membership_agent&) = delete;
    membership_agent& operator=(const membership_agent&) = delete;

    /// Advances the membership protocol by 100 ms and sends a document digest once a second.
    void tick();
    /// Replaces the seeds by those of the settings and of the platform's VM list. On failure the last seeds
    /// remain.
    /// @throws base::error with `platform_unavailable`.
    void refresh_seeds();
    /// Announces the shutdown of this daemon to the peers.
    void leave();

    /// @return peer address of a live member or contact; empty if the VM is neither.
    [[nodiscard]] std::string address_of(const base::vm_id& vm) const;
    /// @return live members of this daemon's zone, including this daemon, and its contacts in other zones.
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
    void execute(const membership::peer_loads_received& a);
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
