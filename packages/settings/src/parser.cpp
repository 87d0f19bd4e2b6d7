#include "base/error.h"
#include "file_text.h"
#include "settings_parser.h"

#include <utility>

namespace chicorygap::settings {

parse_result parse(const std::string& text, const std::string& file) {
    const auto ini = document::read_ini(text, file);
    return settings_parser{ini, file}.run();
}

daemon_settings load(const std::string& path) {
    auto result = parse(read_text(path), path);
    if (!result.settings) {
        throw base::error{base::result_code::settings_invalid, document::to_string(result.faults)};
    }
    return std::move(*result.settings);
}

}  // namespace chicorygap::settings
