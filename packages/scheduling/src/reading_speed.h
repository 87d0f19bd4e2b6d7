/// @file
/// How fast servers read prompts.
#pragma once

#include "base/time.h"
#include "leaning_average.h"

#include <cstdint>

namespace chicorygap::scheduling {

/// How fast the servers of a service read prompts, learned from first tokens.
///
/// Short prompts tell the time of a first token beside reading, long ones the speed. Answers the pattern of
/// servers whose speed nobody states: placement and the ordering of servers depend on it.
class reading_speed {
public:
    /// A first token has come.
    /// @param unread prompt tokens that the server had to read for it, and for no other prompt meanwhile.
    /// @param taken time since the request was sent.
    /// @return the speed seen in tokens a millisecond, 0 if the prompt says nothing about it.
    double observe(std::int64_t unread, base::duration taken);

    /// @return tokens a millisecond over all servers, 0 until a long prompt was seen.
    [[nodiscard]] double prefill_tokens_per_ms() const noexcept { return tokens_per_ms_.value(); }

private:
    leaning_average tokens_per_ms_{leaning_average::side::high};
    /// Time of a first token beside reading.
    leaning_average first_token_ms_{leaning_average::side::low};
};

}  // namespace chicorygap::scheduling
