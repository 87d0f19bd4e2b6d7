/// @file
/// Memory and descriptors of another process.
#pragma once

#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>
#include <sys/types.h>

namespace chicorygap::testing_heads {

/// @return private memory of a process in bytes; 0 if it does not run.
inline std::size_t private_memory_bytes(pid_t pid) {
    constexpr std::string_view name = "RssAnon:";
    std::ifstream in{"/proc/" + std::to_string(pid) + "/status"};
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with(name)) {
            return std::stoull(line.substr(name.size())) * 1024;
        }
    }
    return 0;
}

/// @return number of open descriptors of a process; 0 if it does not run.
inline std::size_t open_descriptors(pid_t pid) {
    std::error_code ec;
    std::filesystem::directory_iterator it{"/proc/" + std::to_string(pid) + "/fd", ec};
    return ec ? 0 : static_cast<std::size_t>(std::distance(begin(it), end(it)));
}

}  // namespace chicorygap::testing_heads
