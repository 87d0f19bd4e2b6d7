/// @file
/// Division of what a cold server takes among the daemons that send to it.
#pragma once

#include "base/time.h"
#include "catalog/service.h"

#include <cstddef>

namespace chicorygap::backpressure {

/// Bound of the requests that reach a cold server within any second, from all daemons together: the requests
/// per second that its service names times `overage`, plus `slack`.
struct warmup_bounds {
    double overage = 0;
    double slack = 0;

    bool operator==(const warmup_bounds&) const = default;
};

/// Starts that the daemons may make on one cold server.
struct warmup_division {
    /// Daemons that send to the server.
    std::size_t senders = 1;
    /// Least time between two starts of one of them.
    base::duration gap{};

    [[nodiscard]] double starts_per_s() const { return 1 / std::chrono::duration<double>{gap}.count(); }
    bool operator==(const warmup_division&) const = default;
};

/// Divides what a cold server takes.
///
/// Daemons that send by this division to a server stay within half of the bound in every second, even if
/// requests arrive up to a quarter of a second later than others. Two sets of daemons that know nothing of
/// each other, such as the sides of a partition, therefore stay within the bound together.
/// @param daemons daemons among which the senders are selected.
[[nodiscard]] warmup_division divide_warmup(const catalog::warmup& w, const warmup_bounds& b,
                                            std::size_t daemons);

}  // namespace chicorygap::backpressure
