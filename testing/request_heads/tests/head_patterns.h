/// @file
/// Heads of legal size that cost much memory or time.
#pragma once

#include <cstddef>
#include <functional>
#include <ostream>
#include <string>

namespace chicorygap::testing_heads {

/// Request that each client of a crowd sends.
struct request_pattern {
    const char* name;
    std::string bytes;
    /// Bytes of one write; 0 writes all at once.
    std::size_t piece = 0;
    /// One such request alone is inside the limits and gets the answer of its server.
    bool served = false;
};

/// Response that a server gives to each request.
struct response_pattern {
    const char* name;
    std::string bytes;
};

inline std::ostream& operator<<(std::ostream& out, const request_pattern& p) {
    return out << p.name;
}
inline std::ostream& operator<<(std::ostream& out, const response_pattern& p) {
    return out << p.name;
}

/// @return lines up to a total size.
inline std::string lines(std::size_t bytes, const std::function<std::string(std::size_t)>& line) {
    std::string out;
    for (std::size_t i = 0;; ++i) {
        const auto next = line(i);
        if (out.size() + next.size() > bytes) {
            return out;
        }
        out += next;
    }
}

inline std::string repeated(std::size_t bytes, const std::string& line) {
    return lines(bytes, [&](std::size_t) { return line; });
}

}  // namespace chicorygap::testing_heads
