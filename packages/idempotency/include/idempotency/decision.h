/// @file
/// Answers to a claim on a non-idempotent request.
#pragma once

#include "idempotency/digest.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chicorygap::idempotency {

/// What the daemon that asked may do with the request.
enum class verdict {
    granted,  ///< run it; given at most once per id
    known,    ///< it has run; the outcome is attached
    unknown,  ///< it may have run; it must not be run again
    reused,   ///< the id belongs to a request with another body
    refused,  ///< it has not run and may not run now
};

/// Recorded outcome of a request that has run.
struct outcome {
    int status = 0;     ///< HTTP status of the answer
    std::string body;   ///< answer, or empty if it was too large to record
    bool whole = true;  ///< false if the body was not recorded

    bool operator==(const outcome&) const = default;
};

/// A daemon's request for a permit.
struct claim {
    std::uint64_t number = 0;  ///< chosen by the daemon or adapter to match the decision
    digest id;
    digest body;
};

/// Answer to one claim.
struct decision {
    std::uint64_t claim_number = 0;
    verdict result = verdict::refused;
    std::optional<outcome> recorded;  ///< set for `known`
};

}  // namespace chicorygap::idempotency
