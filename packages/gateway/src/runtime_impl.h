/// @file
/// Implementation of a service runtime.
#pragma once

#include "gateway/service_runtime.h"
#include "mailbox.h"

#include <mutex>
#include <unordered_map>

namespace chicorygap::gateway {

/// State behind `service_runtime`, shared with the executors of its open requests.
class service_runtime::impl {
public:
    impl(runtime_options o, std::shared_ptr<const document::lookup> d);

    /// Gives an event to the core and its actions to the requests' threads.
    void post(const dispatch::event& e);

    /// Registers a request's mailbox; it must stay valid until `leave`.
    void enter(const front::call& c, mailbox& box);
    void leave(const base::request_id& id);

    void apply(std::shared_ptr<const document::lookup> d);
    void set_servers(const std::vector<server_entry>& servers);
    void stop_all(base::result_code reason);

    [[nodiscard]] std::shared_ptr<const document::lookup> document() const;
    [[nodiscard]] std::vector<server_entry> servers() const;
    [[nodiscard]] std::optional<backend::endpoint> address(const base::backend_server_id& id) const;
    [[nodiscard]] dispatch::status snapshot() const;
    [[nodiscard]] std::vector<routing::server_in_flight> load_digest(std::size_t limit) const;
    [[nodiscard]] std::size_t open_requests() const;
    [[nodiscard]] const runtime_options& options() const noexcept { return options_; }

private:
    struct open_call {
        base::key_digest key;
        mailbox* box = nullptr;
    };

    void deliver(const std::vector<dispatch::action>& actions);
    void stop_withdrawn();

    const runtime_options options_;
    mutable std::mutex mutex_;
    std::shared_ptr<const document::lookup> document_;
    dispatch::dispatcher core_;
    std::unordered_map<base::request_id, open_call> open_;
    std::unordered_map<base::backend_server_id, server_entry> servers_;
};

}  // namespace chicorygap::gateway
