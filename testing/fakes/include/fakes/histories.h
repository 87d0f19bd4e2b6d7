/// @file
/// Many random histories in one rapidcheck property.
#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <string>

namespace chicorygap::fakes {

/// Histories of one property: rapidcheck's 100 cases of 100 histories each.
inline constexpr std::uint64_t histories_per_case = 100;

/// Runs 10,000 histories with distinct seeds.
/// @param name of the property.
/// @param run takes a seed and returns the description of a fault, or an empty string.
/// @return true if no history found a fault; otherwise the seed of the first faulty one has been printed.
template <typename Run>
bool check_histories(const std::string& name, const Run& run) {
    return rc::check(name, [&] {
        // Full size and no shrinking: a seed is not smaller or simpler than another.
        const auto seed =
            *rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
        for (std::uint64_t i = 0; i < histories_per_case; ++i) {
            const std::string fault = run(seed + i);
            if (!fault.empty()) {
                RC_FAIL("history seed " + std::to_string(seed + i) + ": " + fault);
            }
        }
    });
}

}  // namespace chicorygap::fakes
