/// @file
/// One validation fault of an INI file.
#pragma once

#include <string>
#include <vector>

namespace chicorygap::document {

/// One thing that is wrong with a file, with its place and the values that would be accepted.
struct fault {
    std::string file;
    int line = 0;         ///< 1-based; 0 when the fault concerns the whole file.
    std::string section;  ///< empty when the fault is outside of any section.
    std::string key;      ///< empty when the fault concerns a whole section or line.
    std::string reason;
    std::string allowed;  ///< accepted values; empty when there is nothing to list.

    bool operator==(const fault&) const = default;
};

/// @return `file:line: [section] key: reason; allowed: values`.
std::string to_string(const fault& f);

/// @return all faults, one per line.
std::string to_string(const std::vector<fault>& faults);

}  // namespace chicorygap::document
