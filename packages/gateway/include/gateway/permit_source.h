/// @file
/// Permits for requests that run at most once.
#pragma once

#include "base/time.h"
#include "idempotency/decision.h"
#include "idempotency/digest.h"

namespace chicorygap::gateway {

/// Grants the single permit of a non-idempotent request. Safe for use by several threads.
class permit_source {
public:
    virtual ~permit_source() = default;

    /// Blocks until the claim is decided; never throws for an unreachable owner.
    /// @param id record id, see `idempotency::make_record_id`.
    /// @param body digest of the request's body.
    /// @param timeout longest wait; a claim without a decision by then is `refused`.
    virtual idempotency::decision claim(const idempotency::digest& id, const idempotency::digest& body,
                                        base::duration timeout) = 0;

    /// Reports the outcome of a request that was granted a permit.
    virtual void finished(const idempotency::digest& id, const idempotency::outcome& result) = 0;
};

}  // namespace chicorygap::gateway
