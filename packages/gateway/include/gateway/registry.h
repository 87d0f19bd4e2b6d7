/// @file
/// All services of a daemon.
#pragma once

#include "base/id.h"
#include "front/hooks.h"
#include "gateway/service_runtime.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace chicorygap::gateway {

/// Finds the service of a request and passes the request to it.
///
/// Usage: `registry r{options}; r.apply(document); front::hooks h = r.hooks();`
/// All members are safe for use by several threads.
class registry {
public:
    /// @param o surroundings, shared by all services.
    explicit registry(runtime_options o);

    /// Adds a service or replaces its document.
    void apply(std::shared_ptr<const document::lookup> d);
    /// Stops offering a service. Its open requests end as usual.
    void remove(const base::service_id& id);

    /// @return the service, or null.
    [[nodiscard]] std::shared_ptr<service_runtime> find(const base::service_id& id) const;
    [[nodiscard]] std::vector<std::shared_ptr<service_runtime>> all() const;

    /// @param usable tells whether the keys of a service may be used; false after a long isolation.
    void set_keys_usable(std::function<bool(const base::service_id&)> usable) {
        keys_usable_ = std::move(usable);
    }

    /// Checks key, route and model. The workspace follows from the key alone (P3).
    [[nodiscard]] front::access_decision authorize(const front::access_query& q) const;
    /// @return a refusal if no service admits the key.
    [[nodiscard]] std::optional<front::refusal> check_key(const base::key_digest& key) const;
    [[nodiscard]] std::vector<std::string> models(const base::key_digest& key) const;
    void execute(const front::call& c, front::responder& out, const front::caller_monitor& caller) const;

    /// Sends the periodic event to all services.
    void tick() const;
    [[nodiscard]] std::size_t open_requests() const;

private:
    [[nodiscard]] bool isolation_expired(const base::service_id& id) const;

    runtime_options options_;
    std::function<bool(const base::service_id&)> keys_usable_;
    mutable std::mutex mutex_;
    std::map<base::service_id, std::shared_ptr<service_runtime>> services_;
};

}  // namespace chicorygap::gateway
