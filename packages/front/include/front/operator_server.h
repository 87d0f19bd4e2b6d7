/// @file
/// HTTP server towards operators and the load balancer.
#pragma once

#include "front/hooks.h"

#include <cstdint>
#include <memory>
#include <string>

namespace chicorygap::front {

/// Serves /healthz, /readyz, /metrics, /status, /burn and /burn.html on its own port and threads, so that a
/// full caller port does not hide the daemon's state.
class operator_server {
public:
    /// Binds the address. @param port 0 selects a free port.
    /// @throws base::error with `settings_invalid` if that fails.
    operator_server(const std::string& host, std::uint16_t port, operator_hooks h);
    ~operator_server();
    operator_server(const operator_server&) = delete;
    operator_server& operator=(const operator_server&) = delete;

    void start();
    void stop();
    [[nodiscard]] std::uint16_t port() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

}  // namespace chicorygap::front
