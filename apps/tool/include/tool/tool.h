/// @file
/// Entry point of the operator tool; docs/operator-tool.md describes its commands.
#pragma once

#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace chicorygap::tool {

/// Exit codes of the process. Scripts rely on them, so that the numbers stay the same across releases.
enum class exit_code : int {
    success = 0,
    invalid = 1,      ///< a file is invalid, or conflicts with another service document.
    usage = 2,        ///< invalid arguments, a file that cannot be read or written, or a missing document.
    conflict = 3,     ///< the stored version differs from the version that the file is based on.
    unavailable = 4,  ///< a request to the platform or the daemon failed, or another error occurred.
    outcome_unknown = 5,   ///< the platform's response was lost; the change may have been stored.
    documents_differ = 6,  ///< `diff` found differences.
};

/// Standard input, output and error of one invocation.
struct streams {
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
};

/// Runs one command. Never throws: prints the message of an exception to `s.err` and returns its exit code.
/// @param arguments command line without the program's name, for example {"validate", "booking.ini"}.
/// @param s streams that the command reads from and writes to.
/// @return exit code of the process.
exit_code run(const std::vector<std::string>& arguments, const streams& s);

}  // namespace chicorygap::tool
