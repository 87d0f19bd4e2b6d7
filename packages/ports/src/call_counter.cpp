#include "ports/call_counter.h"

namespace chicorygap::ports {

std::string_view to_string(call_kind k) noexcept {
    switch (k) {
        case call_kind::read:
            return "read";
        case call_kind::write:
            return "write";
        case call_kind::watch:
            return "watch";
        case call_kind::list:
            return "list";
        case call_kind::vm_list:
            return "vm_list";
        case call_kind::server_list:
            return "server_list";
        case call_kind::order:
            return "order";
        case call_kind::usage:
            return "usage";
        case call_kind::count:
            break;
    }
    return "undefined";
}

}  // namespace chicorygap::ports
