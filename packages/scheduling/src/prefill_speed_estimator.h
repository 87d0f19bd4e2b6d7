/// @file
/// Estimate of the prefill speed of servers.
#pragma once

#include "asymmetric_average.h"
#include "base/time.h"

#include <cstdint>

namespace chicorygap::scheduling {

/// Estimates the prefill speed of the servers of a service from the time to first token.
///
/// Placement and autoscaling depend on the prefill speed, which no setting or server states. Short prompts
/// give the part of the time to first token that does not depend on the prompt; long ones give the speed.
class prefill_speed_estimator {
public:
    /// Records the first token of a response.
    /// @param prefill_tokens prompt tokens that the server processed for this request; it had no other
    /// prefill meanwhile.
    /// @param time_to_first_token time since the request was sent.
    /// @return measured speed in tokens per millisecond; 0 if this prompt gives no measurement.
    double observe(std::int64_t prefill_tokens, base::duration time_to_first_token);

    /// @return tokens per millisecond, averaged over all servers; 0 until a long prompt was measured.
    [[nodiscard]] double prefill_tokens_per_ms() const noexcept { return prefill_tokens_per_ms_.value(); }

    /// @return time to first token without the prefill, in milliseconds; 0 until measured.
    [[nodiscard]] double base_latency_ms() const noexcept { return base_latency_ms_.value(); }

private:
    asymmetric_average prefill_tokens_per_ms_{asymmetric_average::bias::high};
    /// Time to first token without the prefill, in milliseconds.
    asymmetric_average base_latency_ms_{asymmetric_average::bias::low};
};

}  // namespace chicorygap::scheduling
