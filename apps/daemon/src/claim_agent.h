/// @file
/// Permits for the requests of this daemon's callers.
#pragma once

#include "fleet_agent.h"
#include "gateway/permit_source.h"
#include "idempotency/claim_client.h"
#include "ports/object_store.h"

#include <array>
#include <cstdint>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace chicorygap::daemon_app {

/// Runs the claim client: finds a shard's owner in its lease object and sends claims and outcomes to it.
///
/// Usage: pass it as `permit_source`, and call `tick()` ten times a second.
/// All members are safe for use by several threads.
class claim_agent : public gateway::permit_source {
public:
    /// An owner is looked up again after this time, or after it refused a claim.
    static constexpr base::duration owner_lifetime = std::chrono::seconds{10};

    /// @param store platform's objects; null if there is no platform, then every claim is refused.
    explicit claim_agent(ports::object_store* store) : store_{store} {}

    /// Sets the node that carries the calls; before that every claim is refused.
    void attach(peer::node& n);
    /// Stops using the node.
    void detach();

    idempotency::decision claim(const idempotency::digest& id, const idempotency::digest& body,
                                base::duration timeout) override;
    void finished(const idempotency::digest& id, const idempotency::outcome& result) override;

    void tick();

private:
    struct owner {
        std::string address;
        base::time_point read_at;
    };

    idempotency::decision claim_once(const idempotency::digest& id, const idempotency::digest& body,
                                     base::duration timeout);
    void find_owner(std::uint32_t shard, bool again);
    void apply(const idempotency::client_event& e);
    void run(const idempotency::send_claim& a);
    void run(const idempotency::permit& a);
    void run(const idempotency::repeat_outcome& a);
    void run(const idempotency::refuse& a);
    void run(const idempotency::send_outcome& a);
    void resolve(std::uint64_t number, idempotency::decision d);

    ports::object_store* store_;
    std::mutex mutex_;
    peer::node* node_ = nullptr;
    idempotency::claim_client client_;
    std::uint64_t next_number_ = 1;
    std::map<std::uint64_t, std::promise<idempotency::decision>> waiting_;
    std::map<std::uint32_t, owner> owners_;
};

}  // namespace chicorygap::daemon_app
