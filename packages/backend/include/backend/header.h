/// @file
/// HTTP header fields as passed between front, dispatch and backend.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace chicorygap::backend {

/// One HTTP header field.
struct header {
    std::string name;
    std::string value;
    bool operator==(const header&) const = default;
};

using headers = std::vector<header>;

/// @param name field name in any case.
/// @return true when a caller's field of this name may be forwarded to a backend server (P4).
[[nodiscard]] bool request_header_allowed(std::string_view name);

/// @param name field name in any case.
/// @return true when a backend server's field of this name may be forwarded to the caller.
[[nodiscard]] bool answer_header_allowed(std::string_view name);

/// Removes query parameters that can carry a credential, by name in any case and percent encoding.
/// @param target path with optional query.
/// @param secret if not empty, parameters whose decoded value contains it are removed too.
/// @return the target without them.
[[nodiscard]] std::string without_credentials(std::string_view target, std::string_view secret = {});

}  // namespace chicorygap::backend
