#include "option_scan.h"

#include <iostream>
#include <string>

namespace chicorygap::daemon_app {

bool scan_options(int argc, char** argv, const std::vector<option>& known,
                  const std::function<void(int)>& apply) {
    std::string short_forms;
    for (const auto& o : known) {
        short_forms += static_cast<char>(o.val);
        short_forms += o.has_arg == required_argument ? ":" : "";
    }
    auto terminated = known;
    terminated.push_back({nullptr, 0, nullptr, 0});
    optind = 1;
    int value = 0;
    while ((value = getopt_long(argc, argv, short_forms.c_str(), terminated.data(), nullptr)) != -1) {
        if (value == '?') {
            return false;
        }
        apply(value);
    }
    if (optind < argc) {
        std::cerr << "unexpected argument '" << argv[optind] << "'\n";
        return false;
    }
    return true;
}

}  // namespace chicorygap::daemon_app
