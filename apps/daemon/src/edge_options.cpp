#include "edge_options.h"

#include "option_scan.h"

#include <cstdlib>
#include <iostream>

namespace chicorygap::daemon_app {

std::string edge_usage_text() {
    return "Usage: chicorygapd edge [--settings FILE] [--check]\n"
           "  --settings FILE  settings (INI); default: the file named by CHICORYGAP_SETTINGS\n"
           "  --check          validate the settings and exit\n"
           "  --help           print this text and exit\n"
           "Exit codes: 0 ok, 1 usage, 2 invalid settings, 3 failure at run time\n";
}

std::optional<edge_options> parse_edge_options(int argc, char** argv) {
    edge_options o;
    if (const char* file = std::getenv("CHICORYGAP_SETTINGS")) {
        o.settings_path = file;
    }
    const auto apply = [&o](int value) {
        switch (value) {
            case 's':
                o.settings_path = optarg;
                break;
            case 'k':
                o.check = true;
                break;
            case 'h':
                o.help = true;
                break;
            default:
                break;
        }
    };
    if (!scan_options(argc, argv,
                      {{"settings", required_argument, nullptr, 's'},
                       {"check", no_argument, nullptr, 'k'},
                       {"help", no_argument, nullptr, 'h'}},
                      apply)) {
        return std::nullopt;
    }
    if (o.settings_path.empty() && !o.help) {
        std::cerr << "--settings is required\n";
        return std::nullopt;
    }
    return o;
}

}  // namespace chicorygap::daemon_app
