/// @file
/// What one request tells the prompt guard.
#pragma once

#include "base/time.h"
#include "crash_guard/prompt_guard.h"
#include "scheduling/scheduled_request.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace chicorygap::proxy {

/// What one request tells the prompt guard, and asks it: the parts of the prompt, and how far the answer of
/// the current attempt has come. Does nothing for requests without a prompt.
///
/// Usage: `admit` before the queue and before a retry, `admit_attempt` and `attempt_started` when a server
/// has been chosen, then `event_received` for each event, `answered` after a complete answer, and
/// `attempt_ended`.
class request_evidence {
public:
    /// @param guard must outlive the request.
    /// @param generation absent for plain requests.
    /// @param fingerprint stands for a prompt whose parts are not named.
    request_evidence(crash_guard::prompt_guard& guard,
                     const std::optional<scheduling::generation_requirements>& generation,
                     std::uint64_t fingerprint);

    /// @return the parts of the prompt; empty for plain requests.
    [[nodiscard]] const crash_guard::part_ids& parts() const noexcept { return parts_; }

    [[nodiscard]] crash_guard::admission admit(base::time_point now);
    /// The decision may have changed while the request waited for a server.
    [[nodiscard]] crash_guard::admission admit_attempt(base::time_point now);

    void attempt_started();
    void event_received(base::time_point now);
    void answered(base::time_point now);
    void attempt_ended() { beginning_.reset(); }

    /// @return true if the current answer has gone on past its beginning.
    [[nodiscard]] bool progressed() const noexcept { return progressed_; }

    /// @param has_response_head the head of the response to the current attempt has arrived.
    /// @return weight of the current attempt as evidence if its server has ended.
    [[nodiscard]] crash_guard::attempt_progress progress(bool has_response_head) const;

private:
    crash_guard::prompt_guard& guard_;
    crash_guard::part_ids parts_;
    /// Exists while the answer is at its beginning on a server.
    std::shared_ptr<void> beginning_;
    std::optional<base::time_point> first_event_at_;
    bool progressed_ = false;  ///< the current answer
    bool succeeded_ = false;   ///< the current answer is complete, or has gone on for long
    bool trial_ = false;       ///< tries a part after its quarantine
};

}  // namespace chicorygap::proxy
