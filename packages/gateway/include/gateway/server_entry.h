/// @file
/// A backend server as the gateway knows it.
#pragma once

#include "backend/backend_request.h"
#include "routing/types.h"

namespace chicorygap::gateway {

/// Routing properties and address of one backend server.
struct server_entry {
    routing::server_info info;
    backend::endpoint address;
};

}  // namespace chicorygap::gateway
