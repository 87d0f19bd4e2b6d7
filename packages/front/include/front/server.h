/// @file
/// HTTP server towards callers.
#pragma once

#include "front/hooks.h"
#include "front/server_options.h"

#include <cstdint>
#include <memory>

namespace chicorygap::front {

/// Accepts callers' connections, checks requests and passes them to `hooks::execute`.
///
/// Usage: `server s{options, hooks}; s.start(); ... s.drain(); s.stop();`
class server {
public:
    /// Binds the address. @throws base::error with `settings_invalid` if that fails.
    server(server_options options, hooks h);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    void start();
    /// Stops accepting connections and ends open ones after their running request.
    void drain();
    /// Closes all connections, also those with running requests, and waits for their threads.
    void stop();

    [[nodiscard]] std::uint16_t port() const;
    /// @return connections being served.
    [[nodiscard]] int connections() const;
    /// @return requests inside `hooks::execute`.
    [[nodiscard]] int running() const;
    /// @return connections refused with `connections_exhausted`.
    [[nodiscard]] std::uint64_t refused_connections() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

}  // namespace chicorygap::front
