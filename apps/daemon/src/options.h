/// @file
/// Command line of `chicorygapd`.
#pragma once

#include <optional>
#include <string>

namespace chicorygap::daemon_app {

/// Exit codes of `chicorygapd`, listed in docs/daemon-settings.md.
enum class exit_code : int { ok = 0, usage = 1, settings = 2, failure = 3 };

/// Parsed command line.
struct options {
    std::string settings_path;  ///< argument of `--config`
    bool check = false;
    std::optional<std::string> log_level;
    bool version = false;
    bool help = false;
};

/// Parses the command line. Prints a message to standard error if it is invalid.
/// @return the options, or nothing if the command line is invalid.
std::optional<options> parse_options(int argc, char** argv);

/// @return the output of `--help`.
std::string usage_text();

}  // namespace chicorygap::daemon_app
