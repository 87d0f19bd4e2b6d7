#include "check_finding.h"

namespace chicorygap::proxy {

std::string_view to_string(connect_result r) noexcept {
    switch (r) {
        case connect_result::refused:
            return "refused";
        case connect_result::accepted:
            return "accepted";
        case connect_result::silent:
            return "silent";
    }
    return "unknown";
}

std::string_view to_string(process_state s) noexcept {
    switch (s) {
        case process_state::ended:
            return "ended";
        case process_state::alive:
            return "alive";
        case process_state::unknown:
            return "unknown";
    }
    return "unknown";
}

}  // namespace chicorygap::proxy
