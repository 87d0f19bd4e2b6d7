/// @file
/// The role of an at-most-once shard's owner.
#pragma once

#include "base/time.h"
#include "control/role_runner.h"
#include "control/store_executor.h"
#include "idempotency/shard_owner.h"
#include "ports/object_store.h"

#include <functional>
#include <string>

namespace chicorygap::control {

/// Runs the lease and the records of one shard against the platform.
///
/// Usage: one thread calls all functions; `control::controller` does so.
class shard_role : public role_runner {
public:
    using decision_sink = std::function<void(const idempotency::decision&)>;

    /// @param o names and limits of the shard.
    /// @param call_timeout longest duration of one call to the store.
    /// @param decided receives exactly one decision per claim.
    shard_role(const idempotency::shard_options& o, base::duration call_timeout, ports::object_store& store,
               base::now_function now, decision_sink decided);

    void tick_lease() override;
    void tick_work() override;
    void set_candidate(bool candidate) override;
    void release() override;
    [[nodiscard]] const lease::role_lease& lease() const override { return lease_; }

    /// Passes a claim or an outcome to the records.
    void handle(const idempotency::shard_event& e);

private:
    void run(const lease::lease_event& e);

    store_executor executor_;
    base::now_function now_;
    decision_sink decided_;
    lease::role_lease lease_;
    idempotency::shard_owner owner_;
};

}  // namespace chicorygap::control
