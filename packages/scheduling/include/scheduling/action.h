/// @file
/// Decisions of the scheduler.
#pragma once

#include "base/result_code.h"
#include "base/time.h"
#include "catalog/backend_server.h"
#include "scheduling/work.h"

#include <variant>

namespace chicorygap::scheduling {

/// Send the request to the server now.
struct start {
    ticket id = ticket::none;
    catalog::backend_server server;
};

/// Refuse the request; the scheduler has forgotten it.
struct refuse {
    ticket id = ticket::none;
    base::result_code code = base::result_code::queue_full;
    /// When the same request will find room.
    base::duration retry_after{};
};

using action = std::variant<start, refuse>;

}  // namespace chicorygap::scheduling
