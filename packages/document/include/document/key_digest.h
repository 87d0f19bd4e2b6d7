/// @file
/// Digests of callers' keys.
#pragma once

#include "base/id.h"

#include <string_view>

namespace chicorygap::document {

/// @param key a caller's key in clear.
/// @return its SHA-256 as 64 lower-case hexadecimal digits.
/// @throws base::error with `internal` when OpenSSL fails.
base::key_digest hash_key(std::string_view key);

/// @return true for 64 lower-case hexadecimal digits.
bool is_key_digest(std::string_view text);

}  // namespace chicorygap::document
