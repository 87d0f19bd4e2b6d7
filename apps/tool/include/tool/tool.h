/// @file
/// Commands of the operator tool. docs/operator-tool.md describes them.
#pragma once

#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace chicorygap::tool {

/// Exit codes; they are stable across releases.
enum class exit_code : int {
    success = 0,
    invalid = 1,           ///< a file has faults.
    usage = 2,             ///< wrong arguments, or a file that cannot be read or written.
    conflict = 3,          ///< the stored document is not the one that the edit started from.
    unavailable = 4,       ///< the platform or the daemon cannot be reached.
    outcome_unknown = 5,   ///< the reply was lost; the change may have been stored.
    documents_differ = 6,  ///< `diff` found differences.
};

/// Streams of one invocation.
struct streams {
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
};

/// Runs one command line. Never throws.
/// @param arguments without the program's name, for example {"validate", "booking.ini"}.
exit_code run(const std::vector<std::string>& arguments, const streams& s);

}  // namespace chicorygap::tool
