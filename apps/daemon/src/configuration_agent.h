/// @file
/// Brings service documents into force.
#pragma once

#include "base/time.h"
#include "distribution/distributor.h"
#include "gateway/registry.h"
#include "ports/object_store.h"
#include "settings/daemon_settings.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace chicorygap::daemon_app {

/// Runs the distributor against the platform, the peers and the registry.
///
/// Usage: `set_send_function(...)`, then `tick()` twice a second on one thread and `run_pending_watch()`
/// repeatedly on another. All members are safe for use by several threads.
class configuration_agent {
public:
    /// Sends a message to a peer and calls `failed` if that fails.
    using send_function = std::function<void(const base::vm_id& to, const distribution::message& m,
                                             std::function<void()> failed)>;

    /// Object key and version of a document, with the fault of a refused newer version.
    struct document_state {
        std::string key;
        std::uint64_t version = 0;
        std::string fault;
    };

    /// @param store platform's objects; null if documents come from files.
    configuration_agent(gateway::registry& r, const settings::daemon_settings& s, ports::object_store* store);

    /// Reads the documents of the settings.
    /// @throws base::error with `document_invalid` or `settings_invalid`.
    void load_files();

    void set_send_function(send_function s);
    void handle(const distribution::event& e);
    void tick() { handle(distribution::tick{}); }

    /// Queues an event. Unlike `handle` it never waits for a document to be read, which takes milliseconds.
    void post(distribution::event e);
    /// Waits shortly for queued events and handles them.
    void handle_queued_events();

    /// Waits shortly for a request to watch the platform and carries it out.
    void run_pending_watch();

    /// @return digest for gossip.
    [[nodiscard]] distribution::digest digest(std::size_t max_entries);

    /// @return true once every reachable peer's documents are here.
    [[nodiscard]] bool ready() const;
    /// @return false once the keys of the service have been isolated for too long.
    [[nodiscard]] bool keys_usable(const base::service_id& service) const;
    [[nodiscard]] std::vector<document_state> document_states() const;

private:
    void execute(const distribution::send& a);
    void execute(const distribution::watch_platform& a);
    void execute(const distribution::activate& a);
    void execute(const distribution::withdraw& a);
    void execute(const distribution::report_invalid& a);
    void execute(const distribution::report_stale& a);
    void execute(const distribution::became_ready& a);
    void execute(const distribution::keys_usable_changed& a);
    std::optional<distribution::watch_platform> take_pending_watch();

    gateway::registry& registry_;
    const settings::daemon_settings& settings_;
    ports::object_store* store_;
    mutable std::mutex mutex_;
    std::condition_variable watch_requested_;
    distribution::distributor distributor_;
    send_function send_function_;
    std::optional<distribution::watch_platform> pending_watch_;
    std::mutex queue_mutex_;
    std::condition_variable event_queued_;
    std::deque<distribution::event> queued_events_;
    std::map<std::string, document_state> document_states_;
    std::set<base::service_id> services_with_unusable_keys_;
    bool ready_ = false;
};

}  // namespace chicorygap::daemon_app
