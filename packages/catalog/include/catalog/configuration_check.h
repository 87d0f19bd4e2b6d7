/// @file
/// Check of an operator's configuration before it takes effect.
#pragma once

#include "catalog/configuration_listing.h"

#include <cstddef>
#include <string>
#include <vector>

namespace chicorygap::catalog {

/// What the check has to know of the daemons.
struct check_options {
    /// Memory of the smallest VM; half of it is for the requests that are open at once.
    std::size_t memory_bytes = std::size_t{110} * 1024 * 1024;
};

/// Finds entries that the daemons accept but that cannot do what the operator meant.
///
/// The daemons skip invalid entries and serve with the others, so that one fault does not end service. That
/// makes faults easy to miss: a route that another one replaces, a workspace whose keys belong to a later
/// one, a target that ends after its time-out. The check knows the rules by which the `snapshot` finds
/// routes, services and workspaces.
///
/// Usage: `for (const auto& f : configuration_check{}.run(listing)) { ... }`
/// Performs no I/O.
class configuration_check {
public:
    explicit configuration_check(check_options o = {}) : options_{o} {}

    /// @return all findings, those of the decoder first, then by kind of entry in the order of the document.
    [[nodiscard]] std::vector<configuration_finding> run(const configuration_listing& c) const;

private:
    check_options options_;
};

/// One difference between two versions.
struct configuration_difference {
    std::string entry;   ///< kind and name of the entry, for example `route a.example/chat/`
    std::string field;   ///< empty if the whole entry was added or removed
    std::string before;  ///< empty if the entry is new
    std::string after;   ///< empty if the entry was removed
};

/// Compares what takes effect in two versions; entries that others replace do not count. API keys are counted
/// and not shown.
/// @return the differences, sorted by entry.
std::vector<configuration_difference> compare(const configuration_listing& in_force,
                                              const configuration_listing& next);

/// Checks that the daemons will take a version over in place of the one in force.
/// @param differs whether the two have differences.
/// @return findings about the order of the versions.
std::vector<configuration_finding> check_version_order(const configuration_listing& in_force,
                                                       const configuration_listing& next, bool differs);

}  // namespace chicorygap::catalog
