/// @file
/// The daemon: all parts wired together.
#pragma once

#include "settings/daemon_settings.h"

#include <cstdint>
#include <memory>

namespace chicorygap::daemon_app {

/// A running daemon.
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

    void start();

    /// Graceful shutdown: not ready, load balancer's delay, running requests end; `drain_limit` ends the
    /// rest.
    void drain();

    [[nodiscard]] std::uint16_t caller_port() const;
    [[nodiscard]] std::uint16_t operator_port() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

}  // namespace chicorygap::daemon_app
