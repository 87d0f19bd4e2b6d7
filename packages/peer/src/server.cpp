#include "server.h"

#include <kj/time.h>

#include <utility>

namespace chicorygap::peer {

struct server::accepted {
    accepted(kj::Own<kj::AsyncIoStream> socket, server& s)
        : stream{kj::mv(socket), s.counters_, s.timer_},
          network{stream, capnp::rpc::twoparty::Side::SERVER, reader_options(s.options_)},
          rpc{capnp::makeRpcServer(network, s.service_)} {}

    counting_stream stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
    kj::Promise<void> watch = nullptr;
};

capnp::ReaderOptions reader_options(const node_options& o) {
    capnp::ReaderOptions r;
    // The limit also counts repeated reads of the same object, of which RPC needs up to two.
    r.traversalLimitInWords = 2 * o.message_bytes / sizeof(capnp::word);
    r.nestingLimit = 16;
    return r;
}

server::server(kj::AsyncIoContext& io, const node_options& o, traffic_counters& counters,
               wire::Peer::Client service, kj::TaskSet& tasks)
    : timer_{io.provider->getTimer()},
      options_{o},
      counters_{counters},
      service_{kj::mv(service)},
      tasks_{tasks},
      listener_{io.provider->getNetwork().parseAddress(o.listen.c_str()).wait(io.waitScope)->listen()} {
    tasks_.add(accept_next());
}

void server::close_idle() {
    const auto limit = static_cast<std::int64_t>(options_.idle_timeout.count()) * kj::NANOSECONDS;
    std::erase_if(connections_, [&](const auto& entry) {
        return timer_.now() - entry.second->stream.last_received() > limit;
    });
}

kj::Promise<void> server::accept_next() {
    return listener_->accept().then([this](kj::Own<kj::AsyncIoStream> socket) {
        if (connections_.size() < options_.max_connections) {
            add(kj::mv(socket));
        }
        return accept_next();
    });
}

void server::add(kj::Own<kj::AsyncIoStream> socket) {
    const auto id = next_++;
    auto c = std::make_shared<accepted>(kj::mv(socket), *this);
    connections_.emplace(id, c);
    // The connection is erased in a later turn, because it owns the promise that reports its end.
    c->watch = c->network.onDisconnect()
                   .then([this, id] { tasks_.add(kj::evalLater([this, id] { connections_.erase(id); })); })
                   .eagerlyEvaluate(nullptr);
}

}  // namespace chicorygap::peer
