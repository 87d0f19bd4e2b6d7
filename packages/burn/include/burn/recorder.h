/// @file
/// Counting of outcomes in one daemon.
#pragma once

#include "base/time.h"
#include "burn/digest.h"
#include "burn/objective.h"

#include <memory>

namespace chicorygap::burn {

/// Counts outcomes per service, class and workspace in rings of buckets, in bounded memory.
///
/// Usage: `recorder r{vm}; r.record(outcome{...}, now); digest d = r.snapshot(now);`
class recorder {
public:
    /// @param daemon name of this daemon in digests.
    explicit recorder(base::vm_id daemon);
    ~recorder();
    recorder(recorder&&) noexcept;
    recorder& operator=(recorder&&) noexcept;
    recorder(const recorder&) = delete;
    recorder& operator=(const recorder&) = delete;

    void record(const outcome& o, base::time_point now);
    /// @return the counters, without workspaces that had no request in any window.
    [[nodiscard]] digest snapshot(base::time_point now) const;

private:
    class state;
    std::unique_ptr<state> state_;
};

}  // namespace chicorygap::burn
