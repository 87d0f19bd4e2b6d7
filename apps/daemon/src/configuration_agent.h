/// @file
/// Distribution of service documents within a daemon.
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

/// Connects the distributor with the platform, the peers and the service registry.
///
/// Usage: `set_send_function(...)`, then `tick()` twice a second on one thread and `run_pending_watch()`
/// repeatedly on another. All members are safe for use by several threads.
class configuration_agent {
public:
    /// Sends a message to a peer and calls `failed` if that fails.
    using send_function = std::function<void(const base::vm_id& to, const distribution::message& m,
                                             std::function<void()> failed)>;

    /// Object key and active version of a document, with the validation fault of a newer version if that one
    /// was rejected.
    struct document_state {
        std::string key;
        std::uint64_t version = 0;
        std::string fault;
    };

    /// @param r registry that receives the documents.
    /// @param s settings; must outlive this object.
    /// @param store object store of the platform; null if documents come from files.
    configuration_agent(gateway::registry& r, const settings::daemon_settings& s, ports::object_store* store);

    /// Reads the document files that the settings name and activates the documents.
    /// @throws base::error with `document_invalid` or `settings_invalid`.
    void load_files();

    void set_send_function(send_function s);
    void handle(const distribution::event& e);
    void tick() { handle(distribution::tick{}); }

    /// Queues an event. Unlike `handle`, it never waits for a document to be parsed, which takes
    /// milliseconds. The event is dropped if the queue is full.
    void post(distribution::event e);
    /// Waits up to 200 ms for queued events and handles them.
    void handle_queued_events();

    /// Waits up to 200 ms for the distributor to request a watch of the platform, and performs it.
    void run_pending_watch();

    /// @param max_entries largest number of documents in the digest.
    /// @return versions of the documents, to be sent to a peer.
    [[nodiscard]] distribution::digest digest(std::size_t max_entries);

    /// @return true once the documents of all reachable peers have been received, or if there is no platform.
    [[nodiscard]] bool ready() const;
    /// @return false once this daemon has been isolated for longer than the API keys of the service permit.
    [[nodiscard]] bool keys_usable(const base::service_id& service) const;
    [[nodiscard]] std::vector<document_state> document_states() const;

private:
    void execute(const distribution::send& a);
    void execute(const distribution::watch_platform& a);
    void execute(const distribution::activate& a);
    void execute(const distribution::deactivate& a);
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
