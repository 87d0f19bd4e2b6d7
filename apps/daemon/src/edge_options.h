/// @file
/// Command line of `chicorygapd edge`.
#pragma once

#include <optional>
#include <string>

namespace chicorygap::daemon_app {

/// Parsed command line of `chicorygapd edge`.
struct edge_options {
    std::string settings_path;
    bool check = false;
    bool help = false;
};

/// Parses the command line. Prints a message to standard error if it is invalid. The path of the settings
/// file defaults to the environment variable CHICORYGAP_SETTINGS.
/// @param argv `edge` and the arguments after it.
/// @return the options, or nothing if the command line is invalid.
std::optional<edge_options> parse_edge_options(int argc, char** argv);

/// @return the output of `chicorygapd edge --help`.
std::string edge_usage_text();

}  // namespace chicorygap::daemon_app
