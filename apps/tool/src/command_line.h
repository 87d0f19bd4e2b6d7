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

/// Arguments that cannot be understood; the text is for the operator.
class usage_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

struct command_line {
    std::string command;
    std::vector<std::string> operands;
    net::address platform{"127.0.0.1", 9100};
    net::address daemon{"127.0.0.1", 8081};
    base::duration timeout = std::chrono::seconds{5};
    std::optional<std::uint64_t> base_version;
    bool json = false;
    bool daemon_settings = false;
    bool help = false;
};

/// @throws usage_error for unknown options and malformed values.
command_line parse_command_line(const std::vector<std::string>& arguments);

/// @return the text of `--help`.
const char* usage_text();

}  // namespace chicorygap::tool
