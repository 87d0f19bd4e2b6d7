#include "settings_file.h"

#include "base/error.h"

#include <fstream>
#include <sstream>

namespace chicorygap::settings {

std::string read_settings_file(const std::string& path) {
    std::ifstream in{path};
    std::ostringstream text;
    if (!in || !(text << in.rdbuf())) {
        throw base::error{base::result_code::settings_invalid, path + ": settings file cannot be read"};
    }
    return text.str();
}

}  // namespace chicorygap::settings
