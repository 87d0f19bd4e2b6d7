/// @file
/// Gateway daemon.
#pragma once

#include "settings/daemon_settings.h"

#include <cstdint>
#include <memory>

namespace chicorygap::daemon_app {

/// Gateway daemon with all of its components. Serves callers and operators, each on an address of the
/// settings.
///
/// Usage: `daemon d{settings}; d.start(); ... d.drain();`
class daemon {
public:
    /// @throws base::error with `settings_invalid` if an address cannot be bound or a document file is
    /// invalid.
    explicit daemon(settings::daemon_settings s);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    /// Starts the threads and accepts connections.
    void start();

    /// Shuts down gracefully: reports that the daemon is not ready, waits for the load balancer to stop
    /// sending requests, waits for the running requests, and aborts those that still run after
    /// `drain_timeout`.
    void drain();

    [[nodiscard]] std::uint16_t caller_port() const;
    [[nodiscard]] std::uint16_t operator_port() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

}  // namespace chicorygap::daemon_app
