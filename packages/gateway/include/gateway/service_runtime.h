/// @file
/// One service in a running daemon.
#pragma once

#include "backend/backend_client.h"
#include "base/random.h"
#include "base/time.h"
#include "dispatch/dispatcher.h"
#include "document/lookup.h"
#include "front/call.h"
#include "front/caller_monitor.h"
#include "front/responder.h"
#include "gateway/permit_source.h"
#include "gateway/request_record.h"
#include "gateway/server_entry.h"

#include <functional>
#include <memory>
#include <vector>

namespace chicorygap::gateway {

/// Surroundings of a service.
struct runtime_options {
    base::vm_id vm;
    base::zone_id zone;
    base::now_function now = base::boot_clock::now;
    base::wall_now_function wall_now;
    base::random_function random;
    backend::backend_client* client = nullptr;
    /// May be null: then non-idempotent requests with an idempotency key are refused as not run.
    permit_source* permits = nullptr;
    /// Called at the end of each request, on its thread.
    std::function<void(const request_record&)> on_end;
};

/// Joins the decision core of one service with its callers' threads and backend servers.
///
/// Each request keeps the thread of its caller's connection: it waits there for the core's decision, runs the
/// attempt and reports the result. The core is guarded by one mutex that is never held during I/O.
///
/// Usage: `service_runtime s{options, lookup}; s.set_servers(list); s.execute(call, responder, monitor);`
/// All members are safe for use by several threads.
class service_runtime {
public:
    /// @param o surroundings; `client` must not be null and outlives the runtime.
    /// @param d document in force.
    service_runtime(runtime_options o, std::shared_ptr<const document::lookup> d);
    ~service_runtime();
    service_runtime(const service_runtime&) = delete;
    service_runtime& operator=(const service_runtime&) = delete;

    /// Applies a newer document. Open requests whose key it no longer admits are stopped.
    void apply_document(std::shared_ptr<const document::lookup> d);
    [[nodiscard]] std::shared_ptr<const document::lookup> current_document() const;

    /// Replaces the server list.
    void set_servers(const std::vector<server_entry>& servers);
    [[nodiscard]] std::vector<server_entry> servers() const;

    /// Passes an event about the fleet to the core.
    void handle(const dispatch::event& e);

    /// Runs a caller's request on the calling thread until it has been answered.
    void execute(const front::call& c, front::responder& out, const front::caller_monitor& caller);

    /// Ends all open requests, for the operator's drain limit.
    void stop_all(base::result_code reason);

    [[nodiscard]] dispatch::status snapshot() const;
    [[nodiscard]] std::vector<routing::server_in_flight> load_digest(std::size_t limit) const;
    [[nodiscard]] std::size_t open_requests() const;

private:
    friend class request_executor;
    class impl;
    std::unique_ptr<impl> impl_;
};

}  // namespace chicorygap::gateway
