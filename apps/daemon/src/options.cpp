#include "options.h"

#include "option_scan.h"

#include <iostream>

namespace chicorygap::daemon_app {

std::string usage_text() {
    return "Usage: chicorygapd --config FILE [--check] [--log-level LEVEL]\n"
           "  --config FILE      daemon settings (INI)\n"
           "  --check            validate the settings and exit\n"
           "  --log-level LEVEL  debug, info, warning or error; overrides the settings\n"
           "  --version          print the version and exit\n"
           "  --help             print this text and exit\n"
           "Exit codes: 0 ok, 1 usage, 2 invalid settings, 3 failure at run time\n";
}

std::optional<options> parse_options(int argc, char** argv) {
    options o;
    const auto apply = [&o](int value) {
        switch (value) {
            case 'c':
                o.settings_path = optarg;
                break;
            case 'k':
                o.check = true;
                break;
            case 'l':
                o.log_level = optarg;
                break;
            case 'v':
                o.version = true;
                break;
            case 'h':
                o.help = true;
                break;
            default:
                break;
        }
    };
    if (!scan_options(argc, argv,
                      {{"config", required_argument, nullptr, 'c'},
                       {"check", no_argument, nullptr, 'k'},
                       {"log-level", required_argument, nullptr, 'l'},
                       {"version", no_argument, nullptr, 'v'},
                       {"help", no_argument, nullptr, 'h'}},
                      apply)) {
        return std::nullopt;
    }
    if (o.settings_path.empty() && !o.version && !o.help) {
        std::cerr << "--config is required\n";
        return std::nullopt;
    }
    return o;
}

}  // namespace chicorygap::daemon_app
