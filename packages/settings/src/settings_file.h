/// @file
/// Reads settings files.
#pragma once

#include <string>

namespace chicorygap::settings {

/// @return the content of the file.
/// @throws base::error with `settings_invalid` when the file cannot be read.
std::string read_settings_file(const std::string& path);

}  // namespace chicorygap::settings
