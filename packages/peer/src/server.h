/// @file
/// Accepts connections of peers.
#pragma once

#include "counting_stream.h"
#include "peer.capnp.h"
#include "peer/types.h"

#include <capnp/rpc-twoparty.h>
#include <capnp/rpc.h>
#include <kj/async-io.h>

#include <cstdint>
#include <map>
#include <memory>

namespace chicorygap::peer {

/// @return limits for reading a message of a peer.
capnp::ReaderOptions reader_options(const node_options& o);

/// Listening socket and accepted connections; lives on the loop's thread.
class server {
public:
    /// @throws kj::Exception if the address cannot be used.
    server(kj::AsyncIoContext& io, const node_options& o, traffic_counters& counters,
           wire::Peer::Client service, kj::TaskSet& tasks);

    [[nodiscard]] std::uint16_t port() { return static_cast<std::uint16_t>(listener_->getPort()); }

    /// Closes connections without traffic for longer than the limit.
    void close_idle();

private:
    struct accepted;

    kj::Promise<void> accept_next();
    void add(kj::Own<kj::AsyncIoStream> socket);

    kj::Timer& timer_;
    const node_options& options_;
    traffic_counters& counters_;
    wire::Peer::Client service_;
    kj::TaskSet& tasks_;
    kj::Own<kj::ConnectionReceiver> listener_;
    std::map<std::uint64_t, std::shared_ptr<accepted>> connections_;
    std::uint64_t next_ = 0;
};

}  // namespace chicorygap::peer
