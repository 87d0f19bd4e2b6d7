/// @file
/// Permits for non-idempotent requests of this daemon's callers.
#pragma once

#include "gateway/permit_source.h"
#include "idempotency/claim_client.h"
#include "membership_agent.h"
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

/// Runs the claim client: finds the owner of a shard in the shard's lease object and sends claims and
/// outcomes to it.
///
/// Usage: pass it as `permit_source`, and call `tick()` every 100 ms.
/// All members are safe for use by several threads.
class claim_agent : public gateway::permit_source {
public:
    /// Time after which the owner of a shard is looked up again. A refused claim also causes a new lookup.
    static constexpr base::duration owner_cache_lifetime = std::chrono::seconds{10};

    /// @param store object store of the platform; null if there is no platform, in which case every claim is
    /// refused.
    explicit claim_agent(ports::object_store* store) : store_{store} {}

    /// Sets the peer node that sends the claims. Without a node every claim is refused.
    void attach(peer::node& n);
    /// Stops using the peer node.
    void detach();

    idempotency::decision claim(const idempotency::digest& id, const idempotency::digest& body,
                                base::duration timeout) override;
    void finished(const idempotency::digest& id, const idempotency::outcome& result) override;

    /// Advances the timers of the claim client.
    void tick();

private:
    struct owner {
        std::string address;
        base::time_point looked_up_at;
    };

    idempotency::decision claim_once(const idempotency::digest& id, const idempotency::digest& body,
                                     base::duration timeout);
    /// @param refresh looks the owner up again although the cached one has not expired.
    void look_up_owner(std::uint32_t shard, bool refresh);
    void handle(const idempotency::client_event& e);
    void execute(const idempotency::send_claim& a);
    void execute(const idempotency::permit& a);
    void execute(const idempotency::repeat_outcome& a);
    void execute(const idempotency::refuse& a);
    void execute(const idempotency::send_outcome& a);
    void complete_claim(std::uint64_t number, idempotency::decision d);

    ports::object_store* store_;
    std::mutex mutex_;
    peer::node* node_ = nullptr;
    idempotency::claim_client client_;
    std::uint64_t next_claim_number_ = 1;
    std::map<std::uint64_t, std::promise<idempotency::decision>> pending_claims_;
    std::map<std::uint32_t, owner> owners_;
};

}  // namespace chicorygap::daemon_app
