#include "proxy/event_check.h"

namespace chicorygap::proxy {

std::string_view to_string(event_fault f) noexcept {
    switch (f) {
        case event_fault::none:
            return "none";
        case event_fault::too_long:
            return "event_too_long";
        case event_fault::unknown_field:
            return "event_unknown_field";
        case event_fault::invalid_id:
            return "event_invalid_id";
        case event_fault::unexpected_id:
            return "event_unexpected_id";
        case event_fault::without_data:
            return "event_without_data";
    }
    return "unknown";
}

}  // namespace chicorygap::proxy
