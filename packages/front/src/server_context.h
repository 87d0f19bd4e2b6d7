/// @file
/// State shared by the connections of one server.
#pragma once

#include "connection_registry.h"
#include "front/hooks.h"
#include "front/server_options.h"
#include "lingering_close.h"
#include "memory_budget.h"

#include <Poco/Net/HTTPServerParams.h>

#include <atomic>
#include <cstdint>

namespace chicorygap::front {

struct server_context {
    server_context(server_options o, hooks h)
        : options{std::move(o)}, callbacks{std::move(h)}, bodies{options.total_body_bytes} {}

    server_options options;
    hooks callbacks;
    Poco::Net::HTTPServerParams::Ptr params;
    memory_budget bodies;
    connection_registry connections;
    lingering_close closing;
    /// Accepted connections, both served and waiting for a thread.
    std::atomic<int> open{0};
    std::atomic<int> serving{0};
    std::atomic<int> running{0};
    std::atomic<std::uint64_t> refused{0};
};

}  // namespace chicorygap::front
