/// @file
/// Runs the membership protocol over the calls between daemons.
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "membership/membership_protocol.h"
#include "peer/node.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace chicorygap::peer {

/// Adapter that holds a membership protocol under a mutex and exchanges its messages through a node.
///
/// Usage:
/// @code
/// gossip g{{.self = self}, random, base::boot_clock::now, [](const membership::action& a) { ... }};
/// const auto receive = [&g](const membership::message& m) { return g.receive(m); };
/// node n{o, {.probe = receive, .probe_indirect = receive}};
/// g.attach(n);
/// g.handle(membership::tick{});   // every 100 ms
/// @endcode
/// The node must be destroyed before the gossip.
class gossip {
public:
    /// Receives every action other than `send`, on the thread that caused it and outside the mutex.
    using listener = std::function<void(const membership::action&)>;

    gossip(membership::membership_options o, base::random_function random, base::now_function now,
           listener changed);

    /// Sets the node that carries the messages; before that they are dropped.
    void attach(node& n);

    /// Handles a call of a peer.
    /// @return the answer for that peer, if there is one.
    std::optional<membership::message> receive(const membership::message& m);

    /// Handles a local event.
    void handle(const membership::event& e);

    /// Calls `f` with the membership protocol under the mutex.
    void read(const std::function<void(const membership::membership_protocol&)>& f) const;

private:
    std::vector<membership::action> apply(const membership::event& e);
    void perform(const std::vector<membership::action>& actions);
    void send(const membership::send& s);

    mutable std::mutex mutex_;
    membership::membership_protocol protocol_;
    base::now_function now_;
    listener changed_;
    node* node_ = nullptr;
};

}  // namespace chicorygap::peer
