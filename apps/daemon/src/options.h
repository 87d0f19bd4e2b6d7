/// @file
/// Command line of the daemon.
#pragma once

#include <optional>
#include <string>

namespace chicorygap::daemon_app {

/// Exit codes of `chicorygapd`, listed in docs/daemon-settings.md.
enum class exit_code : int { ok = 0, usage = 1, settings = 2, failure = 3 };

/// Parsed command line.
struct options {
    std::string config;
    bool check = false;
    std::optional<std::string> log_level;
    bool version = false;
    bool help = false;
};

/// @return the options, or nothing after a message on standard error.
std::optional<options> parse_options(int argc, char** argv);

/// @return text of `--help`.
std::string usage_text();

}  // namespace chicorygap::daemon_app
