/// @file
/// Calls between daemons.
#pragma once

#include "base/id.h"
#include "distribution/actions.h"
#include "membership/message.h"
#include "peer/types.h"
#include "usage/counts.h"

#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>

namespace chicorygap::peer {

/// What a daemon does with the calls of its peers. Handlers run on the event-loop thread and must not block;
/// an unset handler refuses the call. A handler may throw `base::error`, which the caller receives as a
/// failure.
struct handlers {
    using gossip_reply = std::optional<membership::message>;

    std::function<gossip_reply(const membership::message&)> probe{};
    std::function<gossip_reply(const membership::message&)> probe_indirect{};
    /// The reply may be given later and from any thread.
    std::function<void(const usage::usage_report&, std::function<void(usage_reply)> reply)> report_usage{};
    /// The reply may be given later and from any thread.
    std::function<void(const claim_request&, std::function<void(claim_reply)> reply)> claim{};
    /// Records the outcome of a permitted request. Throws `base::error` if the receiver does not own its
    /// shard.
    std::function<void(const outcome_report&)> record_outcome{};
    /// @param from sender of the message.
    std::function<void(const distribution::member& from, const distribution::message&)> distribute{};
    /// @return JSON text.
    std::function<std::string()> status{};
};

/// Server and client for calls between daemons, with one event-loop thread.
///
/// All functions may be called from any thread; they hand the work to the event loop and return. Connections
/// are opened on first use and kept. A connection on which a call times out without any byte received is
/// closed, and the next call opens a new one. Calls are never repeated here.
///
/// Usage:
/// @code
/// node n{{.listen = "10.0.0.7:7400"}, {.probe = on_probe}};
/// n.probe("10.0.0.8:7400", message, [](outcome<std::optional<membership::message>> o) { ... });
/// auto text = await<std::string>([&](auto done) { n.status(address, done); });
/// @endcode
class node {
public:
    /// Starts the thread and listens.
    /// @throws base::error with `connect_failed` if the address cannot be used.
    node(node_options o, handlers h);
    /// Closes all connections; open calls complete with a failure.
    ~node();

    node(const node&) = delete;
    node& operator=(const node&) = delete;
    node(node&&) = delete;
    node& operator=(node&&) = delete;

    /// @return the port that it listens on.
    [[nodiscard]] std::uint16_t port() const;

    void probe(const std::string& address, const membership::message& m,
               completion<std::optional<membership::message>> done);
    void probe_indirect(const std::string& address, const membership::message& m,
                        completion<std::optional<membership::message>> done);
    void report_usage(const std::string& address, const usage::usage_report& r, completion<usage_reply> done);
    void claim(const std::string& address, const claim_request& r, completion<claim_reply> done);
    void record_outcome(const std::string& address, const outcome_report& r, completion<done> done);
    void status(const std::string& address, completion<std::string> done);
    /// @param from this daemon.
    void distribute(const std::string& address, const distribution::member& from,
                    const distribution::message& m, completion<done> done);

    /// @return counters of all connections.
    [[nodiscard]] traffic statistics() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

/// Waits for a call on the caller's thread, which must not be the event loop's.
/// @param start starts the call with the completion that it receives.
/// @return the value.
/// @throws base::error with the code of the failure.
template <typename T>
T await(const std::function<void(completion<T>)>& start) {
    auto promise = std::make_shared<std::promise<outcome<T>>>();
    start([promise](outcome<T> o) { promise->set_value(std::move(o)); });
    auto o = promise->get_future().get();
    if (!o.value) {
        throw base::error{o.code, o.what};
    }
    return std::move(*o.value);
}

}  // namespace chicorygap::peer
