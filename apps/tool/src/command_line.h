/// @file
/// Command line of the operator tool.
#pragma once

#include "base/time.h"
#include "settings/daemon_settings.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace chicorygap::tool {

/// Invalid arguments, or files that the command cannot use. The message is shown to the operator.
class usage_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Parsed arguments of one invocation.
struct command_line {
    std::string command;                ///< empty when none was given.
    std::vector<std::string> operands;  ///< arguments after the command that are not options.
    net::address platform{"127.0.0.1", 9100};
    net::address daemon{"127.0.0.1", 8081};
    base::duration timeout = std::chrono::seconds{5};  ///< of each request.
    std::optional<std::uint64_t> base_version;         ///< overrides the version in `FILE.base`.
    bool json = false;                                 ///< print JSON instead of text.
    bool daemon_settings = false;  ///< `validate` reads daemon settings instead of service documents.
    /// File with the configuration in force, for `check-configuration`.
    std::optional<std::string> against;
    /// Memory of the smallest VM, for `check-configuration`.
    std::optional<std::uint64_t> memory_mib;
    bool help = false;
};

/// Parses the arguments. Uses the global state of getopt_long, so that only one thread at a time may call it.
/// @param arguments command line without the program's name.
/// @throws usage_error for unknown options, and for missing or invalid values.
command_line parse_command_line(const std::vector<std::string>& arguments);

/// @return the text of `--help`.
const char* usage_text();

}  // namespace chicorygap::tool
