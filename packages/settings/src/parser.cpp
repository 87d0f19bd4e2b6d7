#include "base/error.h"
#include "settings_parser.h"

#include <fstream>
#include <sstream>

namespace chicorygap::settings {

parse_result parse(const std::string& text, const std::string& file) {
    const auto ini = document::read_ini(text, file);
    return settings_parser{ini, file}.run();
}

daemon_settings load(const std::string& path) {
    std::ifstream in{path};
    std::ostringstream text;
    if (!in || !(text << in.rdbuf())) {
        throw base::error{base::result_code::settings_invalid, path + ": cannot be read"};
    }
    auto result = parse(text.str(), path);
    if (!result.settings) {
        throw base::error{base::result_code::settings_invalid, document::to_string(result.faults)};
    }
    return std::move(*result.settings);
}

}  // namespace chicorygap::settings
