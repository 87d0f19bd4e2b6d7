/// @file
/// Command line of `chicorygapd edge`.
#pragma once

#include <optional>
#include <string>

namespace chicorygap::daemon_app {

struct edge_options {
    std::string settings;
    bool check = false;
    bool help = false;
};

/// @param argv arguments after the word `edge`, with that word first.
/// @return the options, or nothing after a message for an unknown argument. The settings file defaults to the
/// environment variable CHICORYGAP_SETTINGS.
std::optional<edge_options> parse_edge_options(int argc, char** argv);

/// @return text of `chicorygapd edge --help`.
std::string edge_usage_text();

}  // namespace chicorygap::daemon_app
