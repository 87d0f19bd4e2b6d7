/// @file
/// The exception type of all packages.
#pragma once

#include "base/result_code.h"

#include <stdexcept>
#include <string>

namespace chicorygap::base {

/// Failure with a numbered result code.
///
/// Usage: `throw error{result_code::connect_failed, "connect to 127.0.0.1:9000 refused"};`
class error : public std::runtime_error {
public:
    /// @param code numbered reason.
    /// @param what description for logs; must hold no key and no prompt text.
    error(result_code code, const std::string& what) : std::runtime_error{what}, code_{code} {}

    [[nodiscard]] result_code code() const noexcept { return code_; }

private:
    result_code code_;
};

}  // namespace chicorygap::base
