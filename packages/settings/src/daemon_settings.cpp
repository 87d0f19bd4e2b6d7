#include "base/error.h"
#include "daemon_settings_parser.h"
#include "settings_file.h"

#include <utility>

namespace chicorygap::settings {

parse_result parse(const std::string& text, const std::string& file) {
    const auto ini = document::read_ini(text, file);
    return daemon_settings_parser{ini, file}.parse();
}

daemon_settings load(const std::string& path) {
    auto result = parse(read_settings_file(path), path);
    if (!result.settings) {
        throw base::error{base::result_code::settings_invalid, document::to_string(result.faults)};
    }
    return std::move(*result.settings);
}

}  // namespace chicorygap::settings
