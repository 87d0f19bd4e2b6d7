/// @file
/// What is known of the process of a server after a connection to it broke.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace chicorygap::proxy {

/// What a connect to a server has shown.
enum class connect_result : std::uint8_t {
    refused,   ///< no process listens
    accepted,  ///< a process accepts connections and keeps them
    silent,    ///< no answer in time
};

enum class process_state : std::uint8_t { ended, alive, unknown };

/// What is known of the process of a server after a connection to it broke.
struct check_finding {
    connect_result connect = connect_result::silent;
    std::size_t broken = 1;     ///< connections that broke under requests at the same time
    std::size_t witnesses = 0;  ///< other connections that were open when the first one broke
    std::size_t survivors = 0;  ///< those of them that are still open

    /// A process that is back at once accepts connections, but has none of the earlier ones. Where the
    /// address is silent, an open connection tells nothing.
    [[nodiscard]] process_state state() const noexcept {
        if (connect == connect_result::refused) {
            return process_state::ended;
        }
        if (connect == connect_result::silent) {
            return process_state::unknown;
        }
        if (survivors > 0) {
            return process_state::alive;
        }
        return witnesses > 0 || broken > 1 ? process_state::ended : process_state::unknown;
    }
};

/// @return name for log lines.
[[nodiscard]] std::string_view to_string(connect_result r) noexcept;
[[nodiscard]] std::string_view to_string(process_state s) noexcept;

}  // namespace chicorygap::proxy
