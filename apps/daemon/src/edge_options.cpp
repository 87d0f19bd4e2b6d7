#include "edge_options.h"

#include <array>
#include <cstdlib>
#include <getopt.h>
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
    const std::array<option, 4> known{{{"settings", required_argument, nullptr, 's'},
                                       {"check", no_argument, nullptr, 'k'},
                                       {"help", no_argument, nullptr, 'h'},
                                       {nullptr, 0, nullptr, 0}}};
    edge_options o;
    if (const char* file = std::getenv("CHICORYGAP_SETTINGS")) {
        o.settings = file;
    }
    optind = 1;
    int c = 0;
    while ((c = getopt_long(argc, argv, "s:kh", known.data(), nullptr)) != -1) {
        switch (c) {
            case 's':
                o.settings = optarg;
                break;
            case 'k':
                o.check = true;
                break;
            case 'h':
                o.help = true;
                break;
            default:
                return std::nullopt;
        }
    }
    if (optind < argc) {
        std::cerr << "unexpected argument '" << argv[optind] << "'\n";
        return std::nullopt;
    }
    if (o.settings.empty() && !o.help) {
        std::cerr << "--settings is required\n";
        return std::nullopt;
    }
    return o;
}

}  // namespace chicorygap::daemon_app
